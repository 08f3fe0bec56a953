package ticket

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// mutation is a deliberate fault in one rule, which the model check must detect.
type mutation string

const (
	noMutation          mutation = ""
	importsBeforeClose  mutation = "successor admits before the leaving host is closed"
	retriesPartialWrite mutation = "retry after a partial write"
	unknownAsNotRun     mutation = "unknown reported as not run"
	anyIncarnation      mutation = "restarted successor accepts the handover"
	ignoresExporterTime mutation = "successor ignores the leaving host's time"
)

// Hosts of the model, and limits of an exploration.
const (
	hostA = iota
	hostB
	hostCount
	maxAdmits   = 4
	maxAttempts = 2
)

var modelResponses [2]Response

// inflightRequest is an admitted request that is sent to the target. A retry sends
// it again; an earlier message that may still arrive becomes a separate
// inflightRequest.
type inflightRequest struct {
	host, incarnation, ticket, attempts int
	run                                 uint32
	req                                 outcome.Request
	// pending: the message may still reach the target. ran, refused: the target
	// has received it and has executed or refused the request.
	pending, ran, refused bool
	// awaitsResult: the host waits for the result of the attempt.
	// awaitsDecision: the attempt has ended, and the host retries or concludes.
	awaitsResult, awaitsDecision bool
}

// modelState is one state of the model: hosts A and B, the target, the network and
// the caller. Messages between hosts remain in the network, so each can be delayed,
// duplicated or lost. A request on a connection to the target arrives at most once.
type modelState struct {
	mutation                mutation
	tables                  [hostCount]*Table
	incarnation             [hostCount]int
	clock                   [hostCount]time.Time
	tickets                 []Ticket
	inflight                []*inflightRequest
	chunks                  []Chunk
	updates                 []Update
	admits, crashes, pauses int
	runs                    []int
	// reportedNeverRun marks tickets that were reported as never run.
	reportedNeverRun []bool
	verdicts         map[Verdict]bool
	violation        string
}

func issuerOf(host, incarnation int) Issuer {
	return Issuer{ident.HostID("AB"[host : host+1]), ident.Incarnation(incarnation)}
}

func newModelState(m mutation, tickets int) *modelState {
	s := &modelState{mutation: m, runs: make([]int, tickets), reportedNeverRun: make([]bool, tickets), verdicts: map[Verdict]bool{}}
	for h := range hostCount {
		s.clock[h] = time.UnixMilli(0)
		s.startHost(h)
	}
	s.tickets, _ = s.tables[hostA].Issue(s.clock[hostA], tickets)
	return s
}

func (s *modelState) startHost(h int) {
	cfg := DefaultConfig()
	cfg.MaxChunkBytes = 1
	s.incarnation[h]++
	s.tables[h] = New(cfg, issuerOf(h, s.incarnation[h]), Key{byte(h), byte(s.incarnation[h])}, s.clock[h])
}

func (s *modelState) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// events returns all events of the model by name. An event returns false if it is
// not possible in the given state.
func events(tickets int) map[string]func(s *modelState) bool {
	all := map[string]func(s *modelState) bool{
		"close": (*modelState).close, "send update": (*modelState).sendUpdate,
		"A lost": func(s *modelState) bool { s.tables[hostB].MarkLost(s.clock[hostB], issuerOf(hostA, 1)); return true },
	}
	for h, name := range []string{"A", "B"} {
		for k := range tickets {
			all[fmt.Sprintf("admit %d at %s", k, name)] = func(s *modelState) bool { return s.admit(h, k) }
		}
		all["time of "+name] = func(s *modelState) bool { return s.expire(h) }
		all["crash "+name] = func(s *modelState) bool { return s.crash(h) }
		all["resume "+name] = func(s *modelState) bool { return s.resume(h) }
	}
	for i := range 2 {
		all[fmt.Sprintf("chunk %d", i)] = func(s *modelState) bool { return s.importChunk(i) }
		all[fmt.Sprintf("update %d", i)] = func(s *modelState) bool { return s.applyUpdate(i) }
	}
	for f := range maxAdmits {
		for _, event := range []string{"run", "refuse", "answer", "unsent", "partial", "timeout", "retry", "conclude"} {
			all[fmt.Sprintf("%s %d", event, f)] = func(s *modelState) bool { return f < len(s.inflight) && s.requestEvent(event, s.inflight[f]) }
		}
	}
	return all
}

// admit delivers the caller's request, or a repeat of it, to a host.
func (s *modelState) admit(h, k int) bool {
	if s.admits == maxAdmits {
		return false
	}
	s.admits++
	a := s.tables[h].Admit(s.clock[h], s.tickets[k], Fingerprint{byte(k)})
	s.verdicts[a.Verdict] = true
	switch a.Verdict {
	case Run:
		f := &inflightRequest{host: h, incarnation: s.incarnation[h], ticket: k, run: a.Run, req: *outcome.NewRequest(false)}
		s.inflight = append(s.inflight, f)
		f.send()
	case Stored:
		if s.runs[k] == 0 || a.Response != &modelResponses[k] {
			s.recordViolation("ticket %d: wrong stored response", k)
		}
	case NeverAdmitted:
		s.reportedNeverRun[k] = true
	}
	if a.Verdict.Outcome() == outcome.NotRun {
		s.checkNotRun(k)
	}
	return true
}

// checkNotRun records a violation if a request that is reported as "not run" has run
// or may still run.
func (s *modelState) checkNotRun(k int) {
	if s.runs[k] > 0 {
		s.recordViolation("ticket %d ran and is reported as not run", k)
	}
	if slices.ContainsFunc(s.inflight, func(f *inflightRequest) bool { return f.ticket == k && f.pending }) {
		s.recordViolation("ticket %d may still run and is reported as not run", k)
	}
}

// requestEvent applies an event to an in-flight request.
func (s *modelState) requestEvent(event string, f *inflightRequest) bool {
	alive := f.incarnation == s.incarnation[f.host]
	waits, decides := alive && f.awaitsResult, alive && f.awaitsDecision
	switch {
	case event == "run" && f.pending:
		f.pending, f.ran = false, true
		s.runs[f.ticket]++
		if s.runs[f.ticket] > 1 || s.reportedNeverRun[f.ticket] {
			s.recordViolation("ticket %d ran %d times, reported as never run: %v", f.ticket, s.runs[f.ticket], s.reportedNeverRun[f.ticket])
		}
	case event == "refuse" && f.pending:
		f.pending, f.refused = false, true
	case event == "answer" && waits && f.ran:
		f.endAttempt(attempt.Result{Kind: attempt.Answered})
	case event == "answer" && waits && f.refused:
		f.refused = false
		f.endAttempt(attempt.Result{Kind: attempt.Shed, NotRun: true})
	case event == "unsent" && waits && f.pending:
		f.pending = false
		f.endAttempt(attempt.Result{Kind: attempt.DialFailed, NotSent: true})
	case event == "partial" && waits:
		f.endAttempt(attempt.Result{Kind: attempt.ConnectionLost, NotSent: s.mutation == retriesPartialWrite})
	case event == "timeout" && waits:
		f.endAttempt(attempt.Result{Kind: attempt.TimedOut})
	case event == "retry" && decides && f.attempts < maxAttempts && f.req.MayAttempt() && !f.ran:
		if f.pending {
			// The earlier message may still arrive.
			s.inflight = append(s.inflight, &inflightRequest{host: f.host, incarnation: -1, ticket: f.ticket, pending: true})
		}
		f.send()
	case event == "conclude" && decides:
		s.conclude(f)
	default:
		return false
	}
	return true
}

func (r *inflightRequest) send() {
	r.attempts++
	r.req.Begin()
	r.pending, r.awaitsResult, r.awaitsDecision = true, true, false
}

func (r *inflightRequest) endAttempt(res attempt.Result) {
	r.req.End(res)
	r.awaitsResult, r.awaitsDecision = false, true
}

// conclude reports the outcome to the caller and stores it.
func (s *modelState) conclude(f *inflightRequest) {
	f.awaitsDecision = false
	completion := Completion{Outcome: f.req.Conclude(), Response: &modelResponses[f.ticket]}
	if completion.Outcome == outcome.Unknown && s.mutation == unknownAsNotRun {
		completion.Outcome = outcome.NotRun
	}
	if completion.Outcome == outcome.NotRun {
		s.checkNotRun(f.ticket)
	}
	s.tables[f.host].Complete(s.clock[f.host], s.tickets[f.ticket].ID, f.run, completion)
}

// close closes A with B's current incarnation as the successor, or repeats the
// attempt. The chunks are added to the network and remain there.
func (s *modelState) close() bool {
	a, to := s.tables[hostA], issuerOf(hostB, s.incarnation[hostB])
	if s.mutation == importsBeforeClose {
		a.handover, a.closed = a.takeSnapshot(to), true
		defer func() { a.handover, a.closed = nil, false }()
	} else if a.Close(s.clock[hostA], to) != nil {
		return false
	}
	for i := range a.ChunkCount() {
		c, err := a.Export(i)
		if err != nil {
			s.recordViolation("export: %v", err)
		}
		if !slices.ContainsFunc(s.chunks, func(o Chunk) bool { return o.From == c.From && o.To == c.To && o.Index == i }) {
			s.chunks = append(s.chunks, c)
		}
	}
	return true
}

func (s *modelState) importChunk(i int) bool {
	if i >= len(s.chunks) {
		return false
	}
	c := s.chunks[i]
	if s.mutation == anyIncarnation {
		c.To = issuerOf(hostB, s.incarnation[hostB])
	}
	if s.mutation == ignoresExporterTime && c.Index == 0 {
		c.Issuers = slices.Clone(c.Issuers)
		c.Issuers[0].Horizon = time.Time{}
	}
	_, _ = s.tables[hostB].Import(s.clock[hostB], c)
	return true
}

// sendUpdate adds A's next update to the network.
func (s *modelState) sendUpdate() bool {
	u, ok := s.tables[hostA].NextUpdate()
	if !ok || len(s.updates) == 2 {
		return false
	}
	s.updates = append(s.updates, u)
	return true
}

// applyUpdate delivers an update to B and, if it was applied, its acknowledgement to
// A. A lost acknowledgement leads to the same states as "send update" before this
// event.
func (s *modelState) applyUpdate(i int) bool {
	if i >= len(s.updates) {
		return false
	}
	if s.tables[hostB].ApplyUpdate(s.clock[hostB], s.updates[i]) == nil {
		s.tables[hostA].Acknowledge(s.updates[i])
	}
	return true
}

func (s *modelState) crash(h int) bool {
	if s.crashes == 2 {
		return false
	}
	s.crashes++
	s.startHost(h)
	return true
}

// resume suspends and resumes the process of a host. Its requests in flight continue
// and complete in the new incarnation.
func (s *modelState) resume(h int) bool {
	if s.pauses == 1 || s.tables[h].Resume(s.clock[h], ident.Incarnation(s.incarnation[h]+1), Key{byte(h), byte(s.incarnation[h] + 1)}) != nil {
		return false
	}
	s.pauses++
	for _, f := range s.inflight {
		if f.host == h && f.incarnation == s.incarnation[h] {
			f.incarnation++
		}
	}
	s.incarnation[h]++
	return true
}

// expire advances the clock of one host past the expiry of the tickets.
func (s *modelState) expire(h int) bool {
	if s.clock[h].After(s.tickets[0].Expiry) {
		return false
	}
	s.clock[h] = s.tickets[0].Expiry.Add(time.Millisecond)
	s.tables[h].Tick(s.clock[h])
	return true
}

// stateHash returns a hash that identifies a state. Stored responses are shared
// between states, so their addresses identify them.
func (s *modelState) stateHash() [sha256.Size]byte {
	var b strings.Builder
	fmt.Fprint(&b, s.incarnation, s.admits, s.crashes, s.pauses, s.runs, s.reportedNeverRun, s.chunks, s.updates)
	for _, f := range s.inflight {
		fmt.Fprint(&b, *f)
	}
	for _, t := range s.tables {
		fmt.Fprint(&b, t.now.UnixMilli(), t.closed, values(t.issuers), values(t.entries), values(t.imports))
		if t.handover != nil {
			fmt.Fprint(&b, t.handover.to, t.handover.acknowledged, t.handover.completed)
		}
	}
	return sha256.Sum256([]byte(b.String()))
}

// values returns a map that is printed with its contents instead of addresses.
func values[K comparable, V any](m map[K]*V) map[K]V {
	plain := map[K]V{}
	for k, v := range m {
		plain[k] = *v
	}
	return plain
}

// exploration is the result of explore.
type exploration struct {
	states    int
	violation string
	path      []string
	verdicts  map[Verdict]bool
}

// explore visits all states that are reachable by up to depth events after the
// prefix, in breadth-first order, and stops at the first violation.
func explore(m mutation, tickets, depth int, prefix ...string) exploration {
	all := events(tickets)
	var names []string
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	replay := func(path []string) (*modelState, bool) {
		s := newModelState(m, tickets)
		for _, name := range path {
			if !all[name](s) {
				return nil, false
			}
		}
		return s, true
	}
	if _, ok := replay(prefix); !ok {
		panic(fmt.Sprintf("impossible prefix %q", prefix))
	}
	result := exploration{verdicts: map[Verdict]bool{}}
	seen := map[[sha256.Size]byte]bool{}
	level := [][]string{prefix}
	for range depth {
		var next [][]string
		for _, path := range level {
			for _, name := range names {
				longer := append(slices.Clone(path), name)
				s, ok := replay(longer)
				if !ok {
					continue
				}
				for v := range s.verdicts {
					result.verdicts[v] = true
				}
				if s.violation != "" {
					result.violation, result.path = s.violation, longer
					return result
				}
				if key := s.stateHash(); !seen[key] {
					seen[key] = true
					next = append(next, longer)
				}
			}
		}
		level = next
	}
	result.states = len(seen)
	return result
}

// modelDepth is the depth of the exploration in events. The default keeps the test
// to a few seconds under the race detector.
var modelDepth = flag.Int("model-depth", 5, "events that the model check explores; 1 less with two tickets or after a prefix")

// TestModel guards against any sequence of message loss, delay, duplication, crash,
// process suspension, repeated request and handover in which a request runs twice,
// or is reported as "not run" although it ran or may still run. It explores from the
// initial state, and from states during a handover that a short sequence of events
// cannot reach.
func TestModel(t *testing.T) {
	starts := []struct {
		tickets, less int
		prefix        []string
	}{
		{1, 0, nil},
		{2, 1, nil},
		{1, 1, []string{"close", "chunk 0", "admit 0 at B", "run 0"}},
		{1, 1, []string{"admit 0 at A", "close", "chunk 0", "run 0"}},
		{1, 1, []string{"admit 0 at A", "unsent 0", "conclude 0", "close", "chunk 0"}},
		{1, 1, []string{"admit 0 at A", "unsent 0", "close", "chunk 0", "conclude 0", "send update", "update 0", "admit 0 at B"}},
		{2, 1, []string{"admit 0 at A", "admit 1 at A", "run 1", "close", "chunk 0"}},
	}
	total := 0
	for _, s := range starts {
		depth := *modelDepth - s.less
		r := explore(noMutation, s.tickets, depth, s.prefix...)
		if r.violation != "" {
			t.Fatalf("%s after %q", r.violation, r.path)
		}
		total += r.states
		t.Logf("%d tickets, %d events after %q: %d states", s.tickets, depth, s.prefix, r.states)
		for _, v := range []Verdict{Run, InProgress, Stored, OutcomeUnknown, NeverAdmitted, Expired, OtherHost, IssuerLost} {
			if s.less == 0 && !r.verdicts[v] {
				t.Errorf("verdict %s was never reached", v)
			}
		}
	}
	t.Logf("%d states", total)
}

// TestModelDetectsMutations guards against a model check that cannot fail.
func TestModelDetectsMutations(t *testing.T) {
	for m, prefix := range map[mutation][]string{
		importsBeforeClose:  {"close", "chunk 0", "admit 0 at A", "run 0"},
		retriesPartialWrite: {"admit 0 at A", "partial 0", "retry 0"},
		unknownAsNotRun:     nil,
		anyIncarnation:      {"close", "chunk 0", "admit 0 at B", "run 0"},
		ignoresExporterTime: {"admit 0 at A", "run 0", "time of A", "close"},
	} {
		r := explore(m, 1, 4, prefix...)
		if r.violation == "" {
			t.Errorf("%s: no violation in %d states", m, r.states)
		}
		t.Logf("%s: %s after %q", m, r.violation, r.path)
	}
}
