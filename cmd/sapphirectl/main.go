// Command sapphirectl is the command-line tool for operators of a sapphirehaven
// fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sapphirehaven/sapphirehaven/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
