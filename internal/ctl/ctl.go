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
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
	// ExitUnknown means that the result of a proposal is not known.
	ExitUnknown = 3
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "SAPPHIRECTL"

const usageText = `usage: sapphirectl COMMAND [flags] [arguments]

commands:
  document validate|apply|get|history|status   manage the configuration document
  addresses                                    list the hosts that serve a service
  status                                       show the state of the hosts
  members                                      show the members that each host knows
  timeline                                     show the merged event timeline of all hosts
  explain METHOD PATH                          show where a host would send a request now, and why
  explain -request ID FILE...                  show the log lines related to one request
  replay                                       replay traces and check expected outcomes
  soak                                         run hosts under faults and check their promises
  load                                         measure the latency that a host adds to requests

Every flag can also be set by an environment variable, for example -admin by
SAPPHIRECTL_ADMIN.
`

// env holds the context and the standard streams of a command.
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
	"soak":      runSoak,
}

// Run executes a command and returns its exit code.
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

// flagSet returns a flag set with the flags that all commands share.
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

// parse parses flags and environment variables and checks the number of
// arguments; a negative wantArgs allows any number. If ok is false the command
// must exit with the returned code.
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

// adminFlag defines the flag with the administration URLs of the hosts.
func adminFlag(flags *flag.FlagSet) *string {
	return flags.String("admin", "http://127.0.0.1:8081", "administration `URLs` of the hosts, separated by commas")
}

// splitList splits a list of URLs at commas and removes spaces and trailing slashes.
func splitList(list string) []string {
	var out []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, strings.TrimSuffix(item, "/"))
		}
	}
	return out
}
