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
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, "sapphirehaven:", err)
		os.Exit(exitFailed)
	}
}

func run(settings app.Settings) error {
	log, err := app.NewLogger(os.Stderr, settings.LogLevel, settings.HostID)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	host, err := app.New(settings, log)
	if err != nil {
		return err
	}
	return host.Run(ctx)
}
