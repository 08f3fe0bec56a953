package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/soak"
)

// runSoak runs host processes under faults, one seed after the other, and stops at the first seed
// that breaks a promise.
func runSoak(e *env, args []string) int {
	flags, output := e.flagSet("soak", "")
	cfg := soak.Config{}
	flags.Uint64Var(&cfg.Seed, "seed", 1, "first `seed`; each seed gives one schedule of faults")
	count := flags.Int("count", 1, "number of consecutive seeds")
	flags.DurationVar(&cfg.Duration, "duration", 20*time.Second, "time in which faults begin; the recovery follows")
	flags.IntVar(&cfg.Hosts, "hosts", 4, "number of host processes")
	flags.IntVar(&cfg.Targets, "targets", 8, "number of targets")
	flags.IntVar(&cfg.Callers, "callers", 24, "number of callers")
	flags.BoolVar(&cfg.TargetNotices, "notices", false, "let targets state that they leave and ask for pauses, and check that hosts respect it")
	flags.StringVar(&cfg.BinaryDir, "bin", filepath.Dir(os.Args[0]), "`directory` of the program sapphirehaven")
	logs := flags.String("logs", filepath.Join(os.TempDir(), "sapphirehaven-soak"), "`directory` for the logs of the hosts, in a folder for each seed")
	keepGoing := flags.Bool("continue", false, "go on after a seed that failed")
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	if err := cfg.Validate(); err != nil {
		code, _ := e.usageError(flags, err.Error())
		return code
	}
	if *count < 1 {
		code, _ := e.usageError(flags, fmt.Sprintf("-count is %d, want 1 or more", *count))
		return code
	}
	return e.runSeeds(cfg, *count, *logs, *keepGoing, *output)
}

// soakResult is the JSON output for one seed.
type soakResult struct {
	Seed    uint64 `json:"seed"`
	Failed  bool   `json:"failed"`
	Style   string `json:"style"`
	Summary string `json:"summary"`
	Logs    string `json:"logs"`
}

// runSeeds runs consecutive seeds from that of the configuration on and prints their reports.
func (e *env) runSeeds(cfg soak.Config, count int, logs string, keepGoing bool, output string) int {
	code := ExitOK
	for range count {
		cfg.LogDir = filepath.Join(logs, fmt.Sprintf("seed-%d", cfg.Seed))
		report, err := soak.RunFresh(e.ctx, cfg)
		if err != nil {
			return e.fail(errors.Wrapf(err, "seed %d", cfg.Seed))
		}
		if output == "json" {
			e.writeJSON(soakResult{report.Seed, report.Failed(), report.Style, report.Summary, report.LogDir})
		} else {
			report.WriteText(e.stdout)
		}
		if report.Failed() {
			code = ExitFailed
			if !keepGoing {
				break
			}
		}
		cfg.Seed++
	}
	return code
}
