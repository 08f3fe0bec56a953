package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// epoch is the simulated time at which every run starts. It is arbitrary but fixed.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// Offsets that give each use of random numbers its own stream of the seed, so that
// all deciders receive the same arrivals.
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

// simulation is the state of one run of a trace.
type simulation struct {
	trace       *Trace
	newDecider  DeciderConstructor
	end         time.Duration
	now         time.Duration
	queue       eventQueue
	eventCount  uint64
	hosts       []*host
	targets     []*target
	targetIndex map[ident.TargetID]int
	rng         *rand.Rand
	cuts        []EvidenceCut
	config      dispatch.Config
	metrics     *runMetrics
	checks      []expectationCheck
	err         error
}

// Run replays a trace with one decider per host and returns the report. It fails if
// a decider violates its contract, for example by starting an attempt for a request
// that has ended.
func Run(t *Trace, name string, newDecider DeciderConstructor, opts Options) (*Report, error) {
	sim := newSimulation(t, newDecider, opts)
	sim.schedule()
	for sim.err == nil {
		next, ok := sim.queue.pop()
		if !ok || next.at > sim.end {
			break
		}
		sim.now = next.at
		sim.eventCount++
		next.event.apply(sim)
	}
	if sim.err != nil {
		return nil, fmt.Errorf("%s: decider %s at %s: %w", t.File, name, sim.now, sim.err)
	}
	sim.now = sim.end
	return sim.report(name), nil
}

func newSimulation(t *Trace, newDecider DeciderConstructor, opts Options) *simulation {
	sim := &simulation{
		trace:       t,
		newDecider:  newDecider,
		end:         t.Duration,
		targetIndex: map[ident.TargetID]int{},
		rng:         rand.New(rand.NewPCG(t.Seed, streamTargets)),
	}
	if opts.Short && t.ShortDuration > 0 {
		sim.end = t.ShortDuration
	}
	for i := range t.Targets {
		sim.targets = append(sim.targets, newTarget(t, i))
		sim.targetIndex[t.Targets[i].ID] = i
	}
	sim.metrics = newRunMetrics(sim)
	for _, e := range t.Expectations {
		sim.checks = append(sim.checks, newCheck(e))
	}
	sim.configure()
	return sim
}

func (sim *simulation) schedule() {
	sim.hosts = make([]*host, len(sim.trace.Hosts))
	for i := range sim.trace.Hosts {
		if !sim.trace.Hosts[i].Absent {
			sim.startHost(i)
		}
	}
	for i := range sim.trace.Steps {
		step := &sim.trace.Steps[i]
		sim.queue.push(step.At, stepEvent{step})
	}
	for i := range sim.trace.Faults {
		if f := &sim.trace.Faults[i]; f.Kind == FaultDown {
			sim.queue.push(f.From, targetDownEvent{f})
		}
	}
}

// clock returns the simulated time of the current event.
func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

// configure builds the configuration from the targets that are present.
func (sim *simulation) configure() {
	cfg := sim.trace.Config
	cfg.Targets = nil
	for _, t := range sim.targets {
		if t.present {
			cfg.Targets = append(cfg.Targets, t.declared.Target)
		}
	}
	cfg.Revision = sim.config.Revision + 1
	sim.config = cfg
}

// delay returns the one-way delay between two locations.
func (sim *simulation) delay(a, b ident.Location) time.Duration {
	switch {
	case a.Zone == b.Zone:
		return sim.trace.Network.WithinZone
	case a.Region == b.Region:
		return sim.trace.Network.BetweenZones
	default:
		return sim.trace.Network.BetweenRegions
	}
}
