package outcome

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// events returns every event, ResponseComplete with every meaning.
func events() []Event {
	var list []Event
	for k := range NumEventKinds {
		if EventKind(k) != ResponseComplete {
			list = append(list, Event{Kind: EventKind(k)})
			continue
		}
		for kind := attempt.Answered; kind <= attempt.Canceled; kind++ {
			for _, notRun := range []bool{false, true} {
				list = append(list, Event{Kind: ResponseComplete, Classification: Classification{Kind: kind, NotRun: notRun, RetryAfter: time.Second}})
			}
		}
	}
	return list
}

// facts is what really happened, tracked apart from the machine.
type facts struct{ sent, responded, refused, killed bool }

// TestAttemptExhaustive guards against any order of events after which an
// attempt claims that nothing was sent or run although bytes left the host.
// It explores every sequence of up to 7 accepted events.
func TestAttemptExhaustive(t *testing.T) {
	all, ends := events(), 0
	seen := map[attempt.Result]bool{}
	var explore func(a Attempt, f facts, depth int)
	explore = func(a Attempt, f facts, depth int) {
		if res, ok := a.Result(); ok {
			ends++
			seen[res] = true
			checkResult(t, res, f)
			for _, e := range all {
				if a.Apply(e) {
					t.Fatalf("%+v accepted after the end", e)
				}
			}
			return
		}
		if depth == 0 {
			return
		}
		for _, e := range all {
			next, nf := a, f
			if !next.Apply(e) {
				continue
			}
			nf.sent = nf.sent || e.Kind == BytesWritten || e.Kind == RequestWritten
			nf.responded = nf.responded || e.Kind == ResponseStarted
			nf.refused = e.Kind == ResponseComplete && e.Classification.NotRun
			nf.killed = nf.killed || e.Kind == HostKilled
			explore(next, nf, depth-1)
		}
	}
	explore(Attempt{}, facts{}, 7)
	t.Logf("%d ends of attempts, %d different results", ends, len(seen))
	if len(seen) < 15 {
		t.Fatalf("only %d different results were reached", len(seen))
	}
	checkRequests(t, seen)
}

func checkResult(t *testing.T, res attempt.Result, f facts) {
	t.Helper()
	complete := res.Kind == attempt.Answered || res.Kind == attempt.ServerError || res.Kind == attempt.Shed || res.Kind == attempt.Draining
	switch {
	case res.NotSent != (!f.sent && !f.killed):
		t.Fatalf("%+v, but %+v", res, f)
	case res.NotRun != f.refused, complete && !f.responded:
		t.Fatalf("%+v, but %+v", res, f)
	case ProvesNotRun(res) && f.sent && !f.refused:
		t.Fatalf("%+v proves not run, but %+v", res, f)
	}
}

// checkRequests runs every sequence of up to three results through a request.
func checkRequests(t *testing.T, results map[attempt.Result]bool) {
	t.Helper()
	states := 0
	var explore func(r Request, mayRun int, last attempt.Result, n int)
	explore = func(r Request, mayRun int, last attempt.Result, n int) {
		states++
		if !r.idempotent && mayRun > 1 {
			t.Fatalf("a non-idempotent request may have run %d times", mayRun)
		}
		concluded := r
		checkOutcome(t, concluded.Conclude(), mayRun, last, n)
		if n == 3 || !r.MayAttempt() {
			return
		}
		running := r
		running.Begin()
		if running.Begin() || running.Conclude() != Unknown {
			t.Fatal("a running attempt was ignored")
		}
		for res := range results {
			next := r
			next.Begin()
			next.End(res)
			ran := mayRun
			if !ProvesNotRun(res) {
				ran++
			}
			explore(next, ran, res, n+1)
		}
	}
	for _, idempotent := range []bool{false, true} {
		explore(*NewRequest(idempotent), 0, attempt.Result{}, 0)
	}
	t.Logf("%d states of requests", states)
}

func checkOutcome(t *testing.T, o Outcome, mayRun int, last attempt.Result, n int) {
	t.Helper()
	want := Unknown
	switch {
	case n > 0 && HasResponse(last):
		want = Answered
	case mayRun == 0:
		want = NotRun
	}
	if o != want {
		t.Fatalf("outcome %v, want %v; %d attempts may have run, last %+v", o, want, mayRun, last)
	}
}

// TestHostKilled guards against a conclusion drawn from lost evidence.
func TestHostKilled(t *testing.T) {
	r := NewRequest(false)
	if r.HostKilled() != Unknown || r.Begin() || r.Conclude() != Unknown {
		t.Fatal("a killed host must leave the outcome unknown")
	}
}

// TestContradictions guards against a result that contradicts itself and is
// taken as proof.
func TestContradictions(t *testing.T) {
	for _, res := range []attempt.Result{
		{Kind: attempt.Answered, NotSent: true}, {Kind: attempt.Answered, NotRun: true},
		{Kind: attempt.BadAnswer, NotSent: true}, {Kind: attempt.TimedOut, NotRun: true},
		{Kind: attempt.Shed, NotRun: true, NotSent: true}, {Kind: 99, NotSent: true},
	} {
		if ProvesNotRun(res) {
			t.Errorf("%+v is taken as proof", res)
		}
	}
}
