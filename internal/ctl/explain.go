package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// explainBefore is how long before a request the events about its targets are
// shown.
const explainBefore = 10 * time.Second

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// logLine is one line of a host's log.
type logLine struct {
	text   string
	fields map[string]string
	at     time.Time
}

// runExplain shows what the hosts' logs say about one request: its attempts and
// refusals, and what had become known of its targets before.
func runExplain(e *env, args []string) int {
	flags, output := e.flagSet("explain", "FILE...")
	request := flags.String("request", "", "`ID` of the request, as its caller knows it")
	if code, ok := e.parse(flags, output, args, -1); !ok {
		return code
	}
	if *request == "" || flags.NArg() == 0 {
		code, _ := e.usageError(flags, "want -request ID and one or more log files, or - for standard input")
		return code
	}
	var lines []logLine
	for _, name := range flags.Args() {
		read, err := e.readLog(name)
		if err != nil {
			return e.fail(err)
		}
		lines = append(lines, read...)
	}
	story := explain(lines, *request)
	if len(story) == 0 {
		return e.fail(errors.Errorf("the logs have no line about request %s; routine lines may have been left out", *request))
	}
	if *output == "json" {
		fields := make([]map[string]string, 0, len(story))
		for _, l := range story {
			fields = append(fields, l.fields)
		}
		return e.writeJSON(fields)
	}
	for _, l := range story {
		fmt.Fprintln(e.stdout, l.text)
	}
	return ExitOK
}

func (e *env) readLog(name string) ([]logLine, error) {
	if name == "-" {
		return readLines(e.stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer file.Close()
	lines, err := readLines(file)
	return lines, errors.Wrapf(err, "log %s", name)
}

// logField matches one key=value pair of a log line.
var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// readLines returns the lines that have a time; others are not of a host.
func readLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		l := logLine{text: scanner.Text(), fields: map[string]string{}}
		for _, m := range logField.FindAllStringSubmatch(l.text, -1) {
			l.fields[m[1]] = strings.Trim(m[2], `"`)
		}
		at, err := time.Parse(time.RFC3339Nano, l.fields["time"])
		if err != nil {
			continue
		}
		l.at = at
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// explain selects the lines about a request and about its targets before its end,
// ordered by time.
func explain(lines []logLine, request string) []logLine {
	var story []logLine
	targets := map[string]bool{}
	for _, l := range lines {
		if l.fields["request_id"] != request {
			continue
		}
		story = append(story, l)
		if target := l.fields["target"]; target != "" {
			targets[target] = true
		}
	}
	if len(story) == 0 {
		return nil
	}
	sortByTime(story)
	first, last := story[0].at, story[len(story)-1].at
	for _, l := range lines {
		about := targets[l.fields["target"]] && l.fields["request_id"] == ""
		if about && !l.at.Before(first.Add(-explainBefore)) && !l.at.After(last) {
			story = append(story, l)
		}
	}
	sortByTime(story)
	return story
}

func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
}
