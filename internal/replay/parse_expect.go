package replay

import (
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Expectation is one expected outcome.
type Expectation struct {
	Line int
	Text string
	Kind string
	// Targets holds the indexes of the targets, nil if the line names none.
	Targets []int
	// Hosts limits the expectation to these hosts; nil means all.
	Hosts map[int]bool
	Class ident.ClassName
	From  time.Duration
	// To is the end of the period, 0 for the end of the run.
	To time.Duration
	// Within is the upper bound on the detection time for "detect".
	Within time.Duration
	// Share is a lower or an upper bound, depending on the kind.
	Share float64
	// Max is an upper bound on a count; -1 if the line gives another bound instead.
	Max float64
	// Mean is an upper bound on a mean, or for "false-ejections" on the rate per 1,000
	// target-hours; 0 if there is none.
	Mean float64
	// PerPair counts (host, target) pairs instead of targets.
	PerPair bool
	// SendersOnly limits the hosts to those that sent attempts other than trials to
	// the target during the period.
	SendersOnly bool
}

// latestTime returns the latest time of the expectation.
func (e *Expectation) latestTime() time.Duration { return max(e.From, e.To) }

// includesHost reports whether the expectation applies to a host.
func (e *Expectation) includesHost(host int) bool { return e.Hosts == nil || e.Hosts[host] }

// includesTime reports whether a time is within the period of the expectation.
func (e *Expectation) includesTime(at time.Duration) bool {
	return at >= e.From && (e.To == 0 || at < e.To)
}

type expectationKind struct {
	syntax string
	parse  func(p *parser, f *lineFields, e *Expectation)
}

// expectationKinds holds the kinds of expect lines. It is filled by init because
// the parse functions refer to it.
var expectationKinds map[string]expectationKind

func init() {
	expectationKinds = map[string]expectationKind{
		"out":             {"expect out TARGETS by=TIME [from=TIME] [share=SHARE] [of=live|senders] [hosts=HOSTS]", (*parser).expectOut},
		"back":            {"expect back TARGETS by=TIME [share=SHARE] [hosts=HOSTS]", (*parser).expectBack},
		"detect":          {"expect detect TARGETS within=DURATION [share=SHARE] [hosts=HOSTS]", (*parser).expectDetect},
		"never-out":       {"expect never-out TARGETS [from=TIME] [to=TIME] [hosts=HOSTS]", (*parser).expectNeverOut},
		"no-work":         {"expect no-work TARGETS from=TIME [to=TIME] [max=N]", (*parser).expectNoWork},
		"floor":           {"expect floor [from=TIME] [to=TIME]", (*parser).expectFloor},
		"attempts":        {"expect attempts [class=CLASS] max=N | mean=NUMBER", (*parser).expectAttempts},
		"no-repeat":       {"expect no-repeat [class=CLASS]", (*parser).expectClass},
		"refusals":        {"expect refusals [class=CLASS] [from=TIME] [to=TIME] max=N | share=SHARE", (*parser).expectRefusals},
		"success":         {"expect success [class=CLASS] [from=TIME] [to=TIME] share=SHARE", (*parser).expectSuccess},
		"false-ejections": {"expect false-ejections max=N | rate=NUMBER [per=target|pair]", (*parser).expectFalseEjections},
	}
}

func expectationKindNames() string {
	var list []string
	for name := range expectationKinds {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func (p *parser) parseExpectation(text string) *ParseError {
	words := strings.Fields(text)
	if len(words) < 2 {
		return &ParseError{Problem: "an expect line without a kind", Expected: "one of " + expectationKindNames()}
	}
	kind, ok := expectationKinds[words[1]]
	if !ok {
		return &ParseError{Problem: "unknown kind " + quote(words[1]), Expected: "one of " + expectationKindNames()}
	}
	f := splitFields(text, kind.syntax)
	f.words = f.words[min(2, len(f.words)):]
	e := Expectation{Line: p.line, Kind: words[1], Text: strings.Join(words[1:], " "), Max: -1}
	kind.parse(p, f, &e)
	p.trace.Expectations = append(p.trace.Expectations, e)
	return f.finish()
}

func (p *parser) expectOut(f *lineFields, e *Expectation) {
	f.require("by")
	e.Targets = p.parseTargets(f)
	e.To = f.duration("by", 0)
	e.From = f.duration("from", p.lastFaultStart(e.Targets, e.To))
	e.Share = f.share("share", 1)
	p.expectHosts(f, e)
	e.SendersOnly = f.choice("of", 0, "live", "senders") == 1
	if e.From > e.To {
		f.fail("by after from", "by is before the start of the period")
	}
}

func (p *parser) expectBack(f *lineFields, e *Expectation) {
	f.require("by")
	e.Targets = p.parseTargets(f)
	e.To = f.duration("by", 0)
	e.Share = f.share("share", 1)
	p.expectHosts(f, e)
}

func (p *parser) expectHosts(f *lineFields, e *Expectation) {
	if f.has("hosts") {
		e.Hosts = indexSet(p.parseHosts(f))
	}
}

// lastFaultStart returns the start of the last fault of the targets that begins at
// or before a time, 0 if there is none.
func (p *parser) lastFaultStart(targets []int, at time.Duration) time.Duration {
	var latest time.Duration
	for _, fault := range p.trace.Faults {
		if fault.From <= at && slices.Contains(targets, fault.Target) {
			latest = max(latest, fault.From)
		}
	}
	return latest
}

func (p *parser) expectDetect(f *lineFields, e *Expectation) {
	f.require("within")
	e.Targets = p.parseTargets(f)
	e.Within = f.duration("within", 0)
	e.Share = f.share("share", 1)
	p.expectHosts(f, e)
	for _, target := range e.Targets {
		if !slices.ContainsFunc(p.trace.Faults, func(x Fault) bool { return x.Target == target }) {
			f.fail("an earlier fault line for each target", "target %s has no fault", p.trace.Targets[target].ID)
		}
	}
}

func (p *parser) parsePeriod(f *lineFields, e *Expectation) {
	e.From = f.duration("from", 0)
	e.To = f.duration("to", 0)
	if e.To > 0 && e.To <= e.From {
		f.fail("to after from", "the period is empty")
	}
}

func (p *parser) expectNeverOut(f *lineFields, e *Expectation) {
	e.Targets = p.parseTargets(f)
	p.parsePeriod(f, e)
	p.expectHosts(f, e)
}

func (p *parser) expectNoWork(f *lineFields, e *Expectation) {
	f.require("from")
	e.Targets = p.parseTargets(f)
	p.parsePeriod(f, e)
	e.Max = float64(f.integer("max", 0, 0, 1e9))
}

func (p *parser) expectFloor(f *lineFields, e *Expectation) { p.parsePeriod(f, e) }

func (p *parser) expectClass(f *lineFields, e *Expectation) {
	name, ok := f.takeValue("class")
	if !ok {
		return
	}
	e.Class = ident.ClassName(name)
	if p.findClass(e.Class) == nil {
		f.fail("a class that a class line declares", "unknown class %q", name)
	}
}

// requireOneOf requires exactly one of two keys.
func requireOneOf(f *lineFields, a, b string) {
	if f.has(a) == f.has(b) {
		f.fail(f.syntax, "needs one of %s and %s", a, b)
	}
}

func (p *parser) expectAttempts(f *lineFields, e *Expectation) {
	requireOneOf(f, "max", "mean")
	p.expectClass(f, e)
	e.Max = float64(f.integer("max", -1, 1, 1000))
	e.Mean = f.number("mean", 0, 1, 1000)
}

func (p *parser) expectRefusals(f *lineFields, e *Expectation) {
	requireOneOf(f, "max", "share")
	p.expectClass(f, e)
	p.parsePeriod(f, e)
	e.Max = float64(f.integer("max", -1, 0, 1e9))
	e.Share = f.share("share", 0)
}

func (p *parser) expectSuccess(f *lineFields, e *Expectation) {
	f.require("share")
	p.expectClass(f, e)
	p.parsePeriod(f, e)
	e.Share = f.share("share", 0)
}

func (p *parser) expectFalseEjections(f *lineFields, e *Expectation) {
	requireOneOf(f, "max", "rate")
	e.Max = float64(f.integer("max", -1, 0, 1e9))
	e.Mean = f.number("rate", 0, 0, 1e9)
	e.PerPair = f.choice("per", 0, "target", "pair") == 1
}
