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
	w := &modelState{mutation: m, runs: make([]int, tickets), reportedNeverRun: make([]bool, tickets), verdicts: map[Verdict]bool{}}
	for h := range hostCount {
		w.clock[h] = time.UnixMilli(0)
		w.startHost(h)
	}
	w.tickets, _ = w.tables[hostA].Issue(w.clock[hostA], tickets)
	return w
}

func (w *modelState) startHost(h int) {
	cfg := DefaultConfig()
	cfg.MaxChunkBytes = 1
	w.incarnation[h]++
	w.tables[h] = New(cfg, issuerOf(h, w.incarnation[h]), Key{byte(h), byte(w.incarnation[h])}, w.clock[h])
}

func (w *modelState) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// events returns all events of the model by name. An event returns false if it is
// not possible in the given state.
func events(tickets int) map[string]func(w *modelState) bool {
	all := map[string]func(w *modelState) bool{
		"close": (*modelState).close, "send update": (*modelState).sendUpdate,
		"A lost": func(w *modelState) bool { w.tables[hostB].MarkLost(w.clock[hostB], issuerOf(hostA, 1)); return true },
	}
	for h, name := range []string{"A", "B"} {
		for k := range tickets {
			all[fmt.Sprintf("admit %d at %s", k, name)] = func(w *modelState) bool { return w.admit(h, k) }
		}
		all["time of "+name] = func(w *modelState) bool { return w.expire(h) }
		all["crash "+name] = func(w *modelState) bool { return w.crash(h) }
		all["resume "+name] = func(w *modelState) bool { return w.resume(h) }
	}
	for i := range 2 {
		all[fmt.Sprintf("chunk %d", i)] = func(w *modelState) bool { return w.importChunk(i) }
		all[fmt.Sprintf("update %d", i)] = func(w *modelState) bool { return w.applyUpdate(i) }
	}
	for f := range maxAdmits {
		for _, event := range []string{"run", "refuse", "answer", "unsent", "partial", "timeout", "retry", "conclude"} {
			all[fmt.Sprintf("%s %d", event, f)] = func(w *modelState) bool { return f < len(w.inflight) && w.requestEvent(event, w.inflight[f]) }
		}
	}
	return all
}

// admit delivers the caller's request, or a repeat of it, to a host.
func (w *modelState) admit(h, k int) bool {
	if w.admits == maxAdmits {
		return false
	}
	w.admits++
	a := w.tables[h].Admit(w.clock[h], w.tickets[k], Fingerprint{byte(k)})
	w.verdicts[a.Verdict] = true
	switch a.Verdict {
	case Run:
		f := &inflightRequest{host: h, incarnation: w.incarnation[h], ticket: k, run: a.Run, req: *outcome.NewRequest(false)}
		w.inflight = append(w.inflight, f)
		f.send()
	case Stored:
		if w.runs[k] == 0 || a.Response != &modelResponses[k] {
			w.recordViolation("ticket %d: wrong stored response", k)
		}
	case NeverAdmitted:
		w.reportedNeverRun[k] = true
	}
	if a.Verdict.Outcome() == outcome.NotRun {
		w.checkNotRun(k)
	}
	return true
}

// checkNotRun records a violation if a request that is reported as "not run" has run
// or may still run.
func (w *modelState) checkNotRun(k int) {
	if w.runs[k] > 0 {
		w.recordViolation("ticket %d ran and is reported as not run", k)
	}
	if slices.ContainsFunc(w.inflight, func(f *inflightRequest) bool { return f.ticket == k && f.pending }) {
		w.recordViolation("ticket %d may still run and is reported as not run", k)
	}
}

// requestEvent applies an event to an in-flight request.
func (w *modelState) requestEvent(event string, f *inflightRequest) bool {
	alive := f.incarnation == w.incarnation[f.host]
	waits, decides := alive && f.awaitsResult, alive && f.awaitsDecision
	switch {
	case event == "run" && f.pending:
		f.pending, f.ran = false, true
		w.runs[f.ticket]++
		if w.runs[f.ticket] > 1 || w.reportedNeverRun[f.ticket] {
			w.recordViolation("ticket %d ran %d times, reported as never run: %v", f.ticket, w.runs[f.ticket], w.reportedNeverRun[f.ticket])
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
		f.endAttempt(attempt.Result{Kind: attempt.ConnectionLost, NotSent: w.mutation == retriesPartialWrite})
	case event == "timeout" && waits:
		f.endAttempt(attempt.Result{Kind: attempt.TimedOut})
	case event == "retry" && decides && f.attempts < maxAttempts && f.req.MayAttempt() && !f.ran:
		if f.pending {
			// The earlier message may still arrive.
			w.inflight = append(w.inflight, &inflightRequest{host: f.host, incarnation: -1, ticket: f.ticket, pending: true})
		}
		f.send()
	case event == "conclude" && decides:
		w.conclude(f)
	default:
		return false
	}
	return true
}

func (f *inflightRequest) send() {
	f.attempts++
	f.req.Begin()
	f.pending, f.awaitsResult, f.awaitsDecision = true, true, false
}

func (f *inflightRequest) endAttempt(res attempt.Result) {
	f.req.End(res)
	f.awaitsResult, f.awaitsDecision = false, true
}

// conclude reports the outcome to the caller and stores it.
func (w *modelState) conclude(f *inflightRequest) {
	f.awaitsDecision = false
	completion := Completion{Outcome: f.req.Conclude(), Response: &modelResponses[f.ticket]}
	if completion.Outcome == outcome.Unknown && w.mutation == unknownAsNotRun {
		completion.Outcome = outcome.NotRun
	}
	if completion.Outcome == outcome.NotRun {
		w.checkNotRun(f.ticket)
	}
	w.tables[f.host].Complete(w.clock[f.host], w.tickets[f.ticket].ID, f.run, completion)
}

// close closes A with B's current incarnation as the successor, or repeats the
// attempt. The chunks are added to the network and remain there.
func (w *modelState) close() bool {
	a, to := w.tables[hostA], issuerOf(hostB, w.incarnation[hostB])
	if w.mutation == importsBeforeClose {
		a.handover, a.closed = a.takeSnapshot(to), true
		defer func() { a.handover, a.closed = nil, false }()
	} else if a.Close(w.clock[hostA], to) != nil {
		return false
	}
	for i := range a.ChunkCount() {
		c, err := a.Export(i)
		if err != nil {
			w.recordViolation("export: %v", err)
		}
		if !slices.ContainsFunc(w.chunks, func(o Chunk) bool { return o.From == c.From && o.To == c.To && o.Index == i }) {
			w.chunks = append(w.chunks, c)
		}
	}
	return true
}

func (w *modelState) importChunk(i int) bool {
	if i >= len(w.chunks) {
		return false
	}
	c := w.chunks[i]
	if w.mutation == anyIncarnation {
		c.To = issuerOf(hostB, w.incarnation[hostB])
	}
	if w.mutation == ignoresExporterTime && c.Index == 0 {
		c.Issuers = slices.Clone(c.Issuers)
		c.Issuers[0].Horizon = time.Time{}
	}
	_, _ = w.tables[hostB].Import(w.clock[hostB], c)
	return true
}

// sendUpdate adds A's next update to the network.
func (w *modelState) sendUpdate() bool {
	u, ok := w.tables[hostA].NextUpdate()
	if !ok || len(w.updates) == 2 {
		return false
	}
	w.updates = append(w.updates, u)
	return true
}

// applyUpdate delivers an update to B and, if it was applied, its acknowledgement to
// A. A lost acknowledgement leads to the same states as "send update" before this
// event.
func (w *modelState) applyUpdate(i int) bool {
	if i >= len(w.updates) {
		return false
	}
	if w.tables[hostB].ApplyUpdate(w.clock[hostB], w.updates[i]) == nil {
		w.tables[hostA].Acknowledge(w.updates[i])
	}
	return true
}

func (w *modelState) crash(h int) bool {
	if w.crashes == 2 {
		return false
	}
	w.crashes++
	w.startHost(h)
	return true
}

// resume suspends and resumes the process of a host. Its requests in flight continue
// and complete in the new incarnation.
func (w *modelState) resume(h int) bool {
	if w.pauses == 1 || w.tables[h].Resume(w.clock[h], ident.Incarnation(w.incarnation[h]+1), Key{byte(h), byte(w.incarnation[h] + 1)}) != nil {
		return false
	}
	w.pauses++
	for _, f := range w.inflight {
		if f.host == h && f.incarnation == w.incarnation[h] {
			f.incarnation++
		}
	}
	w.incarnation[h]++
	return true
}

// expire advances the clock of one host past the expiry of the tickets.
func (w *modelState) expire(h int) bool {
	if w.clock[h].After(w.tickets[0].Expiry) {
		return false
	}
	w.clock[h] = w.tickets[0].Expiry.Add(time.Millisecond)
	w.tables[h].Tick(w.clock[h])
	return true
}

// stateHash returns a hash that identifies a state. Stored responses are shared
// between states, so their addresses identify them.
func (w *modelState) stateHash() [sha256.Size]byte {
	var b strings.Builder
	fmt.Fprint(&b, w.incarnation, w.admits, w.crashes, w.pauses, w.runs, w.reportedNeverRun, w.chunks, w.updates)
	for _, f := range w.inflight {
		fmt.Fprint(&b, *f)
	}
	for _, t := range w.tables {
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
		w := newModelState(m, tickets)
		for _, name := range path {
			if !all[name](w) {
				return nil, false
			}
		}
		return w, true
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
				w, ok := replay(longer)
				if !ok {
					continue
				}
				for v := range w.verdicts {
					result.verdicts[v] = true
				}
				if w.violation != "" {
					result.violation, result.path = w.violation, longer
					return result
				}
				if key := w.stateHash(); !seen[key] {
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
