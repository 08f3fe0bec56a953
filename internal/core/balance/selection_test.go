package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The measurement is a closed queueing loop: clients think, send a request
// through their host, and the host selects a target. A target serves as many
// requests at once as it has slots and queues the rest. Hosts know their own
// attempts and, once per second, each target's reported load.
const (
	simTargets   = 12
	simService   = 20 * time.Millisecond
	simThink     = 80 * time.Millisecond
	simReport    = time.Second
	simWarmUp    = 5 * time.Second
	simDuration  = 65 * time.Second
	simOneWay    = 500 * time.Microsecond
	simClientsAt = 3.5 // clients for each slot; about 70% of the slots are busy
)

type simHost struct {
	picker   *Picker
	own      [simTargets]int
	reported [simTargets]OtherLoad
	waiting  []*simRequest
	next     int
	now      time.Time
	weight   float64
}

// load weighs the reported load of others as the rule says.
func (h *simHost) load(i int) float64 {
	return float64(h.own[i]) + h.weight*h.reported[i].Load(h.now)
}

type simRequest struct {
	host, target int
	issued       time.Time
}

type simTarget struct {
	busy  int
	queue []*simRequest
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// rule selects among the targets whose index is in free. weight is that of the
// reported load of others; with weight 0 they do not lower the limit either.
type rule struct {
	name   string
	weight float64
	choose func(s *sim, h *simHost, free []int) int
}

var rules = []rule{
	{"kept", OtherLoadWeight, pickKept},
	{"two choices, reported 1", 1, pickTwo},
	{"two choices, reported 0.1", 0.1, pickTwo},
	{"two choices, own only", 0, pickTwo},
	{"least of all, reported 1", 1, pickLeast},
	{"least of all, reported 0.1", 0.1, pickLeast},
	{"least of all, own only", 0, pickLeast},
	{"random", 0, pickRandom},
	{"round robin", 0, pickNext},
}

func pickKept(_ *sim, h *simHost, _ []int) int {
	i, _ := h.picker.Pick(nil)
	return i
}

func pickTwo(s *sim, h *simHost, free []int) int {
	s.rng.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	return least(h, free[:min(2, len(free))])
}

func pickLeast(s *sim, h *simHost, free []int) int {
	s.rng.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	return least(h, free)
}

func least(h *simHost, free []int) int {
	return slices.MinFunc(free, func(a, b int) int { return cmp.Compare(h.load(a), h.load(b)) })
}

func pickRandom(s *sim, _ *simHost, free []int) int { return free[s.rng.IntN(len(free))] }

func pickNext(_ *sim, h *simHost, free []int) int {
	for !slices.Contains(free, h.next) {
		h.next = (h.next + 1) % simTargets
	}
	i := h.next
	h.next = (h.next + 1) % simTargets
	return i
}

type sim struct {
	rng      *rand.Rand
	rule     rule
	slots    int
	now      time.Time
	start    time.Time
	events   simEvents
	seq      int
	hosts    []*simHost
	targets  [simTargets]simTarget
	attempts int
	full     int
	waits    []time.Duration
}

func runSim(r rule, hosts, slots int) *sim {
	start := time.Unix(1_700_000_000, 0)
	s := &sim{rng: rand.New(rand.NewPCG(7, 7)), rule: r, slots: slots, now: start, start: start}
	for range hosts {
		h := &simHost{weight: r.weight}
		h.picker = New(slices.Repeat([]Candidate{{Slots: float64(slots), Weight: 1}}, simTargets), s.rng)
		s.hosts = append(s.hosts, h)
		for i := range simTargets {
			h.picker.Set(i, 0, true)
			s.after(time.Duration(s.rng.Int64N(int64(simReport))), func() { s.report(h, i) })
		}
	}
	for c := range int(simClientsAt * float64(slots*simTargets)) {
		s.after(s.exp(simThink), func() { s.issue(&simRequest{host: c % hosts}) })
	}
	for len(s.events) > 0 && s.now.Sub(start) < simDuration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

func (s *sim) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

func (s *sim) report(h *simHost, i int) {
	t := s.targets[i]
	h.reported[i].FromTarget(s.now, float64(min(s.slots, t.busy+len(t.queue))-h.own[i]))
	s.refresh(h, i)
	s.after(simReport, func() { s.report(h, i) })
}

func (s *sim) limit(h *simHost, i int) int {
	if s.rule.weight == 0 {
		return s.slots
	}
	return max(1, s.slots-h.reported[i].CeilLoad(s.now))
}

func (s *sim) refresh(h *simHost, i int) {
	h.picker.Set(i, CombinedLoad(h.own[i], h.reported[i].Load(s.now)), h.own[i] < s.limit(h, i))
}

func (s *sim) issue(r *simRequest) {
	r.issued = s.now
	h := s.hosts[r.host]
	h.waiting = append(h.waiting, r)
	s.pump(h)
}

func (s *sim) pump(h *simHost) {
	h.now = s.now
	for len(h.waiting) > 0 {
		var free []int
		for i := range simTargets {
			if h.own[i] < s.limit(h, i) {
				free = append(free, i)
			}
		}
		if len(free) == 0 {
			return
		}
		r := h.waiting[0]
		h.waiting = h.waiting[1:]
		r.target = s.rule.choose(s, h, free)
		h.own[r.target]++
		s.refresh(h, r.target)
		s.after(simOneWay, func() { s.reach(r) })
	}
}

func (s *sim) reach(r *simRequest) {
	t := &s.targets[r.target]
	measured := s.now.Sub(s.start) > simWarmUp
	if measured {
		s.attempts++
	}
	if t.busy < s.slots {
		s.serve(r)
		return
	}
	if measured {
		s.full++
	}
	t.queue = append(t.queue, r)
}

func (s *sim) serve(r *simRequest) {
	t := &s.targets[r.target]
	t.busy++
	if s.now.Sub(s.start) > simWarmUp {
		s.waits = append(s.waits, s.now.Sub(r.issued)-simOneWay)
	}
	s.after(s.exp(simService), func() { s.leave(r) })
}

func (s *sim) leave(r *simRequest) {
	t := &s.targets[r.target]
	t.busy--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		s.serve(next)
	}
	h := s.hosts[r.host]
	h.own[r.target]--
	s.refresh(h, r.target)
	s.pump(h)
	s.after(s.exp(simThink), func() { s.issue(&simRequest{host: r.host}) })
}

func (s *sim) fullShare() float64 { return float64(s.full) / float64(s.attempts) }

func (s *sim) p99() time.Duration {
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100]
}

// BenchmarkSelection measures the share of attempts that find their target's
// slots full and the 99th percentile of the wait, for docs/decisions/006.
func BenchmarkSelection(b *testing.B) {
	for _, slots := range []int{2, 6} {
		for _, hosts := range []int{1, 6, 36} {
			for _, r := range rules {
				b.Run(fmt.Sprintf("slots=%d/hosts=%d/%s", slots, hosts, r.name), func(b *testing.B) {
					for range b.N {
						s := runSim(r, hosts, slots)
						b.ReportMetric(100*s.fullShare(), "%full")
						b.ReportMetric(float64(s.p99().Microseconds())/1000, "ms-p99-wait")
						b.ReportMetric(float64(s.attempts), "attempts")
					}
				})
			}
		}
	}
}
