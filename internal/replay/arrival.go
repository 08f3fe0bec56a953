package replay

import (
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// arrivalStream generates the requests of one "arrivals" line. Each line has its
// own random generator, so that the arrivals of a line do not depend on the other
// lines.
type arrivalStream struct {
	spec     Arrivals
	rng      *rand.Rand
	nextHost int
}

func (sim *simulation) startArrivals(spec Arrivals, line int) {
	s := &arrivalStream{spec: spec, rng: rand.New(rand.NewPCG(sim.trace.Seed, streamArrivals+uint64(line)))}
	sim.queue.push(sim.now+s.nextInterval(), s)
}

func (s *arrivalStream) nextInterval() time.Duration {
	mean := float64(time.Second) / s.spec.Rate
	if s.spec.ConstantRate {
		return time.Duration(mean)
	}
	return time.Duration(mean * s.rng.ExpFloat64())
}

func (s *arrivalStream) apply(sim *simulation) {
	if sim.now >= s.spec.Until {
		return
	}
	h := s.pickHost(sim)
	sim.queue.push(sim.now+s.nextInterval(), s)
	if h != nil {
		sim.startRequest(h, s.spec.Class, s.spec.Deadline, s.spec.CancelAfter)
	}
}

// pickHost returns the host of the next request among the hosts that accept
// requests: round robin for constant arrivals, random for Poisson arrivals. It
// returns nil if no host accepts requests.
func (s *arrivalStream) pickHost(sim *simulation) *host {
	n := len(s.spec.Hosts)
	first := s.nextHost
	if !s.spec.ConstantRate {
		first = s.rng.IntN(n)
	}
	for i := range n {
		k := (first + i) % n
		if h := sim.hosts[s.spec.Hosts[k]]; h.acceptsRequests() {
			s.nextHost = (k + 1) % n
			return h
		}
	}
	return nil
}

func (sim *simulation) startBurst(s RequestBurst) {
	for i := range s.Count {
		if h := sim.hosts[s.Hosts[i%len(s.Hosts)]]; h.acceptsRequests() {
			sim.startRequest(h, s.Class, s.Deadline, s.CancelAfter)
		}
	}
}

// startRequest creates a request and passes it to the decider of the host.
func (sim *simulation) startRequest(h *host, class ident.ClassName, deadline, cancelAfter time.Duration) {
	h.lastRequestID++
	r := &request{id: h.lastRequestID, arrivedAt: sim.now}
	for _, c := range sim.config.Classes {
		if c.Name == class {
			r.class = c
		}
	}
	if deadline == 0 {
		deadline = r.class.Deadline
	}
	r.deadline = sim.now + deadline
	h.requests[r.id] = r
	sim.metrics.requestCount++
	if cancelAfter > 0 {
		sim.queue.push(sim.now+cancelAfter, &callerCancelEvent{host: h, request: r})
	}
	sim.applyActions(h, h.decider.Arrive(sim.clock(), dispatch.Request{ID: r.id, Class: class, Deadline: epoch.Add(r.deadline), BodyBytes: 0}))
}
