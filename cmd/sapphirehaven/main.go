// Command sapphirehaven is the proxy daemon that runs on every host.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/app"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	signals := receiveSignals()
	settings, err := app.ParseSettings(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sapphirehaven:", err)
		os.Exit(exitUsage)
	}
	run := runWithLogService
	if settings.ConfigPath != "" {
		run = runOnPlatform
	}
	if err := run(settings, signals); err != nil {
		fmt.Fprintln(os.Stderr, "sapphirehaven:", err)
		os.Exit(exitFailed)
	}
}

// runWithLogService runs a host that uses the append-only log service, the host
// list, and documents proposed by operators.
func runWithLogService(settings app.Settings, signals *signals) error {
	log, flush, err := app.NewLogger(os.Stderr, settings.LogLevel, settings.HostID)
	if err != nil {
		return err
	}
	defer flush()
	ctx := signals.handle(log)
	host, err := app.New(settings, log)
	if err != nil {
		return err
	}
	signals.serving.Store(true)
	return host.Run(ctx)
}
