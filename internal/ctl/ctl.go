// Package ctl implements sapphirectl, the operators' command-line tool.
package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	ExitOK    = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitUnknown = 3
)

// envPrefix is the prefix of the environment variables that stand for flags.
const envPrefix = "SAPPHIRECTL"

const usageText = `usage: sapphirectl COMMAND [flags] [arguments]

commands:
  document validate|apply|get|history|status   work with the operators' document
  addresses                                    ask which hosts serve a service
  status                                       show the state of the hosts
  members                                      show which hosts know which
  timeline                                     merge the timelines of all hosts
  explain                                      show what logs say about one request
  replay                                       replay traces against expected outcomes
  load                                         measure what a host adds to requests

Every flag can be set by an environment variable, -admin by SAPPHIRECTL_ADMIN.
`

// env is what a command works with.
type env struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

type command func(e *env, args []string) int

var commands = map[string]command{
	"document":  runDocument,
	"addresses": runAddresses,
	"status":    runStatus,
	"members":   runMembers,
	"timeline":  runTimeline,
	"load":      runLoad,
	"explain":   runExplain,
	"replay":    runReplay,
}

// Run executes one command and returns the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	e := &env{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	if len(args) == 0 {
		fmt.Fprint(stderr, usageText)
		return ExitUsage
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		fmt.Fprint(stdout, usageText)
		return ExitOK
	}
	run := commands[args[0]]
	if run == nil {
		fmt.Fprintf(stderr, "sapphirectl: unknown command %q\n%s", args[0], usageText)
		return ExitUsage
	}
	return run(e, args[1:])
}

// flagSet returns the flags that every command has.
func (e *env) flagSet(name, arguments string) (flags *flag.FlagSet, output *string) {
	flags = flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(e.stderr)
	flags.Usage = func() {
		fmt.Fprintf(e.stderr, "usage: sapphirectl %s [flags] %s\n", name, arguments)
		flags.PrintDefaults()
	}
	output = flags.String("output", "text", "text or json")
	return flags, output
}

// parse reads flags and environment variables; the returned code is ExitDone
// when the command should go on.
func (e *env) parse(flags *flag.FlagSet, output *string, args []string, wantArgs int) (code int, ok bool) {
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(envPrefix))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK, false
	case err != nil:
		return e.usageError(flags, err.Error())
	case *output != "text" && *output != "json":
		return e.usageError(flags, fmt.Sprintf("-output is %q, want text or json", *output))
	case wantArgs >= 0 && flags.NArg() != wantArgs:
		return e.usageError(flags, fmt.Sprintf("got %d arguments, want %d", flags.NArg(), wantArgs))
	}
	return ExitOK, true
}

func (e *env) usageError(flags *flag.FlagSet, text string) (int, bool) {
	fmt.Fprintf(e.stderr, "sapphirectl %s: %s\n", flags.Name(), text)
	return ExitUsage, false
}

func (e *env) fail(err error) int {
	fmt.Fprintln(e.stderr, "sapphirectl:", err)
	return ExitFailed
}

func (e *env) writeJSON(v any) int {
	enc := json.NewEncoder(e.stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return e.fail(err)
	}
	return ExitOK
}

// adminFlag adds the flag for the hosts' administration addresses.
func adminFlag(flags *flag.FlagSet) *string {
	return flags.String("admin", "http://127.0.0.1:8081", "administration `URLs` of the hosts, separated by commas")
}

func splitList(list string) []string {
	var out []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, strings.TrimSuffix(item, "/"))
		}
	}
	return out
}
