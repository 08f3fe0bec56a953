package replay

import (
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// arrivalStream is a running "arrivals" line. Each line has its own generator,
// so that a line does not change the arrivals of another one.
type arrivalStream struct {
	spec Arrivals
	rng  *rand.Rand
	turn int
}

func (p *player) startArrivals(spec Arrivals, line int) {
	s := &arrivalStream{spec: spec, rng: rand.New(rand.NewPCG(p.trace.Seed, streamArrivals+uint64(line)))}
	p.queue.push(p.now+s.gap(), s)
}

func (s *arrivalStream) gap() time.Duration {
	mean := float64(time.Second) / s.spec.Rate
	if s.spec.ConstantRate {
		return time.Duration(mean)
	}
	return time.Duration(mean * s.rng.ExpFloat64())
}

func (s *arrivalStream) happen(p *player) {
	if p.now >= s.spec.Until {
		return
	}
	h := s.host(p)
	p.queue.push(p.now+s.gap(), s)
	if h != nil {
		p.arrive(h, s.spec.Class, s.spec.Deadline, s.spec.CancelAfter)
	}
}

// host picks the host of the next request among those that take requests: in
// turn for constant arrivals, at random for Poisson arrivals.
func (s *arrivalStream) host(p *player) *host {
	n := len(s.spec.Hosts)
	first := s.turn
	if !s.spec.ConstantRate {
		first = s.rng.IntN(n)
	}
	for i := range n {
		k := (first + i) % n
		if h := p.hosts[s.spec.Hosts[k]]; h.takes() {
			s.turn = (k + 1) % n
			return h
		}
	}
	return nil
}

func (p *player) single(s RequestBurst) {
	for i := range s.Count {
		if h := p.hosts[s.Hosts[i%len(s.Hosts)]]; h.takes() {
			p.arrive(h, s.Class, s.Deadline, s.CancelAfter)
		}
	}
}

// arrive hands a request to a host's decider.
func (p *player) arrive(h *host, class ident.ClassName, deadline, cancel time.Duration) {
	h.lastID++
	r := &request{id: h.lastID, arrived: p.now}
	for _, c := range p.config.Classes {
		if c.Name == class {
			r.class = c
		}
	}
	if deadline == 0 {
		deadline = r.class.Deadline
	}
	r.deadline = p.now + deadline
	h.requests[r.id] = r
	p.measure.arrived++
	if cancel > 0 {
		p.queue.push(p.now+cancel, &callerGone{h: h, r: r})
	}
	p.drive(h, h.decider.Arrive(p.clock(), dispatch.Request{ID: r.id, Class: class, Deadline: epoch.Add(r.deadline), BodyBytes: 0}))
}
