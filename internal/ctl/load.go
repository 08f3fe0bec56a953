package ctl

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/loadgen"
)

func runLoad(e *env, args []string) int {
	flags, output := e.flagSet("load", "")
	cfg := loadgen.Config{}
	flags.StringVar(&cfg.DirectURL, "direct", "", "`URL` of a resource at the target; required")
	flags.StringVar(&cfg.HostURL, "host", "", "`URL` of the same resource through a host; required")
	flags.Float64Var(&cfg.Rate, "rate", 200, "requests per second sent to each of -direct and -host, greater than 0")
	flags.DurationVar(&cfg.Duration, "duration", 10*time.Second, "duration of the open-loop phase")
	flags.DurationVar(&cfg.Warmup, "warmup", 2*time.Second, "initial time that is excluded from the measurement")
	flags.DurationVar(&cfg.Timeout, "timeout", 10*time.Second, "timeout of one request")
	flags.DurationVar(&cfg.SaturationDuration, "saturate", 0, "duration of the closed-loop phases that measure the maximum throughput; 0 disables them")
	flags.IntVar(&cfg.Connections, "connections", 32, "number of connections in the closed-loop phases")
	flags.StringVar(&cfg.DirectMetricsURL, "direct-metrics", "", "metrics `URL` of the target, for requests per core")
	flags.StringVar(&cfg.HostMetricsURL, "host-metrics", "", "metrics `URL` of the host, for requests per core")
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	if cfg.DirectURL == "" || cfg.HostURL == "" {
		code, _ := e.usageError(flags, "-direct and -host are required")
		return code
	}
	report, err := loadgen.Run(e.ctx, cfg)
	if err != nil {
		return e.fail(err)
	}
	if *output == "json" {
		return e.writeJSON(report)
	}
	report.WriteText(e.stdout)
	return ExitOK
}
