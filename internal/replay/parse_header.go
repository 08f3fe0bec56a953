package replay

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// verb is one kind of line.
type verb struct {
	syntax string
	parse  func(p *parser, f *fields)
}

// headers lists the header lines. It is filled by init because the parse
// functions refer to it.
var headers map[string]verb

func init() {
	headers = map[string]verb{
		"trace":    {"trace NAME", (*parser).headerTrace},
		"seed":     {"seed NUMBER", (*parser).headerSeed},
		"duration": {"duration DURATION [short=DURATION]", (*parser).headerDuration},
		"service":  {"service NAME", (*parser).headerService},
		"zone":     {"zone NAME region=NAME", (*parser).headerZone},
		"policy":   {"policy [balance=SHARE] [queue=N] [retry-budget=SHARE] [probe=DURATION]", (*parser).headerPolicy},
		"class":    {"class NAME idempotent|non-idempotent [floor=SHARE] [deadline=DURATION] [timeout=DURATION] [attempts=N] [upload]", (*parser).headerClass},
		"targets":  {"targets PREFIX count=N zones=ZONE,... slots=N [connections=N] [absent] [behaviour keys]", (*parser).headerTargets},
		"hosts":    {"hosts PREFIX count=N zones=ZONE,... [absent]", (*parser).headerHosts},
		"network":  {"network [zone=DURATION] [zones=DURATION] [regions=DURATION] [dial=DURATION] [probe=DURATION] [idle=N]", (*parser).headerNetwork},
		"evidence": {"evidence [every=DURATION] [delay=DURATION]", (*parser).headerEvidence},
		"load":     {"load [every=DURATION]", (*parser).headerLoad},
		"measure":  {"measure [grace=DURATION]", (*parser).headerMeasure},
	}
}

func names(verbs map[string]verb) string {
	var list []string
	for name := range verbs {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func quote(s string) string { return strconv.Quote(s) }

func (p *parser) headerTrace(f *fields) { p.trace.Name = f.word("name") }

func (p *parser) headerSeed(f *fields) {
	word := f.word("number")
	seed, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		f.fail("an unsigned integer", "invalid seed %q", word)
	}
	p.trace.Seed = seed
}

func (p *parser) headerDuration(f *fields) {
	word := f.word("duration")
	d, err := parseDuration(word)
	if err != nil || d == 0 {
		f.fail("a duration such as 10m, above 0 and up to 10000h", "invalid duration %q", word)
	}
	p.trace.Duration = d
	p.trace.ShortDuration = f.duration("short", 0)
	if p.trace.ShortDuration > d {
		f.fail("a time up to "+d.String(), "short is longer than the duration")
	}
}

func (p *parser) headerService(f *fields) { p.trace.Config.Service = ident.ServiceName(f.word("name")) }

func (p *parser) headerZone(f *fields) {
	f.require("region")
	zone := ident.Zone(f.word("name"))
	if _, twice := p.trace.Regions[zone]; twice {
		f.fail("each zone once", "zone %q is declared twice", zone)
	}
	p.trace.Regions[zone] = ident.Region(f.text("region", ""))
}

// headerPolicy keeps the values of keys that the line does not mention, so
// that a policy file can override single keys.
func (p *parser) headerPolicy(f *fields) {
	c := &p.trace.Config
	c.Balance = f.share("balance", c.Balance)
	c.QueueLength = f.integer("queue", c.QueueLength, 0, 1<<20)
	c.RetryBudget = f.share("retry-budget", c.RetryBudget)
	c.ProbeInterval = f.duration("probe", c.ProbeInterval)
	p.atLeast(f, "probe", c.ProbeInterval)
}

func (p *parser) headerClass(f *fields) {
	name := ident.ClassName(f.word("name"))
	if p.class(name) != nil {
		f.fail("each class once", "class %q is declared twice", name)
	}
	c := dispatch.Class{Name: name, Floor: 0.5, Deadline: 5 * time.Second, MaxAttempts: 3}
	c.Idempotent = f.flag("idempotent")
	if nonIdempotent := f.flag("non-idempotent"); c.Idempotent == nonIdempotent {
		f.fail(f.syntax, "class %q needs one of idempotent and non-idempotent", name)
	}
	classKeys(f, &c)
	if c.AttemptTimeout == 0 {
		c.AttemptTimeout = c.Deadline
	}
	p.trace.Config.Classes = append(p.trace.Config.Classes, c)
}

func classKeys(f *fields, c *dispatch.Class) {
	c.Upload = f.flag("upload") || c.Upload
	c.Floor = f.share("floor", c.Floor)
	c.Deadline = f.duration("deadline", c.Deadline)
	c.AttemptTimeout = f.duration("timeout", c.AttemptTimeout)
	c.MaxAttempts = f.integer("attempts", c.MaxAttempts, 1, 100)
	if c.Deadline == 0 {
		f.fail("a deadline above 0", "deadline is 0")
	}
}

func (p *parser) class(name ident.ClassName) *dispatch.Class {
	for i := range p.trace.Config.Classes {
		if p.trace.Config.Classes[i].Name == name {
			return &p.trace.Config.Classes[i]
		}
	}
	return nil
}

// zones returns the locations of the key "zones", which are used in turn.
func (p *parser) zones(f *fields) []ident.Location {
	f.require("zones", "count")
	var list []ident.Location
	for _, name := range strings.Split(f.text("zones", ""), ",") {
		region, ok := p.trace.Regions[ident.Zone(name)]
		if !ok {
			f.fail("zones that a zone line declares", "unknown zone %q", name)
		}
		list = append(list, ident.Location{Region: region, Zone: ident.Zone(name)})
	}
	return list
}

func (p *parser) headerTargets(f *fields) {
	prefix := f.word("prefix")
	zones := p.zones(f)
	f.require("slots")
	count := f.integer("count", 0, 1, maxTargets)
	slots := f.integer("slots", 0, 1, 1<<20)
	connections := f.integer("connections", 330, 1, 1<<20)
	absent := f.flag("absent")
	b := Behaviour{Latency: Distribution{name: "constant", scale: float64(20 * time.Millisecond)}, QueueLength: 8, ReportedInFlight: -1}
	for _, change := range behaviourKeys(f) {
		change(&b)
	}
	if len(p.trace.Targets)+count > maxTargets {
		f.fail(fmt.Sprintf("at most %d targets", maxTargets), "too many targets")
		return
	}
	for i := range count {
		id := ident.TargetID(p.nextName("target", prefix))
		t := dispatch.Target{ID: id, Location: zones[i%len(zones)], Slots: slots, MaxConnections: connections}
		p.trace.Targets = append(p.trace.Targets, Target{Target: t, Behaviour: b, Absent: absent})
	}
}

// nextName continues the numbers of a prefix.
func (p *parser) nextName(kind, prefix string) string {
	key := kind + " " + prefix
	p.numbers[key]++
	return fmt.Sprintf("%s-%d", prefix, p.numbers[key])
}

func (p *parser) headerHosts(f *fields) {
	prefix := f.word("prefix")
	zones := p.zones(f)
	count := f.integer("count", 0, 1, maxHosts)
	absent := f.flag("absent")
	if len(p.trace.Hosts)+count > maxHosts {
		f.fail(fmt.Sprintf("at most %d hosts", maxHosts), "too many hosts")
		return
	}
	for i := range count {
		id := ident.HostID(p.nextName("host", prefix))
		p.trace.Hosts = append(p.trace.Hosts, Host{ID: id, Location: zones[i%len(zones)], Absent: absent})
	}
}

func (p *parser) headerNetwork(f *fields) {
	n := &p.trace.Network
	n.WithinZone = f.duration("zone", n.WithinZone)
	n.BetweenZones = f.duration("zones", n.BetweenZones)
	n.BetweenRegions = f.duration("regions", n.BetweenRegions)
	n.DialTime = f.duration("dial", n.DialTime)
	n.ProbeTime = f.duration("probe", n.ProbeTime)
	n.MaxIdle = f.integer("idle", n.MaxIdle, 0, 1000)
}

// minInterval bounds intervals from below, so that a run cannot spend all its
// time on periodic work.
const minInterval = time.Millisecond

func (p *parser) atLeast(f *fields, key string, d time.Duration) {
	if d > 0 && d < minInterval {
		f.fail("0 or at least "+minInterval.String(), "%s: interval %s is too short", key, d)
	}
}

func (p *parser) headerEvidence(f *fields) {
	e := &p.trace.Evidence
	e.Interval = f.duration("every", e.Interval)
	e.Delay = f.duration("delay", e.Delay)
	p.atLeast(f, "every", e.Interval)
}

func (p *parser) headerLoad(f *fields) {
	p.trace.Load.Interval = f.duration("every", p.trace.Load.Interval)
	p.atLeast(f, "every", p.trace.Load.Interval)
}

func (p *parser) headerMeasure(f *fields) { p.trace.FaultGrace = f.duration("grace", p.trace.FaultGrace) }
