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

// mutation breaks one rule, to show that the check finds it.
type mutation string

const (
	intact              mutation = ""
	importsBeforeClose  mutation = "successor admits before the leaving host closed"
	retriesPartialWrite mutation = "retry after a partial write"
	unknownAsNotRun     mutation = "unknown reported as not run"
	anyIncarnation      mutation = "restarted successor accepts the hand-over"
	clockIgnored        mutation = "successor ignores the leaving host's time"
)

// Hosts of the model, and bounds of an exploration.
const (
	hostA = iota
	hostB
	hosts
	maxAdmits   = 4
	maxAttempts = 2
)

var modelResponses [2]Response

// flight is a request on its way to the target, sent by one attempt.
type flight struct {
	host, life, ticket, attempts int
	run                          uint32
	req                          outcome.Request
	// pending: it may still reach the target. ran, refused: it has.
	pending, ran, refused bool
	// open: the host waits for the end of the attempt. ended: the host decides
	// what follows.
	open, ended bool
}

// world is one state of the model: hosts A and B, the target, the network and
// the caller. Messages between hosts stay in the network, so each can arrive
// late, twice or never; a request on a connection to the target arrives at
// most once.
type world struct {
	mutation                mutation
	tables                  [hosts]*Table
	life                    [hosts]int
	clock                   [hosts]time.Time
	tickets                 []Ticket
	flights                 []*flight
	chunks                  []Chunk
	updates                 []Update
	admits, crashes, pauses int
	runs                    []int
	// final holds tickets reported as never run.
	final     []bool
	verdicts  map[Verdict]bool
	violation string
}

func issuerOf(host, life int) Issuer {
	return Issuer{ident.HostID("AB"[host : host+1]), ident.Incarnation(life)}
}

func newWorld(m mutation, tickets int) *world {
	w := &world{mutation: m, runs: make([]int, tickets), final: make([]bool, tickets), verdicts: map[Verdict]bool{}}
	for h := range hosts {
		w.clock[h] = time.UnixMilli(0)
		w.start(h)
	}
	w.tickets, _ = w.tables[hostA].Issue(w.clock[hostA], tickets)
	return w
}

func (w *world) start(h int) {
	cfg := DefaultConfig()
	cfg.MaxChunkBytes = 1
	w.life[h]++
	w.tables[h] = New(cfg, issuerOf(h, w.life[h]), Key{byte(h), byte(w.life[h])}, w.clock[h])
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// events returns every event of the model by name. An event returns false when
// it is not possible.
func events(tickets int) map[string]func(w *world) bool {
	all := map[string]func(w *world) bool{
		"close": (*world).close, "send update": (*world).sendUpdate,
		"A lost": func(w *world) bool { w.tables[hostB].MarkLost(w.clock[hostB], issuerOf(hostA, 1)); return true },
	}
	for h, name := range []string{"A", "B"} {
		for k := range tickets {
			all[fmt.Sprintf("admit %d at %s", k, name)] = func(w *world) bool { return w.admit(h, k) }
		}
		all["time of "+name] = func(w *world) bool { return w.expire(h) }
		all["crash "+name] = func(w *world) bool { return w.crash(h) }
		all["resume "+name] = func(w *world) bool { return w.resume(h) }
	}
	for i := range 2 {
		all[fmt.Sprintf("chunk %d", i)] = func(w *world) bool { return w.importChunk(i) }
		all[fmt.Sprintf("update %d", i)] = func(w *world) bool { return w.applyUpdate(i) }
	}
	for f := range maxAdmits {
		for _, event := range []string{"run", "refuse", "answer", "unsent", "partial", "timeout", "retry", "conclude"} {
			all[fmt.Sprintf("%s %d", event, f)] = func(w *world) bool { return f < len(w.flights) && w.flightEvent(event, w.flights[f]) }
		}
	}
	return all
}

// admit delivers the caller's request, or a repeat of it, to a host.
func (w *world) admit(h, k int) bool {
	if w.admits == maxAdmits {
		return false
	}
	w.admits++
	a := w.tables[h].Admit(w.clock[h], w.tickets[k], Fingerprint{byte(k)})
	w.verdicts[a.Verdict] = true
	switch a.Verdict {
	case Run:
		f := &flight{host: h, life: w.life[h], ticket: k, run: a.Run, req: *outcome.NewRequest(false)}
		w.flights = append(w.flights, f)
		f.send()
	case Stored:
		if w.runs[k] == 0 || a.Response != &modelResponses[k] {
			w.fail("ticket %d: wrong stored response", k)
		}
	case NeverAdmitted:
		w.final[k] = true
	}
	if a.Verdict.Outcome() == outcome.NotRun {
		w.checkNotRun(k)
	}
	return true
}

// checkNotRun is called when the caller is told "not run".
func (w *world) checkNotRun(k int) {
	if w.runs[k] > 0 {
		w.fail("ticket %d ran and is reported as not run", k)
	}
	if slices.ContainsFunc(w.flights, func(f *flight) bool { return f.ticket == k && f.pending }) {
		w.fail("ticket %d may still run and is reported as not run", k)
	}
}

// flightEvent applies an event of a request that was sent to the target.
func (w *world) flightEvent(event string, f *flight) bool {
	alive := f.life == w.life[f.host]
	waits, decides := alive && f.open, alive && f.ended
	switch {
	case event == "run" && f.pending:
		f.pending, f.ran = false, true
		w.runs[f.ticket]++
		if w.runs[f.ticket] > 1 || w.final[f.ticket] {
			w.fail("ticket %d ran %d times, reported as never run: %v", f.ticket, w.runs[f.ticket], w.final[f.ticket])
		}
	case event == "refuse" && f.pending:
		f.pending, f.refused = false, true
	case event == "answer" && waits && f.ran:
		f.end(attempt.Result{Kind: attempt.Answered})
	case event == "answer" && waits && f.refused:
		f.refused = false
		f.end(attempt.Result{Kind: attempt.Shed, NotRun: true})
	case event == "unsent" && waits && f.pending:
		f.pending = false
		f.end(attempt.Result{Kind: attempt.DialFailed, NotSent: true})
	case event == "partial" && waits:
		f.end(attempt.Result{Kind: attempt.ConnectionLost, NotSent: w.mutation == retriesPartialWrite})
	case event == "timeout" && waits:
		f.end(attempt.Result{Kind: attempt.TimedOut})
	case event == "retry" && decides && f.attempts < maxAttempts && f.req.MayAttempt() && !f.ran:
		if f.pending {
			// The first message may still arrive.
			w.flights = append(w.flights, &flight{host: f.host, life: -1, ticket: f.ticket, pending: true})
		}
		f.send()
	case event == "conclude" && decides:
		w.conclude(f)
	default:
		return false
	}
	return true
}

func (f *flight) send() {
	f.attempts++
	f.req.Begin()
	f.pending, f.open, f.ended = true, true, false
}

func (f *flight) end(res attempt.Result) {
	f.req.End(res)
	f.open, f.ended = false, true
}

// conclude reports the outcome to the caller and stores it.
func (w *world) conclude(f *flight) {
	f.ended = false
	end := Completion{Outcome: f.req.Conclude(), Response: &modelResponses[f.ticket]}
	if end.Outcome == outcome.Unknown && w.mutation == unknownAsNotRun {
		end.Outcome = outcome.NotRun
	}
	if end.Outcome == outcome.NotRun {
		w.checkNotRun(f.ticket)
	}
	w.tables[f.host].Complete(w.clock[f.host], w.tickets[f.ticket].ID, f.run, end)
}

// close closes A in favour of B's present incarnation, or tries to again. The
// chunks enter the network and stay there.
func (w *world) close() bool {
	a, to := w.tables[hostA], issuerOf(hostB, w.life[hostB])
	if w.mutation == importsBeforeClose {
		a.handover, a.closed = a.freeze(to), true
		defer func() { a.handover, a.closed = nil, false }()
	} else if a.Close(w.clock[hostA], to) != nil {
		return false
	}
	for i := range a.ChunkCount() {
		c, err := a.Export(i)
		if err != nil {
			w.fail("export: %v", err)
		}
		if !slices.ContainsFunc(w.chunks, func(o Chunk) bool { return o.From == c.From && o.To == c.To && o.Index == i }) {
			w.chunks = append(w.chunks, c)
		}
	}
	return true
}

func (w *world) importChunk(i int) bool {
	if i >= len(w.chunks) {
		return false
	}
	c := w.chunks[i]
	if w.mutation == anyIncarnation {
		c.To = issuerOf(hostB, w.life[hostB])
	}
	if w.mutation == clockIgnored && c.Index == 0 {
		c.Issuers = slices.Clone(c.Issuers)
		c.Issuers[0].Horizon = time.Time{}
	}
	_, _ = w.tables[hostB].Import(w.clock[hostB], c)
	return true
}

// sendUpdate puts the present update into the network.
func (w *world) sendUpdate() bool {
	u, ok := w.tables[hostA].NextUpdate()
	if !ok || len(w.updates) == 2 {
		return false
	}
	w.updates = append(w.updates, u)
	return true
}

// applyUpdate delivers an update and, if it was applied, the acknowledgement.
// A lost one leads to the same states as "send update" before this event.
func (w *world) applyUpdate(i int) bool {
	if i >= len(w.updates) {
		return false
	}
	if w.tables[hostB].ApplyUpdate(w.clock[hostB], w.updates[i]) == nil {
		w.tables[hostA].Acknowledge(w.updates[i])
	}
	return true
}

func (w *world) crash(h int) bool {
	if w.crashes == 2 {
		return false
	}
	w.crashes++
	w.start(h)
	return true
}

// resume is a pause: requests in flight go on, and end in the new incarnation.
func (w *world) resume(h int) bool {
	if w.pauses == 1 || w.tables[h].Resume(w.clock[h], ident.Incarnation(w.life[h]+1), Key{byte(h), byte(w.life[h] + 1)}) != nil {
		return false
	}
	w.pauses++
	for _, f := range w.flights {
		if f.host == h && f.life == w.life[h] {
			f.life++
		}
	}
	w.life[h]++
	return true
}

// expire moves the clock of one host past the expiry of the tickets.
func (w *world) expire(h int) bool {
	if w.clock[h].After(w.tickets[0].Expiry) {
		return false
	}
	w.clock[h] = w.tickets[0].Expiry.Add(time.Millisecond)
	w.tables[h].Tick(w.clock[h])
	return true
}

// key identifies a state. Stored responses are shared, so their addresses
// identify them.
func (w *world) key() [sha256.Size]byte {
	var b strings.Builder
	fmt.Fprint(&b, w.life, w.admits, w.crashes, w.pauses, w.runs, w.final, w.chunks, w.updates)
	for _, f := range w.flights {
		fmt.Fprint(&b, *f)
	}
	for _, t := range w.tables {
		fmt.Fprint(&b, t.now.UnixMilli(), t.closed, values(t.issuers), values(t.entries), values(t.imports))
		if t.handover != nil {
			fmt.Fprint(&b, t.handover.to, t.handover.acked, t.handover.ended)
		}
	}
	return sha256.Sum256([]byte(b.String()))
}

// values returns a map that prints its contents and not addresses.
func values[K comparable, V any](m map[K]*V) map[K]V {
	plain := map[K]V{}
	for k, v := range m {
		plain[k] = *v
	}
	return plain
}

// explored is the result of an exploration.
type explored struct {
	states    int
	violation string
	path      []string
	verdicts  map[Verdict]bool
}

// explore visits every state that up to depth events reach after the prefix,
// breadth first, and stops at a violation.
func explore(m mutation, tickets, depth int, prefix ...string) explored {
	all := events(tickets)
	var names []string
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	replay := func(path []string) (*world, bool) {
		w := newWorld(m, tickets)
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
	result := explored{verdicts: map[Verdict]bool{}}
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
				if key := w.key(); !seen[key] {
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

// modelDepth is the depth of the exploration in events. The default is chosen
// for some seconds under the race detector.
var modelDepth = flag.Int("model-depth", 5, "events that the model check explores; 1 less with two tickets or after a prefix")

// TestModel guards against any order of loss, delay, duplication, crash, pause,
// repeat and hand-over in which a request runs twice, or is reported as "not
// run" although it ran or may still run. It starts from the initial state, and
// from states in the middle of a hand-over that a short sequence can't reach.
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
		r := explore(intact, s.tickets, depth, s.prefix...)
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

// TestModelFindsBrokenRules guards against a model check that can't fail.
func TestModelFindsBrokenRules(t *testing.T) {
	for m, prefix := range map[mutation][]string{
		importsBeforeClose:  {"close", "chunk 0", "admit 0 at A", "run 0"},
		retriesPartialWrite: {"admit 0 at A", "partial 0", "retry 0"},
		unknownAsNotRun:     nil,
		anyIncarnation:      {"close", "chunk 0", "admit 0 at B", "run 0"},
		clockIgnored:        {"admit 0 at A", "run 0", "time of A", "close"},
	} {
		r := explore(m, 1, 4, prefix...)
		if r.violation == "" {
			t.Errorf("%s: no violation in %d states", m, r.states)
		}
		t.Logf("%s: %s after %q", m, r.violation, r.path)
	}
}
