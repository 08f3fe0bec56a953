// Command sapphirehaven is the daemon that runs on every host.
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
	run := runOwn
	if settings.ConfigPath != "" {
		run = runOnPlatform
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "sapphirehaven:", err)
		os.Exit(exitFailed)
	}
}

// untilStopped returns a context that ends when the process is told to stop.
func untilStopped() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// runOwn runs a host with the product's own log, host list and documents.
func runOwn(settings app.Settings) error {
	log, err := app.NewLogger(os.Stderr, settings.LogLevel, settings.HostID)
	if err != nil {
		return err
	}
	ctx, stop := untilStopped()
	defer stop()
	host, err := app.New(settings, log)
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
