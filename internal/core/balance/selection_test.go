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

// The benchmark simulates a closed queueing network: after a think time a client
// sends a request through its host, and the host selects a target. A target serves
// as many requests concurrently as it has slots and queues the others. Hosts know
// their own attempts and, once per second, the reported load of each target.
const (
	simTargets        = 12
	simServiceTime    = 20 * time.Millisecond
	simThinkTime      = 80 * time.Millisecond
	simReportInterval = time.Second
	simWarmUp         = 5 * time.Second
	simDuration       = 65 * time.Second
	simOneWayLatency  = 500 * time.Microsecond
	simClientsPerSlot = 3.5 // about 70% of the slots are busy
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

// load returns the host's own attempts plus the reported load of others, weighted
// as the rule requires.
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
	run func()
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

// rule is a selection rule. choose selects one of the targets with the given
// indices. weight is the weight of the reported load of others; if it is 0, the
// reported load does not lower the limit either.
type rule struct {
	name   string
	weight float64
	choose func(s *simulation, h *simHost, free []int) int
}

var selectionRules = []rule{
	{"kept", OtherLoadWeight, pickCurrent},
	{"two choices, reported 1", 1, pickTwoChoices},
	{"two choices, reported 0.1", 0.1, pickTwoChoices},
	{"two choices, own only", 0, pickTwoChoices},
	{"least of all, reported 1", 1, pickLeastLoaded},
	{"least of all, reported 0.1", 0.1, pickLeastLoaded},
	{"least of all, own only", 0, pickLeastLoaded},
	{"random", 0, pickRandom},
	{"round robin", 0, pickRoundRobin},
}

func pickCurrent(_ *simulation, h *simHost, _ []int) int {
	i, _ := h.picker.Pick(nil)
	return i
}

func pickTwoChoices(s *simulation, h *simHost, free []int) int {
	s.rng.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	return leastLoaded(h, free[:min(2, len(free))])
}

func pickLeastLoaded(s *simulation, h *simHost, free []int) int {
	s.rng.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
	return leastLoaded(h, free)
}

func leastLoaded(h *simHost, free []int) int {
	return slices.MinFunc(free, func(a, b int) int { return cmp.Compare(h.load(a), h.load(b)) })
}

func pickRandom(s *simulation, _ *simHost, free []int) int { return free[s.rng.IntN(len(free))] }

func pickRoundRobin(_ *simulation, h *simHost, free []int) int {
	for !slices.Contains(free, h.next) {
		h.next = (h.next + 1) % simTargets
	}
	i := h.next
	h.next = (h.next + 1) % simTargets
	return i
}

type simulation struct {
	rng       *rand.Rand
	rule      rule
	slots     int
	now       time.Time
	start     time.Time
	events    simEvents
	seq       int
	hosts     []*simHost
	targets   [simTargets]simTarget
	attempts  int
	slotsFull int
	waitTimes []time.Duration
}

func simulate(r rule, hosts, slots int) *simulation {
	start := time.Unix(1_700_000_000, 0)
	s := &simulation{rng: rand.New(rand.NewPCG(7, 7)), rule: r, slots: slots, now: start, start: start}
	for range hosts {
		h := &simHost{weight: r.weight}
		h.picker = New(slices.Repeat([]Candidate{{Slots: float64(slots), Weight: 1}}, simTargets), s.rng)
		s.hosts = append(s.hosts, h)
		for i := range simTargets {
			h.picker.Set(i, 0, true)
			s.after(time.Duration(s.rng.Int64N(int64(simReportInterval))), func() { s.updateReport(h, i) })
		}
	}
	for c := range int(simClientsPerSlot * float64(slots*simTargets)) {
		s.after(s.randomDuration(simThinkTime), func() { s.issue(&simRequest{host: c % hosts}) })
	}
	for len(s.events) > 0 && s.now.Sub(start) < simDuration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

func (s *simulation) randomDuration(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

func (s *simulation) updateReport(h *simHost, i int) {
	t := s.targets[i]
	h.reported[i].SetTargetReport(s.now, float64(min(s.slots, t.busy+len(t.queue))-h.own[i]))
	s.updatePicker(h, i)
	s.after(simReportInterval, func() { s.updateReport(h, i) })
}

func (s *simulation) limit(h *simHost, i int) int {
	if s.rule.weight == 0 {
		return s.slots
	}
	return max(1, s.slots-h.reported[i].CeilLoad(s.now))
}

func (s *simulation) updatePicker(h *simHost, i int) {
	h.picker.Set(i, CombinedLoad(h.own[i], h.reported[i].Load(s.now)), h.own[i] < s.limit(h, i))
}

func (s *simulation) issue(r *simRequest) {
	r.issued = s.now
	h := s.hosts[r.host]
	h.waiting = append(h.waiting, r)
	s.startWaiting(h)
}

func (s *simulation) startWaiting(h *simHost) {
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
		s.updatePicker(h, r.target)
		s.after(simOneWayLatency, func() { s.arriveAtTarget(r) })
	}
}

func (s *simulation) arriveAtTarget(r *simRequest) {
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
		s.slotsFull++
	}
	t.queue = append(t.queue, r)
}

func (s *simulation) serve(r *simRequest) {
	t := &s.targets[r.target]
	t.busy++
	if s.now.Sub(s.start) > simWarmUp {
		s.waitTimes = append(s.waitTimes, s.now.Sub(r.issued)-simOneWayLatency)
	}
	s.after(s.randomDuration(simServiceTime), func() { s.complete(r) })
}

func (s *simulation) complete(r *simRequest) {
	t := &s.targets[r.target]
	t.busy--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		s.serve(next)
	}
	h := s.hosts[r.host]
	h.own[r.target]--
	s.updatePicker(h, r.target)
	s.startWaiting(h)
	s.after(s.randomDuration(simThinkTime), func() { s.issue(&simRequest{host: r.host}) })
}

func (s *simulation) slotsFullShare() float64 { return float64(s.slotsFull) / float64(s.attempts) }

func (s *simulation) waitP99() time.Duration {
	slices.Sort(s.waitTimes)
	return s.waitTimes[len(s.waitTimes)*99/100]
}

// BenchmarkSelection measures the share of attempts that find all slots of their
// target in use, and the 99th percentile of the waiting time, for
// docs/decisions/006.
func BenchmarkSelection(b *testing.B) {
	for _, slots := range []int{2, 6} {
		for _, hosts := range []int{1, 6, 36} {
			for _, r := range selectionRules {
				b.Run(fmt.Sprintf("slots=%d/hosts=%d/%s", slots, hosts, r.name), func(b *testing.B) {
					for range b.N {
						s := simulate(r, hosts, slots)
						b.ReportMetric(100*s.slotsFullShare(), "%full")
						b.ReportMetric(float64(s.waitP99().Microseconds())/1000, "ms-p99-wait")
						b.ReportMetric(float64(s.attempts), "attempts")
					}
				})
			}
		}
	}
}
