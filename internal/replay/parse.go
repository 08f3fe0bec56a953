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

// Limits of a trace. They keep a typing error from using all memory.
const (
	maxTargets = 10000
	maxHosts   = 1000
	maxLine    = 64 << 10
)

type parser struct {
	trace *Trace
	line  int
	// timed is set by the first time-stamped line, which ends the header.
	timed bool
	// openFaults are faults without "until", which a "heal" line ends.
	openFaults []int
	// numbers holds the last number of each prefix of targets and hosts.
	numbers map[string]int
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

// Parse reads a trace. A refused line gives a *ParseError.
func Parse(name string, r io.Reader) (*Trace, error) {
	p := &parser{trace: newTrace(name), numbers: map[string]int{}}
	if err := p.lines(r); err != nil {
		return nil, err
	}
	if err := p.complete(); err != nil {
		return nil, err
	}
	return p.trace, nil
}

func newTrace(name string) *Trace {
	return &Trace{
		File:    name,
		Regions: map[ident.Zone]ident.Region{},
		FaultGrace:   2 * time.Second,
		Config:  dispatch.Config{Revision: 1, Balance: 0.5, QueueLength: 64, RetryBudget: 0.1, ProbeInterval: 2 * time.Second},
		Network: Network{
			WithinZone:    100 * time.Microsecond,
			BetweenZones:   500 * time.Microsecond,
			BetweenRegions: 30 * time.Millisecond,
			DialTime:    time.Millisecond,
			ProbeTime:   25 * time.Millisecond,
			MaxIdle:    4,
		},
		Evidence: EvidenceExchange{Interval: time.Second},
		Load:     LoadPolling{Interval: 2 * time.Second},
	}
}

func (p *parser) lines(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 4096), maxLine)
	for scanner.Scan() {
		p.line++
		text, _, _ := strings.Cut(scanner.Text(), "#")
		if strings.TrimSpace(text) == "" {
			continue
		}
		if err := p.one(text); err != nil {
			return p.located(err)
		}
	}
	if err := scanner.Err(); err != nil {
		p.line++
		return p.located(&ParseError{Problem: err.Error(), Expected: "lines of at most 64 KiB"})
	}
	return nil
}

func (p *parser) located(e *ParseError) error {
	e.File, e.Line = p.trace.File, p.line
	return e
}

func (p *parser) one(text string) *ParseError {
	verb := strings.Fields(text)[0]
	if verb == "expect" {
		return p.expect(text)
	}
	if verb[0] >= '0' && verb[0] <= '9' {
		return p.step(text)
	}
	header, ok := headers[verb]
	if !ok {
		return &ParseError{Problem: "unknown line " + quote(verb), Expected: "a time such as 1.5s, expect, or one of " + names(headers)}
	}
	if p.timed {
		return &ParseError{Problem: "header line " + quote(verb) + " after a time-stamped line", Expected: "all header lines first"}
	}
	f := splitFields(text, header.syntax)
	f.word("verb")
	header.parse(p, f)
	return f.finish()
}

// complete checks what only the whole trace shows.
func (p *parser) complete() error {
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
			return p.located(&ParseError{Problem: "no line " + quote(name), Expected: headers[name].syntax})
		}
	}
	if t.Name == "" {
		t.Name = t.File
	}
	for _, i := range p.openFaults {
		t.Faults[i].Until = t.Duration
	}
	slices.SortStableFunc(t.Steps, func(a, b Step) int { return int(min(max(a.At-b.At, -1), 1)) })
	return p.inTime()
}

// inTime refuses lines that a run would never reach. A shortened run must reach
// every expected outcome.
func (p *parser) inTime() error {
	end := p.trace.Duration
	if p.trace.ShortDuration > 0 {
		end = p.trace.ShortDuration
	}
	for _, e := range p.trace.Expectations {
		if err := p.reached(e.Line, e.latest(), end); err != nil {
			return err
		}
	}
	for _, s := range p.trace.Steps {
		if err := p.reached(s.Line, s.At, p.trace.Duration); err != nil {
			return err
		}
	}
	for _, f := range p.trace.Faults {
		if err := p.reached(f.Line, f.From, p.trace.Duration); err != nil {
			return err
		}
	}
	return nil
}

func (p *parser) reached(line int, at, end time.Duration) error {
	if at <= end {
		return nil
	}
	p.line = line
	return p.located(&ParseError{Problem: "time is after the end of the run", Expected: "a time up to " + end.String()})
}
