// Command capacity measures what the parts of a host cost and prints the tables
// of docs/CAPACITY.md.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/capacity"
)

// Bounds of -time.
const (
	minTime = 10 * time.Millisecond
	maxTime = time.Minute
)

func main() {
	err := run(os.Args[1:], os.Stdout, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

type settings struct {
	page string
	time time.Duration
}

func parse(args []string, stderr io.Writer) (settings, error) {
	s := settings{time: capacity.DefaultConfig().MeasureTime}
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&s.page, "write", "", "`file` whose tables are replaced; default: the tables are printed")
	flags.DurationVar(&s.time, "time", s.time, "time for each measured duration, 10ms to 1m")
	if err := flags.Parse(args); err != nil {
		return s, err
	}
	if flags.NArg() > 0 {
		return s, errors.Errorf("unexpected argument %q: capacity takes only flags", flags.Arg(0))
	}
	if s.time < minTime || s.time > maxTime {
		return s, errors.Errorf("-time is %s, want %s to %s", s.time, minTime, maxTime)
	}
	return s, nil
}

func run(args []string, stdout, stderr io.Writer) error {
	s, err := parse(args, stderr)
	if err != nil {
		return err
	}
	var page []byte
	if s.page != "" {
		if page, err = os.ReadFile(s.page); err != nil {
			return errors.Wrap(err, "-write")
		}
	}
	cfg := capacity.DefaultConfig()
	cfg.MeasureTime = s.time
	slopes, err := capacity.Measure(cfg)
	if err != nil {
		return err
	}
	if s.page == "" {
		_, err = fmt.Fprintf(stdout, "%s\n%s", slopes.Table(), capacity.RoleTables(slopes))
		return err
	}
	return errors.Wrap(write(s.page, string(page), slopes), "-write")
}

func write(file, page string, slopes *capacity.Slopes) error {
	page, err := capacity.ReplaceSection(page, "slopes", slopes.Table())
	if err != nil {
		return err
	}
	if page, err = capacity.ReplaceSection(page, "roles", capacity.RoleTables(slopes)); err != nil {
		return err
	}
	return os.WriteFile(file, []byte(page), 0o644)
}
