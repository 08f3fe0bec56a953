package dispatch

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"pgregory.net/rapid"
)

// TestMain sets a fixed rapid seed, so that every run draws the same sequences,
// and longer sequences than the default of 30 steps. Command-line flags override
// these values.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "80", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// model checks the actions of a dispatcher against its invariants.
type model struct {
	t          *rapid.T
	d          *Dispatcher
	cfg        Config
	now        time.Time
	nextID     ident.RequestID
	requests   map[ident.RequestID]*modelRequest
	attempts   map[ident.AttemptID]*modelAttempt
	inFlight   map[ident.TargetID]int
	drainUntil map[ident.TargetID]time.Time
}

type modelRequest struct {
	class      Class
	deadline   time.Time
	running    ident.AttemptID
	ended      int
	canceled   bool
	committed  bool
	mayHaveRun bool
	last       ident.TargetID
}

type modelAttempt struct {
	id      ident.AttemptID
	request ident.RequestID
	target  ident.TargetID
}

var epoch = time.Unix(1_700_000_000, 0)

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: epoch,
		requests:   map[ident.RequestID]*modelRequest{},
		attempts:   map[ident.AttemptID]*modelAttempt{},
		inFlight:   map[ident.TargetID]int{},
		drainUntil: map[ident.TargetID]time.Time{},
	}
	m.cfg = Config{
		Service:       "s",
		QueueLength:   3,
		ProbeInterval: 2 * time.Second,
		Classes: []Class{
			{Name: "lookup", Idempotent: true, Deadline: time.Second, MaxAttempts: 3},
			{Name: "order", Deadline: time.Second, MaxAttempts: 3},
			{Name: "upload", Idempotent: true, Upload: true, Deadline: 4 * time.Second, MaxAttempts: 2},
		},
		Targets: modelTargets(3),
	}
	m.d = New(m.now, m.cfg, Self{Host: "self", Location: ident.Location{Region: "r0", Zone: "z0"}}, rapid.Uint64().Draw(t, "seed"))
	return m
}

func modelTargets(n int) []Target {
	var targets []Target
	for i := range n {
		targets = append(targets, Target{
			ID:       ident.TargetID(fmt.Sprintf("t%d", i)),
			Slots:    1 + i%2,
			Location: ident.Location{Region: ident.Region(fmt.Sprintf("r%d", i/2)), Zone: ident.Zone(fmt.Sprintf("z%d", i))},
		})
	}
	return targets
}

func (m *model) slots(id ident.TargetID) int {
	for _, t := range m.cfg.Targets {
		if t.ID == id {
			return t.Slots
		}
	}
	return 0
}

func (m *model) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			m.checkStart(a)
		case Refuse:
			if r := m.requests[a.Request]; r.mayHaveRun || r.running != 0 {
				m.t.Fatalf("request %d refused although it may have run", a.Request)
			}
			m.recordEnd(a.Request)
		case Complete:
			m.recordEnd(a.Request)
		case Fail:
			if a.NotRun == m.requests[a.Request].mayHaveRun {
				m.t.Fatalf("request %d: NotRun is %v", a.Request, a.NotRun)
			}
			m.recordEnd(a.Request)
		case CancelAttempt:
			if m.attempts[a.Attempt] == nil {
				m.t.Fatalf("canceled attempt %d is not running", a.Attempt)
			}
		}
	}
	if s := m.d.ServiceStatus(m.now); s.Waiting > m.cfg.QueueLength {
		m.t.Fatalf("%d requests wait, the bound is %d", s.Waiting, m.cfg.QueueLength)
	}
}

func (m *model) checkStart(s Start) {
	r := m.requests[s.Request]
	if r.ended > 0 || r.canceled || r.committed || r.running != 0 || (r.mayHaveRun && !r.class.Idempotent) {
		m.t.Fatalf("request %d must not start: %+v", s.Request, r)
	}
	if s.Timeout <= 0 || m.now.Add(s.Timeout).After(r.deadline) {
		m.t.Fatalf("timeout %v exceeds the deadline", s.Timeout)
	}
	if m.now.Before(m.drainUntil[s.Target]) {
		m.t.Fatalf("start at draining target %s", s.Target)
	}
	m.inFlight[s.Target]++
	if m.inFlight[s.Target] > m.slots(s.Target) {
		m.t.Fatalf("%d attempts in flight at target %s with %d slots", m.inFlight[s.Target], s.Target, m.slots(s.Target))
	}
	if s.Target == r.last && len(m.cfg.Targets) > 1 && m.inRotation(r.class.Name) > 1 {
		m.t.Fatalf("request %d got target %s again", s.Request, s.Target)
	}
	r.running, r.last = s.Attempt, s.Target
	m.attempts[s.Attempt] = &modelAttempt{s.Attempt, s.Request, s.Target}
}

func (m *model) inRotation(c ident.ClassName) int {
	members, _ := m.d.health.Rotation(c)
	return len(members)
}

func (m *model) recordEnd(id ident.RequestID) {
	r := m.requests[id]
	r.ended++
	if r.ended > 1 || r.canceled || r.running != 0 {
		m.t.Fatalf("request %d ended twice, after its cancellation or while an attempt runs: %+v", id, r)
	}
}

func (m *model) arrive() {
	m.nextID++
	class := rapid.SampledFrom(m.cfg.Classes).Draw(m.t, "class")
	r := &modelRequest{class: class, deadline: m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(m.t, "deadline")) * time.Millisecond)}
	m.requests[m.nextID] = r
	m.apply(m.d.Arrive(m.now, Request{ID: m.nextID, Class: class.Name, Deadline: r.deadline, BodyBytes: 10}))
}

// drawAttempt draws a running attempt in a reproducible order.
func (m *model) drawAttempt() *modelAttempt {
	var open []*modelAttempt
	for id := ident.AttemptID(1); id <= m.d.lastAttemptID; id++ {
		if a := m.attempts[id]; a != nil {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		m.t.Skip("no attempt is running")
	}
	return rapid.SampledFrom(open).Draw(m.t, "attempt")
}

func (m *model) finish() {
	a := m.drawAttempt()
	res := Result{Kind: attempt.Kind(rapid.IntRange(0, int(attempt.Canceled)).Draw(m.t, "kind"))}
	switch res.Kind {
	case attempt.DialFailed:
		res.NotSent = true
	case attempt.Shed, attempt.Draining:
		res.NotRun = rapid.Bool().Draw(m.t, "not run")
		res.RetryAfter = time.Duration(rapid.IntRange(0, 500).Draw(m.t, "retry after")) * time.Millisecond
	}
	if res.Kind == attempt.Draining && m.slots(a.target) > 0 {
		m.drainUntil[a.target] = m.now.Add(drainHoldTime)
	}
	r := m.requests[a.request]
	r.running = 0
	r.mayHaveRun = r.mayHaveRun || (!res.NotSent && !res.NotRun)
	m.inFlight[a.target]--
	delete(m.attempts, a.id)
	m.forgetRemoved()
	m.apply(m.d.Finish(m.now, a.id, res))
}

func (m *model) commit() {
	a := m.drawAttempt()
	m.requests[a.request].committed = true
	m.d.Commit(m.now, a.id)
}

func (m *model) cancel() {
	var open []ident.RequestID
	for id := ident.RequestID(1); id <= m.nextID; id++ {
		if r := m.requests[id]; r.ended == 0 && !r.canceled {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		m.t.Skip("no request is open")
	}
	id := rapid.SampledFrom(open).Draw(m.t, "request")
	m.requests[id].canceled = true
	m.apply(m.d.Cancel(m.now, id))
}

func (m *model) tick() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(m.t, "ms")) * time.Millisecond)
	m.apply(m.d.Tick(m.now))
	if next := m.d.NextTick(m.now); !next.After(m.now) {
		m.t.Fatalf("next tick %v is not after %v", next, m.now)
	}
}

func (m *model) report() {
	id := modelTargets(5)[rapid.IntRange(0, 4).Draw(m.t, "target")].ID
	n := rapid.IntRange(0, 1000).Draw(m.t, "in flight")
	if rapid.Bool().Draw(m.t, "peer") {
		m.apply(m.d.Merge(m.now, health.Evidence{Host: "peer", Sequence: uint64(m.now.UnixNano()), Targets: []health.TargetEvidence{{Target: id, InFlight: uint32(n)}}}))
		return
	}
	m.apply(m.d.LoadReport(m.now, LoadReport{Target: id, InFlight: n, Slots: 1000}))
}

// trial marks a target as due for a trial, as the health tracker does.
func (m *model) trial() {
	if n := len(m.cfg.Targets); n > 0 {
		id := m.cfg.Targets[rapid.IntRange(0, n-1).Draw(m.t, "target")].ID
		m.d.dueTrials = append(m.d.dueTrials, m.d.targets[id])
	}
}

// configure changes the set of targets but not their slots, since the attempts
// in flight may exceed a lowered slot count.
func (m *model) configure() {
	m.cfg.Targets = modelTargets(rapid.IntRange(0, 5).Draw(m.t, "targets"))
	m.forgetRemoved()
	m.apply(m.d.Configure(m.now, m.cfg))
}

// forgetRemoved clears the draining state of removed targets without attempts in
// flight, since a later revision may add a new target with the same ID.
func (m *model) forgetRemoved() {
	for id := range m.drainUntil {
		if m.slots(id) == 0 && m.inFlight[id] == 0 {
			delete(m.drainUntil, id)
		}
	}
}

// finishAll ends all running attempts and advances the time past all deadlines.
// Every request must have ended afterwards.
func (m *model) finishAll() {
	for range 40 {
		m.now = m.now.Add(100 * time.Millisecond)
		m.apply(m.d.Tick(m.now))
		for id := ident.AttemptID(1); id <= m.d.lastAttemptID; id++ {
			if a := m.attempts[id]; a != nil {
				r := m.requests[a.request]
				r.running, r.mayHaveRun = 0, true
				m.inFlight[a.target]--
				delete(m.attempts, id)
				m.apply(m.d.Finish(m.now, id, Result{Kind: attempt.TimedOut}))
			}
		}
	}
	for id, r := range m.requests {
		if r.ended == 0 && !r.canceled {
			m.t.Fatalf("request %d never ended", id)
		}
	}
	if s := m.d.ServiceStatus(m.now); s.Waiting != 0 || s.InFlight != 0 || s.Uploads != 0 || len(m.d.requests) != 0 || len(m.d.removedTargets) != 0 {
		m.t.Fatalf("state remains: %+v", s)
	}
}

// TestInvariants guards against a second execution of a non-idempotent request,
// a request that ends twice or never, an exceeded slot or queue limit, and
// attempts at removed or draining targets, over random sequences of events.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":    func(*rapid.T) { m.arrive() },
			"arrive2":   func(*rapid.T) { m.arrive() },
			"finish":    func(*rapid.T) { m.finish() },
			"commit":    func(*rapid.T) { m.commit() },
			"cancel":    func(*rapid.T) { m.cancel() },
			"tick":      func(*rapid.T) { m.tick() },
			"trial":     func(*rapid.T) { m.trial() },
			"report":    func(*rapid.T) { m.report() },
			"configure": func(*rapid.T) { m.configure() },
		})
		m.finishAll()
	})
}
