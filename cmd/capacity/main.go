// Command capacity measures the resource usage of the components of a host and
// prints the tables of docs/CAPACITY.md.
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

// Range of -time.
const (
	minDuration = 10 * time.Millisecond
	maxDuration = time.Minute
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

// options are the command-line options.
type options struct {
	page string
	time time.Duration
}

func parseOptions(args []string, stderr io.Writer) (options, error) {
	opts := options{time: capacity.DefaultConfig().MeasureTime}
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&opts.page, "write", "", "`file` in which the tables are replaced; default: print the tables")
	flags.DurationVar(&opts.time, "time", opts.time, "duration of each time measurement, 10ms to 1m")
	if err := flags.Parse(args); err != nil {
		return opts, err
	}
	if flags.NArg() > 0 {
		return opts, errors.Errorf("unexpected argument %q: capacity takes only flags", flags.Arg(0))
	}
	if opts.time < minDuration || opts.time > maxDuration {
		return opts, errors.Errorf("-time is %s, want %s to %s", opts.time, minDuration, maxDuration)
	}
	return opts, nil
}

func run(args []string, stdout, stderr io.Writer) error {
	opts, err := parseOptions(args, stderr)
	if err != nil {
		return err
	}
	var page []byte
	if opts.page != "" {
		if page, err = os.ReadFile(opts.page); err != nil {
			return errors.Wrap(err, "-write")
		}
	}
	cfg := capacity.DefaultConfig()
	cfg.MeasureTime = opts.time
	slopes, err := capacity.Measure(cfg)
	if err != nil {
		return err
	}
	if opts.page == "" {
		_, err = fmt.Fprintf(stdout, "%s\n%s", slopes.Table(), capacity.RoleTables(slopes))
		return err
	}
	return errors.Wrap(replaceTables(opts.page, string(page), slopes), "-write")
}

// replaceTables writes the page to the file with its tables replaced.
func replaceTables(file, page string, slopes *capacity.Slopes) error {
	page, err := capacity.ReplaceSection(page, "slopes", slopes.Table())
	if err != nil {
		return err
	}
	if page, err = capacity.ReplaceSection(page, "roles", capacity.RoleTables(slopes)); err != nil {
		return err
	}
	return os.WriteFile(file, []byte(page), 0o644)
}
