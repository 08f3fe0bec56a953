// Command sapphirehaven is the proxy daemon that runs on every host.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/app"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
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
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "sapphirehaven:", err)
		os.Exit(exitFailed)
	}
}

// shutdownContext returns a context that is canceled on SIGINT or SIGTERM.
func shutdownContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// runWithLogService runs a host that uses the append-only log service, the host
// list, and documents proposed by operators.
func runWithLogService(settings app.Settings) error {
	log, err := app.NewLogger(os.Stderr, settings.LogLevel, settings.HostID)
	if err != nil {
		return err
	}
	ctx, stop := shutdownContext()
	defer stop()
	host, err := app.New(settings, log)
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
