package replay

import (
	"bufio"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Limits of a trace, so that a typing error cannot exhaust memory.
const (
	maxTargets = 10000
	maxHosts   = 1000
	maxLine    = 64 << 10
)

type parser struct {
	trace *Trace
	line  int
	// headerDone is set by the first time-stamped line, which ends the header.
	headerDone bool
	// openFaults holds the indexes of faults without "until", which a "heal" line
	// ends.
	openFaults []int
	// lastNumbers holds the last number used for each prefix of targets and hosts.
	lastNumbers map[string]int
}

// ParseFile reads a trace from a file.
func ParseFile(name string) (*Trace, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return Parse(name, file)
}

// Parse reads a trace. It returns a *ParseError for an invalid line.
func Parse(name string, r io.Reader) (*Trace, error) {
	p := &parser{trace: newTrace(name), lastNumbers: map[string]int{}}
	if err := p.parseLines(r); err != nil {
		return nil, err
	}
	if err := p.completeTrace(); err != nil {
		return nil, err
	}
	return p.trace, nil
}

func newTrace(name string) *Trace {
	return &Trace{
		File:       name,
		Regions:    map[ident.Zone]ident.Region{},
		FaultGrace: 2 * time.Second,
		Config:     dispatch.Config{Revision: 1, Balance: 0.5, QueueLength: 64, RetryRatio: 0.1, ProbeInterval: 2 * time.Second},
		Network: Network{
			WithinZone:     100 * time.Microsecond,
			BetweenZones:   500 * time.Microsecond,
			BetweenRegions: 30 * time.Millisecond,
			DialTime:       time.Millisecond,
			ProbeTime:      25 * time.Millisecond,
			MaxIdle:        4,
		},
		Evidence: EvidenceExchange{Interval: time.Second},
		Load:     LoadPolling{Interval: 2 * time.Second},
	}
}

func (p *parser) parseLines(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 4096), maxLine)
	for scanner.Scan() {
		p.line++
		text, _, _ := strings.Cut(scanner.Text(), "#")
		if strings.TrimSpace(text) == "" {
			continue
		}
		if err := p.parseLine(text); err != nil {
			return p.withPosition(err)
		}
	}
	if err := scanner.Err(); err != nil {
		p.line++
		return p.withPosition(&ParseError{Problem: err.Error(), Expected: "lines of at most 64 KiB"})
	}
	return nil
}

func (p *parser) withPosition(e *ParseError) error {
	e.File, e.Line = p.trace.File, p.line
	return e
}

func (p *parser) parseLine(text string) *ParseError {
	verb := strings.Fields(text)[0]
	if verb == "expect" {
		return p.parseExpectation(text)
	}
	if verb[0] >= '0' && verb[0] <= '9' {
		return p.parseStep(text)
	}
	header, ok := headerVerbs[verb]
	if !ok {
		return &ParseError{Problem: "unknown line " + quote(verb), Expected: "a time such as 1.5s, expect, or one of " + headerNames(headerVerbs)}
	}
	if p.headerDone {
		return &ParseError{Problem: "header line " + quote(verb) + " after a time-stamped line", Expected: "all header lines first"}
	}
	f := splitFields(text, header.syntax)
	f.takeWord("verb")
	header.parse(p, f)
	return f.finish()
}

// completeTrace checks the trace as a whole and completes it.
func (p *parser) completeTrace() error {
	t := p.trace
	missing := map[string]bool{
		"duration": t.Duration == 0,
		"service":  t.Config.Service == "",
		"class":    len(t.Config.Classes) == 0,
		"targets":  len(t.Targets) == 0,
		"hosts":    len(t.Hosts) == 0,
	}
	for _, name := range []string{"duration", "service", "class", "targets", "hosts"} {
		if missing[name] {
			p.line++
			return p.withPosition(&ParseError{Problem: "no line " + quote(name), Expected: headerVerbs[name].syntax})
		}
	}
	if t.Name == "" {
		t.Name = t.File
	}
	for _, i := range p.openFaults {
		t.Faults[i].Until = t.Duration
	}
	slices.SortStableFunc(t.Steps, func(a, b Step) int { return int(min(max(a.At-b.At, -1), 1)) })
	return p.checkTimes()
}

// checkTimes rejects lines with a time after the end of the run. Expected outcomes
// must end within the short duration, if there is one, so that a shortened run
// checks all of them.
func (p *parser) checkTimes() error {
	end := p.trace.Duration
	if p.trace.ShortDuration > 0 {
		end = p.trace.ShortDuration
	}
	for _, e := range p.trace.Expectations {
		if err := p.checkTime(e.Line, e.latestTime(), end); err != nil {
			return err
		}
	}
	for _, s := range p.trace.Steps {
		if err := p.checkTime(s.Line, s.At, p.trace.Duration); err != nil {
			return err
		}
	}
	for _, f := range p.trace.Faults {
		if err := p.checkTime(f.Line, f.From, p.trace.Duration); err != nil {
			return err
		}
	}
	return nil
}

func (p *parser) checkTime(line int, at, end time.Duration) error {
	if at <= end {
		return nil
	}
	p.line = line
	return p.withPosition(&ParseError{Problem: "time is after the end of the run", Expected: "a time up to " + end.String()})
}
