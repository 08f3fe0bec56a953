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
	// outcomeCanceled: the caller canceled the request first.
	outcomeCanceled
	// outcomeInterrupted: the host was killed.
	outcomeInterrupted
	// outcomeUnfinished: the deadline passed without a decision.
	outcomeUnfinished
	outcomeCount
)

// attributable reports whether an outcome results from the decider's decisions.
func (o outcome) attributable() bool { return o != outcomeCanceled && o != outcomeInterrupted }

// outPeriod is a period in which a target was out of rotation on a host.
type outPeriod struct {
	host     *host
	target   int
	from, to time.Duration
}

// floorViolation is a period in which capacity was below the floor on a host.
type floorViolation struct {
	host     *host
	from, to time.Duration
	lowest   float64
}

// rotationState holds which targets are out of rotation on one host, by target
// index, and whether its capacity is below the floor.
type rotationState struct {
	out      []bool
	outSince []time.Duration
	// falseOut marks targets that were not faulty when they left rotation.
	falseOut   []bool
	belowFloor bool
	violation  floorViolation
}

func newRotationState(n int) rotationState {
	return rotationState{out: make([]bool, n), outSince: make([]time.Duration, n), falseOut: make([]bool, n)}
}

// faultAttempts holds, by host index, the time of the last attempt other than a
// trial that a host sent to a target during a fault.
type faultAttempts struct {
	fault  *Fault
	lastAt map[int]time.Duration
}

// runMetrics collects the measurements of a run.
type runMetrics struct {
	hosts           []*host
	requestCount    int
	outcomes        [outcomeCount]int
	repeats         int
	ranTwice        int
	attemptCount    int
	trialCount      int
	maxAttempts     int
	latency         *hdrhistogram.Histogram
	faultAttempts   [][]*faultAttempts
	outPeriods      []outPeriod
	floorViolations []floorViolation
	falsePairs      int
	falseTargets    int
	// falseHostCount is, for each target, the number of hosts on which a false
	// ejection of it is in progress.
	falseHostCount []int
	lowestCapacity float64
	floor          float64
	absentSince    []time.Duration
	absentTime     []time.Duration
}

// maxLatencyMicros is the highest latency that the histogram records, in
// microseconds. Higher latencies are recorded as this value.
const maxLatencyMicros = int64(maxLatency / time.Microsecond)

func newRunMetrics(sim *simulation) *runMetrics {
	n := len(sim.targets)
	m := &runMetrics{
		latency:        hdrhistogram.New(1, maxLatencyMicros, 3),
		faultAttempts:  make([][]*faultAttempts, n),
		falseHostCount: make([]int, n),
		lowestCapacity: 1,
		absentSince:    make([]time.Duration, n),
		absentTime:     make([]time.Duration, n),
	}
	for i := range sim.trace.Faults {
		f := &sim.trace.Faults[i]
		m.faultAttempts[f.Target] = append(m.faultAttempts[f.Target], &faultAttempts{fault: f, lastAt: map[int]time.Duration{}})
	}
	for i, t := range sim.targets {
		m.absentSince[i] = never
		if !t.present {
			m.absentSince[i] = 0
		}
	}
	for _, c := range sim.trace.Config.Classes {
		m.floor = max(m.floor, c.Floor)
	}
	return m
}

// recordAttempt counts an attempt.
func (m *runMetrics) recordAttempt(sim *simulation, att *attemptState, trial bool) {
	m.attemptCount++
	if att.repeats() {
		m.repeats++
	}
	if trial {
		m.trialCount++
		return
	}
	for _, attempts := range m.faultAttempts[att.target.index] {
		if sim.now >= attempts.fault.From && sim.now < attempts.fault.Until && attempts.fault.affectsHost(att.host.index) {
			attempts.lastAt[att.host.index] = sim.now
		}
	}
}

// repeats reports whether the attempt repeats a non-idempotent request that is
// running or may have run.
func (att *attemptState) repeats() bool {
	return !att.request.class.Idempotent && (att.request.openAttempts > 0 || att.request.mayHaveRun)
}

// recordExecution counts non-idempotent requests that ran twice.
func (m *runMetrics) recordExecution(r *request) {
	if !r.class.Idempotent && r.executions == 2 {
		m.ranTwice++
	}
}

func (m *runMetrics) recordOutcome(sim *simulation, r *request, o outcome) {
	m.outcomes[o]++
	m.maxAttempts = max(m.maxAttempts, r.attemptCount)
	if o == outcomeSuccess {
		micros := int64((sim.now - r.arrivedAt) / time.Microsecond)
		// The value is clamped because the histogram rejects values outside its range.
		_ = m.latency.RecordValue(min(max(micros, 1), maxLatencyMicros))
	}
}

// recordStatus updates the rotation state and the capacity of a host from the
// decider's status.
func (m *runMetrics) recordStatus(sim *simulation, h *host) {
	if !h.acceptsRequests() {
		return
	}
	var capacity, declared float64
	anyOut := false
	for i, status := range h.decider.Status() {
		target := sim.statusTargetIndex(h, i, status)
		if target < 0 {
			continue
		}
		out := status.State == health.Excluded || status.State == health.Ejected
		if out != h.rotation.out[target] {
			m.recordRotation(sim, h, target, out)
		}
		slots := float64(sim.targets[target].declared.Slots)
		declared += slots
		anyOut = anyOut || out
		if !out && status.State != health.Draining {
			capacity += slots * status.Weight
		}
	}
	if declared > 0 {
		m.recordCapacity(sim, h, capacity/declared, anyOut)
	}
}

// statusTargetIndex returns the index of the target of a status. Deciders return the
// states in configuration order, so the lookup by name is rarely needed.
func (sim *simulation) statusTargetIndex(h *host, i int, status dispatch.TargetStatus) int {
	if i < len(h.configuredTargets) && sim.trace.Targets[h.configuredTargets[i]].ID == status.Target {
		return h.configuredTargets[i]
	}
	if index, ok := sim.targetIndex[status.Target]; ok {
		return index
	}
	sim.fail("status of unknown target %q", status.Target)
	return -1
}

func (m *runMetrics) recordRotation(sim *simulation, h *host, target int, out bool) {
	state := &h.rotation
	state.out[target] = out
	if !out {
		m.outPeriods = append(m.outPeriods, outPeriod{host: h, target: target, from: state.outSince[target], to: sim.now})
		m.endFalseEjection(h, target)
		return
	}
	state.outSince[target] = sim.now
	if m.isFaulty(sim, target, h.index) {
		return
	}
	m.falsePairs++
	state.falseOut[target] = true
	if m.falseHostCount[target] == 0 && !m.isFaulty(sim, target, anyHost) {
		m.falseTargets++
	}
	m.falseHostCount[target]++
}

func (m *runMetrics) endFalseEjection(h *host, target int) {
	if h.rotation.falseOut[target] {
		h.rotation.falseOut[target] = false
		m.falseHostCount[target]--
	}
}

// anyHost makes isFaulty consider the faults of all hosts.
const anyHost = -1

// isFaulty reports whether a fault of the target for a host is active or ended
// less than the grace period ago.
func (m *runMetrics) isFaulty(sim *simulation, target, host int) bool {
	for _, attempts := range m.faultAttempts[target] {
		f := attempts.fault
		if sim.now >= f.From && sim.now < f.Until+sim.trace.FaultGrace && (host == anyHost || f.affectsHost(host)) {
			return true
		}
	}
	return false
}

// recordCapacity compares the capacity in rotation with the floor. A shortage for
// reasons other than ejection does not violate the floor.
func (m *runMetrics) recordCapacity(sim *simulation, h *host, share float64, anyOut bool) {
	const tolerance = 1e-9
	state := &h.rotation
	m.lowestCapacity = min(m.lowestCapacity, share)
	below := anyOut && share < m.floor-tolerance
	switch {
	case below && !state.belowFloor:
		state.violation = floorViolation{host: h, from: sim.now, lowest: share}
	case below:
		state.violation.lowest = min(state.violation.lowest, share)
	case state.belowFloor:
		state.violation.to = sim.now
		m.floorViolations = append(m.floorViolations, state.violation)
	}
	state.belowFloor = below
}

// closeHost ends the periods that are open on a host.
func (m *runMetrics) closeHost(sim *simulation, h *host) {
	state := &h.rotation
	for target, out := range state.out {
		if out {
			m.outPeriods = append(m.outPeriods, outPeriod{host: h, target: target, from: state.outSince[target], to: sim.now})
			m.endFalseEjection(h, target)
		}
	}
	clear(state.out)
	if state.belowFloor {
		state.violation.to = sim.now
		m.floorViolations = append(m.floorViolations, state.violation)
		state.belowFloor = false
	}
}

// finish ends the open periods of all hosts at the end of a run, and records the
// requests whose deadline has passed as unfinished.
func (m *runMetrics) finish(sim *simulation) {
	for _, h := range m.hosts {
		for _, id := range sortedKeys(h.requests) {
			if r := h.requests[id]; r.deadline < sim.now {
				sim.endRequest(h, r, outcomeUnfinished)
			}
		}
		if h.acceptsRequests() {
			m.closeHost(sim, h)
		}
	}
}

// recordPresence records that a target was added to or removed from the
// configuration.
func (m *runMetrics) recordPresence(sim *simulation, target int, present bool) {
	switch {
	case present && m.absentSince[target] != never:
		m.absentTime[target] += sim.now - m.absentSince[target]
		m.absentSince[target] = never
	case !present && m.absentSince[target] == never:
		m.absentSince[target] = sim.now
	}
}

// targetHours returns the total time, in hours, in which targets were configured
// and had no fault.
func (m *runMetrics) targetHours(sim *simulation) float64 {
	var total time.Duration
	for target := range sim.targets {
		healthy := sim.now - m.absentTime[target]
		if m.absentSince[target] != never {
			healthy -= sim.now - m.absentSince[target]
		}
		total += max(healthy-m.faultyTime(sim, target), 0)
	}
	return total.Hours()
}

// faultyTime returns the total time covered by the faults of a target; overlaps
// count once.
func (m *runMetrics) faultyTime(sim *simulation, target int) time.Duration {
	faults := slices.Clone(sim.targets[target].faults)
	slices.SortFunc(faults, func(a, b *Fault) int { return int(min(max(a.From-b.From, -1), 1)) })
	var total, covered time.Duration
	for _, f := range faults {
		from := max(f.From, covered)
		until := min(f.Until, sim.now)
		if until > from {
			total += until - from
			covered = until
		}
	}
	return total
}

// detectionTimes returns the detection times of a target, or of all targets for
// anyTarget, on the selected hosts, in ascending order. The detection time is the
// time from the start of a fault to the last attempt sent to the target during it.
func (m *runMetrics) detectionTimes(target int, includesHost func(host int) bool) []time.Duration {
	var list []time.Duration
	for index, attemptsByFault := range m.faultAttempts {
		if target != anyTarget && index != target {
			continue
		}
		for _, attempts := range attemptsByFault {
			for host, last := range attempts.lastAt {
				if includesHost(host) {
					list = append(list, last-attempts.fault.From)
				}
			}
		}
	}
	slices.Sort(list)
	return list
}

// anyTarget makes detectionTimes include all targets.
const anyTarget = -1

func anyHosts(int) bool { return true }
