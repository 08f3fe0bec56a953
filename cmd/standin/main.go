// Command standin runs fake implementations of the platform's services and of
// targets on a loopback address, for demonstrations and tests. The subcommands
// "log", "hosts" and "target" have separate flags.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/standin"
)

const usage = "usage: standin log|hosts|target [flags]"

// exitUsage is the exit code for invalid arguments.
const exitUsage = 2

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(exitUsage)
	}
	name := os.Args[1]
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:0", "loopback `address` to listen on")
	var handler func() http.Handler
	switch name {
	case "log":
		handler = logHandler(flags)
	case "hosts":
		handler = hostsHandler(flags)
	case "target":
		handler = targetHandler(flags)
	default:
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(exitUsage)
	}
	_ = flags.Parse(os.Args[2:])
	if err := serve(*listen, handler()); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func logHandler(flags *flag.FlagSet) func() http.Handler {
	log := standin.NewLogService()
	flags.IntVar(&log.MaxRecords, "max-records", 0, "maximum number of records kept; 0 means no limit")
	flags.DurationVar(&log.MaxAge, "max-age", 0, "maximum age of the records kept; 0 means no limit")
	return log.Handler
}

func hostsHandler(flags *flag.FlagSet) func() http.Handler {
	list := &standin.HostList{}
	flags.DurationVar(&list.Lag, "lag", 2*time.Second, "delay until a change becomes visible")
	return list.Handler
}

func targetHandler(flags *flag.FlagSet) func() http.Handler {
	var cfg standin.TargetConfig
	flags.StringVar(&cfg.Name, "name", "target", "name reported in responses")
	flags.IntVar(&cfg.Slots, "slots", 6, "requests served concurrently")
	flags.IntVar(&cfg.QueueLength, "queue", 4, "requests that may wait for a slot; further ones are shed")
	flags.DurationVar(&cfg.MedianLatency, "latency", 5*time.Millisecond, "median service time")
	flags.Float64Var(&cfg.LatencySigma, "sigma", 0.3, "sigma of the lognormal service time (standard deviation of its logarithm)")
	flags.DurationVar(&cfg.ColdStart, "cold-start", 0, "duration of slower service after the start")
	flags.DurationVar(&cfg.ReportLag, "report-lag", time.Second, "age of the load report")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "random seed")
	return func() http.Handler { return standin.NewTarget(cfg).Handler() }
}

func serve(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		_ = server.Close()
	}()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println("listening on", listener.Addr())
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
