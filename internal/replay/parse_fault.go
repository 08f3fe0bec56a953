package replay

import (
	"slices"
	"time"
)

// stepFault adds one fault per target. The fault ends at the time of the key
// "until", at a later "heal" line, or at the end of the run.
func (p *parser) stepFault(f *lineFields, at time.Duration) any {
	f.require("kind")
	targets := p.parseTargets(f)
	fault := Fault{
		From:        at,
		Until:       p.parseUntil(f, at, -1),
		Kind:        FaultKind(f.choice("kind", 0, faultNames...)),
		Share:       f.share("share", 1),
		SlowFactor:  f.number("slow", 1, 1, 1e6),
		OnDuration:  f.duration("on", 0),
		OffDuration: f.duration("off", 0),
	}
	if fault.Kind == FaultSlow && fault.SlowFactor <= 1 {
		f.fail("slow=FACTOR above 1", "kind=slow without a factor")
	}
	if (fault.OnDuration > 0) != (fault.OffDuration > 0) {
		f.fail("on=DURATION and off=DURATION together", "only one of on and off is set")
	}
	if f.has("hosts") {
		fault.Hosts = indexSet(p.parseHosts(f))
	}
	fault.ProbeModeSet = f.has("probes")
	fault.ProbeMode = ProbeMode(f.choice("probes", 0, "follow", "pass", "fail"))
	p.addFaults(targets, fault)
	return nil
}

func indexSet(indexes []int) map[int]bool {
	m := map[int]bool{}
	for _, i := range indexes {
		m[i] = true
	}
	return m
}

func (p *parser) addFaults(targets []int, fault Fault) {
	for _, target := range targets {
		fault.Line, fault.Target = p.line, target
		if fault.Until < 0 {
			p.openFaults = append(p.openFaults, len(p.trace.Faults))
		}
		p.trace.Faults = append(p.trace.Faults, fault)
	}
}

func (p *parser) stepHeal(f *lineFields, at time.Duration) any {
	targets := p.parseTargets(f)
	var stillOpen []int
	ended := false
	for _, i := range p.openFaults {
		fault := &p.trace.Faults[i]
		if !slices.Contains(targets, fault.Target) || fault.From > at {
			stillOpen = append(stillOpen, i)
			continue
		}
		fault.Until = at
		ended = true
	}
	p.openFaults = stillOpen
	if !ended {
		f.fail("a target with an earlier fault line that has no until", "nothing to heal")
	}
	return nil
}

func (p *parser) stepRestart(f *lineFields, at time.Duration) any {
	targets := p.parseTargets(f)
	fault := Fault{From: at, Kind: FaultDown, Share: 1, SlowFactor: 1}
	fault.Until = at + f.duration("down", 5*time.Second)
	fault.ColdFactor = f.number("cold", 1, 1, 1e6)
	fault.ColdFor = f.duration("cold-for", 30*time.Second)
	p.addFaults(targets, fault)
	return Restart{Targets: targets}
}

func (p *parser) stepSilence(f *lineFields, _ time.Duration) any {
	return Silence{Targets: p.parseTargets(f), Hosts: p.parseHosts(f)}
}

func (p *parser) stepDrain(f *lineFields, _ time.Duration) any {
	return Drain{Targets: p.parseTargets(f), Draining: true, RefuseRequests: f.choice("refuse", 0, "yes", "no") == 0}
}

func (p *parser) stepUndrain(f *lineFields, _ time.Duration) any {
	return Drain{Targets: p.parseTargets(f)}
}

func hostStep(change HostChange) func(*parser, *lineFields, time.Duration) any {
	return func(p *parser, f *lineFields, _ time.Duration) any {
		return ChangeHosts{Hosts: p.requireHosts(f, f.takeWord("host")), Change: change}
	}
}

func targetStep(add bool) func(*parser, *lineFields, time.Duration) any {
	return func(p *parser, f *lineFields, _ time.Duration) any {
		return ChangeTargets{Targets: p.parseTargets(f), Present: add}
	}
}

func (p *parser) stepCut(f *lineFields, at time.Duration) any {
	return EvidenceCut{
		From:   p.requireHosts(f, f.takeWord("first host")),
		To:     p.requireHosts(f, f.takeWord("second host")),
		Until:  p.parseUntil(f, at, p.trace.Duration),
		Delay:  f.duration("delay", 0),
		OneWay: f.takeFlag("one-way"),
	}
}
