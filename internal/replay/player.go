package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// epoch is the start of every run, an arbitrary fixed time.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// Streams of the generators that a seed starts. Separate streams keep the
// arrivals equal for all deciders.
const (
	streamArrivals = 1 << 32
	streamTargets  = 2 << 32
	streamDeciders = 3 << 32
)

// Options changes how a trace is run.
type Options struct {
	// Short ends the run at the trace's short duration if it has one.
	Short bool
}

type player struct {
	trace   *Trace
	build   DeciderConstructor
	end     time.Duration
	now     time.Duration
	queue   queue
	events  uint64
	hosts   []*host
	targets []*target
	index   map[ident.TargetID]int
	rng     *rand.Rand
	cuts    []EvidenceCut
	config  dispatch.Config
	measure *measure
	checks  []check
	err     error
}

// Run plays a trace with one decider per host and returns the report. It fails
// if a decider breaks its contract, such as starting an attempt for a request
// that has ended.
func Run(t *Trace, name string, build DeciderConstructor, opt Options) (*Report, error) {
	p := newPlayer(t, build, opt)
	p.schedule()
	for p.err == nil {
		next, ok := p.queue.pop()
		if !ok || next.at > p.end {
			break
		}
		p.now = next.at
		p.events++
		next.run.happen(p)
	}
	if p.err != nil {
		return nil, fmt.Errorf("%s: decider %s at %s: %w", t.File, name, p.now, p.err)
	}
	p.now = p.end
	return p.report(name), nil
}

func newPlayer(t *Trace, build DeciderConstructor, opt Options) *player {
	p := &player{
		trace: t,
		build: build,
		end:   t.Duration,
		index: map[ident.TargetID]int{},
		rng:   rand.New(rand.NewPCG(t.Seed, streamTargets)),
	}
	if opt.Short && t.ShortDuration > 0 {
		p.end = t.ShortDuration
	}
	for i := range t.Targets {
		p.targets = append(p.targets, newTarget(t, i))
		p.index[t.Targets[i].ID] = i
	}
	p.measure = newMeasure(p)
	for _, e := range t.Expectations {
		p.checks = append(p.checks, newCheck(e))
	}
	p.configure()
	return p
}

func (p *player) schedule() {
	p.hosts = make([]*host, len(p.trace.Hosts))
	for i := range p.trace.Hosts {
		if !p.trace.Hosts[i].Absent {
			p.join(i)
		}
	}
	for i := range p.trace.Steps {
		step := &p.trace.Steps[i]
		p.queue.push(step.At, stepEvent{step})
	}
	for i := range p.trace.Faults {
		if f := &p.trace.Faults[i]; f.Kind == FaultDown {
			p.queue.push(f.From, downEvent{f})
		}
	}
}

// clock returns the time of the current event.
func (p *player) clock() time.Time { return epoch.Add(p.now) }

func (p *player) fail(format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, args...)
	}
}

// configure builds the configuration from the targets that are present.
func (p *player) configure() {
	cfg := p.trace.Config
	cfg.Targets = nil
	for _, t := range p.targets {
		if t.present {
			cfg.Targets = append(cfg.Targets, t.decl.Target)
		}
	}
	cfg.Revision = p.config.Revision + 1
	p.config = cfg
}

// delay returns the one-way delay between two locations.
func (p *player) delay(a, b ident.Location) time.Duration {
	switch {
	case a.Zone == b.Zone:
		return p.trace.Network.WithinZone
	case a.Region == b.Region:
		return p.trace.Network.BetweenZones
	default:
		return p.trace.Network.BetweenRegions
	}
}
