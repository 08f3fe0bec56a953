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

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
)

// targetEventWindow is the time before the first line about a request from which
// the events of its targets are shown.
const targetEventWindow = 10 * time.Second

// maxLogLine limits the length of a log line.
const maxLogLine = 1 << 20

// logLine is a parsed line of a host's log.
type logLine struct {
	text   string
	fields map[string]string
	at     time.Time
}

// runExplain prints where a host would send a request now, and why. With the ID of a request it prints
// the log lines about one that was served.
func runExplain(e *env, args []string) int {
	flags, output := e.flagSet("explain", "METHOD PATH, or -request ID FILE...")
	request := flags.String("request", "", "request `ID`, as reported to the caller: show its lines in log files")
	admin := flags.String("admin", "http://127.0.0.1:8081", "administration `URL` of the host that is asked")
	host := flags.String("host-name", "", "host `name` of the request")
	team := flags.String("team", "", "`name` of the team whose key the request would carry, never the key")
	count := flags.Int("targets", defaultExplainedTargets, "`number` of targets to print, 0 for all")
	if code, ok := e.parse(flags, output, args, -1); !ok {
		return code
	}
	switch {
	case *request != "" && flags.NArg() > 0:
		return e.explainFromLogs(*request, flags.Args(), *output)
	case *request == "" && flags.NArg() == 2:
		return e.explainRouting(*admin, adminapi.Question{Method: flags.Arg(0), Path: flags.Arg(1), HostName: *host, Team: *team}, *output, *count)
	}
	code, _ := e.usageError(flags, "want METHOD PATH, or -request ID and one or more log files, or - for standard input")
	return code
}

// explainFromLogs prints the log lines related to one request: its attempts and refusals, and the
// preceding events of its targets.
func (e *env) explainFromLogs(request string, files []string, output string) int {
	var lines []logLine
	for _, name := range files {
		read, err := e.readLog(name)
		if err != nil {
			return e.fail(err)
		}
		lines = append(lines, read...)
	}
	related := relatedLines(lines, request)
	if len(related) == 0 {
		return e.fail(errors.Errorf("the logs contain no line about request %s; lines about routine requests may have been omitted", request))
	}
	if output == "json" {
		fields := make([]map[string]string, 0, len(related))
		for _, l := range related {
			fields = append(fields, l.fields)
		}
		return e.writeJSON(fields)
	}
	for _, l := range related {
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

// logField matches a key=value pair of a log line.
var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// readLines parses log lines. It skips lines without a valid time field,
// which do not come from a host.
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

// relatedLines returns the lines about a request and the events of its targets, from
// targetEventWindow before its first line until its last, ordered by time.
func relatedLines(lines []logLine, request string) []logLine {
	var related []logLine
	targets := map[string]bool{}
	for _, l := range lines {
		if l.fields["request_id"] != request {
			continue
		}
		related = append(related, l)
		if target := l.fields["target"]; target != "" {
			targets[target] = true
		}
	}
	if len(related) == 0 {
		return nil
	}
	sortByTime(related)
	first, last := related[0].at, related[len(related)-1].at
	for _, l := range lines {
		aboutTarget := targets[l.fields["target"]] && l.fields["request_id"] == ""
		if aboutTarget && !l.at.Before(first.Add(-targetEventWindow)) && !l.at.After(last) {
			related = append(related, l)
		}
	}
	sortByTime(related)
	return related
}

func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
}
