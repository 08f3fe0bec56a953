package replay

import (
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Expect is one expected outcome.
type Expectation struct {
	Line int
	Text string
	Kind string
	// Targets are the targets that the line names, nil if it names none.
	Targets []int
	// Hosts limits the line to these hosts; nil means all.
	Hosts map[int]bool
	Class ident.ClassName
	From  time.Duration
	// To is the end of the period, 0 for the end of the run.
	To time.Duration
	// Within bounds the detection time of "detect".
	Within time.Duration
	// Share is a lower or upper bound, according to the kind.
	Share float64
	// Max is an upper bound on a count; -1 if the bound is a share.
	Max float64
	// Mean is an upper bound on a mean; 0 if there is none.
	Mean float64
	// PerPair counts pairs of host and target instead of targets.
	PerPair bool
	// Senders limits the hosts to those that sent work to the target.
	SendersOnly bool
}

// latest returns the last time that the line mentions.
func (e *Expectation) latest() time.Duration { return max(e.From, e.To) }

// on tells whether the line is about a host.
func (e *Expectation) on(host int) bool { return e.Hosts == nil || e.Hosts[host] }

// covers tells whether a time is within the period of the line.
func (e *Expectation) covers(at time.Duration) bool {
	return at >= e.From && (e.To == 0 || at < e.To)
}

type expectVerb struct {
	syntax string
	parse  func(p *parser, f *fields, e *Expectation)
}

// expects lists the kinds of expected outcomes; init avoids an initialization
// cycle.
var expects map[string]expectVerb

func init() {
	expects = map[string]expectVerb{
		"out":             {"expect out TARGETS by=TIME [from=TIME] [share=SHARE] [of=live|senders] [hosts=HOSTS]", (*parser).expectOut},
		"back":            {"expect back TARGETS by=TIME [share=SHARE] [hosts=HOSTS]", (*parser).expectBack},
		"detect":          {"expect detect TARGETS within=DURATION [share=SHARE] [hosts=HOSTS]", (*parser).expectDetect},
		"never-out":       {"expect never-out TARGETS [from=TIME] [to=TIME] [hosts=HOSTS]", (*parser).expectPeriod},
		"no-work":         {"expect no-work TARGETS from=TIME [to=TIME] [max=N]", (*parser).expectNoWork},
		"floor":           {"expect floor [from=TIME] [to=TIME]", (*parser).expectFloor},
		"attempts":        {"expect attempts [class=CLASS] max=N | mean=NUMBER", (*parser).expectAttempts},
		"no-repeat":       {"expect no-repeat [class=CLASS]", (*parser).expectClass},
		"refusals":        {"expect refusals [class=CLASS] [from=TIME] [to=TIME] max=N | share=SHARE", (*parser).expectRefusals},
		"success":         {"expect success [class=CLASS] [from=TIME] [to=TIME] share=SHARE", (*parser).expectSuccess},
		"false-ejections": {"expect false-ejections max=N | rate=NUMBER [per=target|pair]", (*parser).expectFalse},
	}
}

func expectNames() string {
	var list []string
	for name := range expects {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func (p *parser) expect(text string) *ParseError {
	words := strings.Fields(text)
	if len(words) < 2 {
		return &ParseError{Problem: "an expect line without a kind", Expected: "one of " + expectNames()}
	}
	v, ok := expects[words[1]]
	if !ok {
		return &ParseError{Problem: "unknown kind " + quote(words[1]), Expected: "one of " + expectNames()}
	}
	f := splitFields(text, v.syntax)
	f.words = f.words[min(2, len(f.words)):]
	e := Expectation{Line: p.line, Kind: words[1], Text: strings.Join(words[1:], " "), Max: -1}
	v.parse(p, f, &e)
	p.trace.Expectations = append(p.trace.Expectations, e)
	return f.finish()
}

func (p *parser) expectOut(f *fields, e *Expectation) {
	f.require("by")
	e.Targets = p.targets(f)
	e.To = f.duration("by", 0)
	e.From = f.duration("from", p.onset(e.Targets, e.To))
	e.Share = f.share("share", 1)
	p.expectHosts(f, e)
	e.SendersOnly = f.choice("of", 0, "live", "senders") == 1
	if e.From > e.To {
		f.fail("by after from", "by is before the start of the period")
	}
}

func (p *parser) expectBack(f *fields, e *Expectation) {
	f.require("by")
	e.Targets = p.targets(f)
	e.To = f.duration("by", 0)
	e.Share = f.share("share", 1)
	p.expectHosts(f, e)
}

func (p *parser) expectHosts(f *fields, e *Expectation) {
	if f.has("hosts") {
		e.Hosts = set(p.hostsKey(f))
	}
}

// onset returns the start of the last fault of the targets at or before a time,
// 0 if there is none.
func (p *parser) onset(targets []int, at time.Duration) time.Duration {
	var latest time.Duration
	for _, fault := range p.trace.Faults {
		if fault.From <= at && slices.Contains(targets, fault.Target) {
			latest = max(latest, fault.From)
		}
	}
	return latest
}

func (p *parser) expectDetect(f *fields, e *Expectation) {
	f.require("within")
	e.Targets = p.targets(f)
	e.Within = f.duration("within", 0)
	e.Share = f.share("share", 1)
	p.expectHosts(f, e)
	for _, target := range e.Targets {
		if !slices.ContainsFunc(p.trace.Faults, func(x Fault) bool { return x.Target == target }) {
			f.fail("an earlier fault line for each target", "target %s has no fault", p.trace.Targets[target].ID)
		}
	}
}

func (p *parser) period(f *fields, e *Expectation) {
	e.From = f.duration("from", 0)
	e.To = f.duration("to", 0)
	if e.To > 0 && e.To <= e.From {
		f.fail("to after from", "the period is empty")
	}
}

func (p *parser) expectPeriod(f *fields, e *Expectation) {
	e.Targets = p.targets(f)
	p.period(f, e)
	p.expectHosts(f, e)
}

func (p *parser) expectNoWork(f *fields, e *Expectation) {
	f.require("from")
	e.Targets = p.targets(f)
	p.period(f, e)
	e.Max = float64(f.integer("max", 0, 0, 1e9))
}

func (p *parser) expectFloor(f *fields, e *Expectation) { p.period(f, e) }

func (p *parser) expectClass(f *fields, e *Expectation) {
	name, ok := f.take("class")
	if !ok {
		return
	}
	e.Class = ident.ClassName(name)
	if p.class(e.Class) == nil {
		f.fail("a class that a class line declares", "unknown class %q", name)
	}
}

// oneBound requires exactly one of two keys.
func oneBound(f *fields, a, b string) {
	if f.has(a) == f.has(b) {
		f.fail(f.syntax, "needs one of %s and %s", a, b)
	}
}

func (p *parser) expectAttempts(f *fields, e *Expectation) {
	oneBound(f, "max", "mean")
	p.expectClass(f, e)
	e.Max = float64(f.integer("max", -1, 1, 1000))
	e.Mean = f.number("mean", 0, 1, 1000)
}

func (p *parser) expectRefusals(f *fields, e *Expectation) {
	oneBound(f, "max", "share")
	p.expectClass(f, e)
	p.period(f, e)
	e.Max = float64(f.integer("max", -1, 0, 1e9))
	e.Share = f.share("share", 0)
}

func (p *parser) expectSuccess(f *fields, e *Expectation) {
	f.require("share")
	p.expectClass(f, e)
	p.period(f, e)
	e.Share = f.share("share", 0)
}

func (p *parser) expectFalse(f *fields, e *Expectation) {
	oneBound(f, "max", "rate")
	e.Max = float64(f.integer("max", -1, 0, 1e9))
	e.Mean = f.number("rate", 0, 0, 1e9)
	e.PerPair = f.choice("per", 0, "target", "pair") == 1
}
