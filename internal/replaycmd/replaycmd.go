// Package replaycmd implements the command "sapphirectl replay".
package replaycmd

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/replay"
)

// Exit codes of the command.
const (
	exitPass  = 0
	exitFail  = 1
	exitUsage = 2
)

const extension = ".trace"

type settings struct {
	policy  string
	output  string
	decider string
	compare bool
	short   bool
	traces  []string
}

// Run plays the traces that args name and returns the exit code: 0 if every
// expected outcome came true, 1 if one did not or a run failed, 2 for wrong
// usage, an unreadable file or a refused line.
func Run(args []string, stdout, stderr io.Writer) int {
	s, err := parseArgs(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitPass
	}
	if err != nil {
		fmt.Fprintf(stderr, "sapphirectl replay: %v\n", err)
		return exitUsage
	}
	traces, err := load(s)
	if err != nil {
		fmt.Fprintf(stderr, "sapphirectl replay: %v\n", err)
		return exitUsage
	}
	pass, err := play(s, traces, stdout)
	if err != nil {
		fmt.Fprintf(stderr, "sapphirectl replay: %v\n", err)
		return exitFail
	}
	if !pass {
		return exitFail
	}
	return exitPass
}

func parseArgs(args []string, stderr io.Writer) (settings, error) {
	var s settings
	flags := flag.NewFlagSet("sapphirectl replay", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: sapphirectl replay [flags] TRACE|DIRECTORY ...")
		flags.PrintDefaults()
	}
	flags.StringVar(&s.policy, "policy", "", "`FILE` with policy and class lines that override those of the traces")
	flags.StringVar(&s.output, "output", "text", "output `FORMAT`: text or json")
	flags.StringVar(&s.decider, "decider", replay.SapphirehavenDecider, "`NAME` of the decider: sapphirehaven or baseline")
	flags.BoolVar(&s.compare, "compare", false, "play sapphirehaven and the baseline side by side; only failures of sapphirehaven set the exit code")
	flags.BoolVar(&s.short, "short", false, "end traces at their short duration if they have one")
	if err := flags.Parse(args); err != nil {
		return s, err
	}
	s.traces = flags.Args()
	return s, s.validate()
}

func (s *settings) validate() error {
	if s.output != "text" && s.output != "json" {
		return fmt.Errorf("-output: unknown format %q: expected text or json", s.output)
	}
	if _, err := replay.DeciderByName(s.decider); err != nil {
		return fmt.Errorf("-decider: %w", err)
	}
	if s.compare && s.decider != replay.SapphirehavenDecider {
		return errors.New("-compare and -decider: use one of them")
	}
	if len(s.traces) == 0 {
		return errors.New("no trace: expected at least one file or directory")
	}
	return nil
}

// load reads all traces before the first one is played, so that a refused line
// is reported at once.
func load(s settings) ([]*replay.Trace, error) {
	files, err := expand(s.traces)
	if err != nil {
		return nil, err
	}
	var list []*replay.Trace
	for _, name := range files {
		t, err := replay.ParseFile(name)
		if err != nil {
			return nil, err
		}
		if err := override(t, s.policy); err != nil {
			return nil, err
		}
		list = append(list, t)
	}
	return list, nil
}

func override(t *replay.Trace, policy string) error {
	if policy == "" {
		return nil
	}
	file, err := os.Open(policy)
	if err != nil {
		return err
	}
	defer file.Close()
	return t.ApplyPolicy(policy, file)
}

// expand replaces directories by the traces in them, in the order of names.
func expand(names []string) ([]string, error) {
	var files []string
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, name)
			continue
		}
		found, err := tracesIn(name)
		if err != nil {
			return nil, err
		}
		files = append(files, found...)
	}
	return files, nil
}

func tracesIn(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var files []string
	for _, e := range entries {
		if !e.IsDir() && strings.HasSuffix(e.Name(), extension) {
			files = append(files, filepath.Join(dir, e.Name()))
		}
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no %s file in directory %s", extension, dir)
	}
	slices.Sort(files)
	return files, nil
}

// play runs the traces and tells whether every expected outcome came true for
// the first decider.
func play(s settings, traces []*replay.Trace, stdout io.Writer) (bool, error) {
	deciders := []string{s.decider}
	if s.compare {
		deciders = []string{replay.SapphirehavenDecider, replay.BaselineDecider}
	}
	pass := true
	var all []*replay.Report
	for _, t := range traces {
		reports, err := runAll(t, deciders, s.short)
		if err != nil {
			return false, err
		}
		pass = pass && reports[0].Passed()
		all = append(all, reports...)
		if s.output == "text" {
			if err := replay.WriteText(stdout, reports); err != nil {
				return false, err
			}
		}
	}
	if s.output == "json" {
		return pass, replay.WriteJSON(stdout, all)
	}
	return pass, nil
}

func runAll(t *replay.Trace, deciders []string, short bool) ([]*replay.Report, error) {
	var reports []*replay.Report
	for _, name := range deciders {
		build, err := replay.DeciderByName(name)
		if err != nil {
			return nil, err
		}
		r, err := replay.Run(t, name, build, replay.Options{Short: short})
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}
