package ctl

import "github.com/sapphirehaven/sapphirehaven/internal/replaycmd"

func runReplay(e *env, args []string) int {
	return replaycmd.Run(args, e.stdout, e.stderr)
}
