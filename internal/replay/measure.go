package replay

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
)

// outcome is how a request ended.
type outcome int

const (
	outcomeSuccess outcome = iota
	outcomeRefused
	outcomeFailed
	// outcomeCanceled: the caller gave up first.
	outcomeCanceled
	// outcomeInterrupted: the host was killed.
	outcomeInterrupted
	// outcomeUnfinished: the deadline passed without a decision.
	outcomeUnfinished
	outcomes
)

// counted tells whether an outcome is due to the decider's decisions.
func (o outcome) counted() bool { return o != outcomeCanceled && o != outcomeInterrupted }

// span is a period in which a target was out of rotation on a host.
type span struct {
	host     *host
	target   int
	from, to time.Duration
}

// shortage is a period in which capacity was below the floor on a host.
type shortage struct {
	host     *host
	from, to time.Duration
	lowest   float64
}

// hostHealth is what the measurement holds about one host.
type hostHealth struct {
	out   []bool
	since []time.Duration
	// falseOut marks targets that were healthy when they went out.
	falseOut []bool
	short    bool
	shortage shortage
}

func newHostHealth(n int) hostHealth {
	return hostHealth{out: make([]bool, n), since: make([]time.Duration, n), falseOut: make([]bool, n)}
}

// lastWork is the last new attempt that a host sent to a target during a fault.
type lastWork struct {
	fault *Fault
	last  map[int]time.Duration
}

// measure collects the figures of a run.
type measure struct {
	hosts     []*host
	arrived   int
	outcomes  [outcomes]int
	repeats   int
	ranTwice  int
	attempts  int
	trials    int
	maxTries  int
	latency   *hdrhistogram.Histogram
	work      [][]*lastWork
	spans     []span
	shortages []shortage
	falsePair int
	falseOnce int
	// falseHosts counts, per target, the hosts on which it is falsely out.
	falseHosts []int
	lowest     float64
	floor      float64
	absentFrom []time.Duration
	absent     []time.Duration
}

// latencyLimit is the highest latency in microseconds that is told apart.
const latencyLimit = int64(maxLatency / time.Microsecond)

func newMeasure(p *player) *measure {
	n := len(p.targets)
	m := &measure{
		latency:    hdrhistogram.New(1, latencyLimit, 3),
		work:       make([][]*lastWork, n),
		falseHosts: make([]int, n),
		lowest:     1,
		absentFrom: make([]time.Duration, n),
		absent:     make([]time.Duration, n),
	}
	for i := range p.trace.Faults {
		f := &p.trace.Faults[i]
		m.work[f.Target] = append(m.work[f.Target], &lastWork{fault: f, last: map[int]time.Duration{}})
	}
	for i, t := range p.targets {
		m.absentFrom[i] = never
		if !t.present {
			m.absentFrom[i] = 0
		}
	}
	for _, c := range p.trace.Config.Classes {
		m.floor = max(m.floor, c.Floor)
	}
	return m
}

// started counts an attempt.
func (m *measure) started(p *player, y *try, trial bool) {
	m.attempts++
	if y.repeats() {
		m.repeats++
	}
	if trial {
		m.trials++
		return
	}
	for _, w := range m.work[y.target.index] {
		if p.now >= w.fault.From && p.now < w.fault.Until && w.fault.marks(y.host.index) {
			w.last[y.host.index] = p.now
		}
	}
}

// repeats tells whether the attempt repeats a non-idempotent request that runs
// or may have run.
func (y *try) repeats() bool {
	return !y.req.class.Idempotent && (y.req.open > 0 || y.req.mayHaveRun)
}

// executed counts non-idempotent requests that ran twice.
func (m *measure) executed(r *request) {
	if !r.class.Idempotent && r.executions == 2 {
		m.ranTwice++
	}
}

func (m *measure) ended(p *player, r *request, o outcome) {
	m.outcomes[o]++
	m.maxTries = max(m.maxTries, r.attempts)
	if o == outcomeSuccess {
		micros := int64((p.now - r.arrived) / time.Microsecond)
		// The limit is clipped because the histogram refuses higher values.
		_ = m.latency.RecordValue(min(max(micros, 1), latencyLimit))
	}
}

// status compares the decider's states with the last ones.
func (m *measure) status(p *player, h *host) {
	if !h.takes() {
		return
	}
	var capacity, declared float64
	anyOut := false
	for i, s := range h.decider.Status() {
		k := p.position(h, i, s)
		if k < 0 {
			continue
		}
		out := s.State == health.Excluded || s.State == health.Ejected
		if out != h.health.out[k] {
			m.change(p, h, k, out)
		}
		slots := float64(p.targets[k].decl.Slots)
		declared += slots
		anyOut = anyOut || out
		if !out && s.State != health.Draining {
			capacity += slots * s.Weight
		}
	}
	if declared > 0 {
		m.capacity(p, h, capacity/declared, anyOut)
	}
}

// position returns the index of the target of a status. Deciders return the
// states in document order, which makes the look-up by name rare.
func (p *player) position(h *host, i int, s dispatch.TargetStatus) int {
	if i < len(h.order) && p.trace.Targets[h.order[i]].ID == s.Target {
		return h.order[i]
	}
	if k, ok := p.index[s.Target]; ok {
		return k
	}
	p.fail("status of unknown target %q", s.Target)
	return -1
}

func (m *measure) change(p *player, h *host, k int, out bool) {
	x := &h.health
	x.out[k] = out
	if !out {
		m.spans = append(m.spans, span{host: h, target: k, from: x.since[k], to: p.now})
		m.endFalse(h, k)
		return
	}
	x.since[k] = p.now
	if m.faulty(p, k, h.index) {
		return
	}
	m.falsePair++
	x.falseOut[k] = true
	if m.falseHosts[k] == 0 && !m.faulty(p, k, anyHost) {
		m.falseOnce++
	}
	m.falseHosts[k]++
}

func (m *measure) endFalse(h *host, k int) {
	if h.health.falseOut[k] {
		h.health.falseOut[k] = false
		m.falseHosts[k]--
	}
}

// anyHost asks faulty about all hosts.
const anyHost = -1

// faulty tells whether the trace marks the target as faulty for a host, now or
// within the grace before now.
func (m *measure) faulty(p *player, target, host int) bool {
	for _, w := range m.work[target] {
		f := w.fault
		if p.now >= f.From && p.now < f.Until+p.trace.FaultGrace && (host == anyHost || f.marks(host)) {
			return true
		}
	}
	return false
}

// capacity compares the capacity in rotation with the floor. Capacity that is
// missing for other reasons than ejection does not violate the floor.
func (m *measure) capacity(p *player, h *host, share float64, anyOut bool) {
	const rounding = 1e-9
	x := &h.health
	m.lowest = min(m.lowest, share)
	short := anyOut && share < m.floor-rounding
	switch {
	case short && !x.short:
		x.shortage = shortage{host: h, from: p.now, lowest: share}
	case short:
		x.shortage.lowest = min(x.shortage.lowest, share)
	case x.short:
		x.shortage.to = p.now
		m.shortages = append(m.shortages, x.shortage)
	}
	x.short = short
}

// closeHost ends the open periods of a host.
func (m *measure) closeHost(p *player, h *host) {
	x := &h.health
	for k, out := range x.out {
		if out {
			m.spans = append(m.spans, span{host: h, target: k, from: x.since[k], to: p.now})
			m.endFalse(h, k)
		}
	}
	clear(x.out)
	if x.short {
		x.shortage.to = p.now
		m.shortages = append(m.shortages, x.shortage)
		x.short = false
	}
}

// close ends all open periods at the end of a run.
func (m *measure) close(p *player) {
	for _, h := range m.hosts {
		for _, id := range sortedKeys(h.requests) {
			if r := h.requests[id]; r.deadline < p.now {
				p.endRequest(h, r, outcomeUnfinished)
			}
		}
		if h.takes() {
			m.closeHost(p, h)
		}
	}
}

// presence records that a target was added or removed.
func (m *measure) presence(p *player, k int, present bool) {
	switch {
	case present && m.absentFrom[k] != never:
		m.absent[k] += p.now - m.absentFrom[k]
		m.absentFrom[k] = never
	case !present && m.absentFrom[k] == never:
		m.absentFrom[k] = p.now
	}
}

// targetHours returns the hours that targets were in the configuration and not
// marked as faulty.
func (m *measure) targetHours(p *player) float64 {
	var total time.Duration
	for k := range p.targets {
		healthy := p.now - m.absent[k]
		if m.absentFrom[k] != never {
			healthy -= p.now - m.absentFrom[k]
		}
		total += max(healthy-m.faultyTime(p, k), 0)
	}
	return total.Hours()
}

// faultyTime returns the length of the union of a target's faults.
func (m *measure) faultyTime(p *player, k int) time.Duration {
	faults := slices.Clone(p.targets[k].faults)
	slices.SortFunc(faults, func(a, b *Fault) int { return int(min(max(a.From-b.From, -1), 1)) })
	var total, covered time.Duration
	for _, f := range faults {
		from := max(f.From, covered)
		until := min(f.Until, p.now)
		if until > from {
			total += until - from
			covered = until
		}
	}
	return total
}

// detections returns the detection times of a target, or of all targets for
// anyTarget, on some hosts, in ascending order.
func (m *measure) detections(target int, on func(host int) bool) []time.Duration {
	var list []time.Duration
	for k, works := range m.work {
		if target != anyTarget && k != target {
			continue
		}
		for _, w := range works {
			for host, last := range w.last {
				if on(host) {
					list = append(list, last-w.fault.From)
				}
			}
		}
	}
	slices.Sort(list)
	return list
}

// anyTarget asks detections about all targets.
const anyTarget = -1

func anyHosts(int) bool { return true }
