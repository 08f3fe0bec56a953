package replay

import (
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

type stepVerb struct {
	syntax string
	parse  func(p *parser, f *lineFields, at time.Duration) any
}

// stepVerbs holds the kinds of time-stamped lines. It is filled by init because
// the parse functions refer to it.
var stepVerbs map[string]stepVerb

func init() {
	stepVerbs = map[string]stepVerb{
		"arrivals": {"TIME arrivals CLASS rate=NUMBER [until=TIME] [hosts=HOSTS] [process=poisson|constant] [deadline=DURATION] [cancel=DURATION]", (*parser).stepArrivals},
		"request":  {"TIME request CLASS [count=N] [hosts=HOSTS] [deadline=DURATION] [cancel=DURATION]", (*parser).stepRequest},
		"set":      {"TIME set TARGETS KEY=VALUE ...", (*parser).stepSet},
		"fault":    {"TIME fault TARGETS kind=KIND [share=SHARE] [slow=FACTOR] [hosts=HOSTS] [until=TIME] [probes=follow|pass|fail] [on=DURATION off=DURATION]", (*parser).stepFault},
		"heal":     {"TIME heal TARGETS", (*parser).stepHeal},
		"restart":  {"TIME restart TARGETS [down=DURATION] [cold=FACTOR] [cold-for=DURATION]", (*parser).stepRestart},
		"silence":  {"TIME silence TARGETS [hosts=HOSTS]", (*parser).stepSilence},
		"drain":    {"TIME drain TARGETS [refuse=yes|no]", (*parser).stepDrain},
		"undrain":  {"TIME undrain TARGETS", (*parser).stepUndrain},
		"join":     {"TIME join HOSTS", hostStep(HostJoins)},
		"leave":    {"TIME leave HOSTS", hostStep(HostLeaves)},
		"kill":     {"TIME kill HOSTS", hostStep(HostKilled)},
		"add":      {"TIME add TARGETS", targetStep(true)},
		"remove":   {"TIME remove TARGETS", targetStep(false)},
		"cut":      {"TIME cut HOSTS HOSTS [until=TIME] [delay=DURATION] [one-way]", (*parser).stepCut},
	}
}

func stepNames() string {
	var list []string
	for name := range stepVerbs {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func (p *parser) parseStep(text string) *ParseError {
	words := strings.Fields(text)
	at, err := parseDuration(words[0])
	if err != nil {
		return &ParseError{Problem: err.Error(), Expected: "a time such as 1.5s, 0s to 10000h"}
	}
	if len(words) < 2 {
		return &ParseError{Problem: "a time without a verb", Expected: "one of " + stepNames()}
	}
	verb, ok := stepVerbs[words[1]]
	if !ok {
		return &ParseError{Problem: "unknown verb " + quote(words[1]), Expected: "one of " + stepNames()}
	}
	p.headerDone = true
	f := splitFields(text, verb.syntax)
	f.words = f.words[min(2, len(f.words)):]
	action := verb.parse(p, f, at)
	if action != nil {
		p.trace.Steps = append(p.trace.Steps, Step{At: at, Line: p.line, Action: action})
	}
	return f.finish()
}

// matchNames returns the indexes of the names that match a comma-separated list of
// names and of prefixes followed by "*".
func matchNames[T ~string](pattern string, count int, nameOf func(int) T) []int {
	var list []int
	for _, part := range strings.Split(pattern, ",") {
		prefix, isPrefix := strings.CutSuffix(part, "*")
		for i := range count {
			name := string(nameOf(i))
			if name == part || (isPrefix && strings.HasPrefix(name, prefix)) {
				list = append(list, i)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (p *parser) matchTargets(pattern string) []int {
	return matchNames(pattern, len(p.trace.Targets), func(i int) ident.TargetID { return p.trace.Targets[i].ID })
}

// matchHosts returns the hosts that match the pattern, which may be none.
func (p *parser) matchHosts(pattern string) []int {
	return matchNames(pattern, len(p.trace.Hosts), func(i int) ident.HostID { return p.trace.Hosts[i].ID })
}

func (p *parser) parseTargets(f *lineFields) []int {
	pattern := f.takeWord("target")
	list := p.matchTargets(pattern)
	if len(list) == 0 {
		f.fail("declared targets such as errata-1, errata-1,errata-2 or errata-*", "no target matches %q", pattern)
	}
	return list
}

// requireHosts returns the hosts that match the pattern and reports an error if there
// are none.
func (p *parser) requireHosts(f *lineFields, pattern string) []int {
	list := p.matchHosts(pattern)
	if len(list) == 0 {
		f.fail("declared hosts such as host-1, host-1,host-2 or host-*", "no host matches %q", pattern)
	}
	return list
}

// parseHosts returns the hosts of the key "hosts", all hosts if it is not given.
func (p *parser) parseHosts(f *lineFields) []int { return p.requireHosts(f, f.text("hosts", "*")) }

func (p *parser) parseClassName(f *lineFields) ident.ClassName {
	name := ident.ClassName(f.takeWord("class"))
	if p.findClass(name) == nil {
		f.fail("a class that a class line declares", "unknown class %q", name)
	}
	return name
}

// parseUntil returns the value of the key "until", which must not be before the
// start of the period.
func (p *parser) parseUntil(f *lineFields, at, defaultValue time.Duration) time.Duration {
	given := f.has("until")
	end := f.duration("until", defaultValue)
	if given && end < at {
		f.fail("a time after "+at.String(), "until: %s is before the start", end)
	}
	return end
}

func (p *parser) stepArrivals(f *lineFields, at time.Duration) any {
	f.require("rate")
	return Arrivals{
		Class:        p.parseClassName(f),
		Rate:         f.number("rate", 0, 0.0001, 1e6),
		Until:        p.parseUntil(f, at, p.trace.Duration),
		Hosts:        p.parseHosts(f),
		ConstantRate: f.choice("process", 0, "poisson", "constant") == 1,
		Deadline:     f.duration("deadline", 0),
		CancelAfter:  f.duration("cancel", 0),
	}
}

func (p *parser) stepRequest(f *lineFields, _ time.Duration) any {
	return RequestBurst{
		Class:       p.parseClassName(f),
		Count:       f.integer("count", 1, 1, 1e6),
		Hosts:       p.parseHosts(f),
		Deadline:    f.duration("deadline", 0),
		CancelAfter: f.duration("cancel", 0),
	}
}

func (p *parser) stepSet(f *lineFields, _ time.Duration) any {
	s := SetBehaviour{Targets: p.parseTargets(f), Changes: parseBehaviour(f)}
	if len(s.Changes) == 0 {
		f.fail("at least one behaviour key", "nothing to set")
	}
	return s
}
