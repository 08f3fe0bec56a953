package outcome

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// events returns every event, including ResponseComplete with every classification.
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

// groundTruth is what happened in an attempt, tracked independently of the state
// machine.
type groundTruth struct{ sent, responded, refused, killed bool }

// TestAttemptExhaustive guards against any sequence of events after which an attempt
// claims that nothing was sent or run although bytes were written. It explores every
// sequence of up to 7 accepted events.
func TestAttemptExhaustive(t *testing.T) {
	all, ends := events(), 0
	seen := map[attempt.Result]bool{}
	var explore func(a Attempt, truth groundTruth, depth int)
	explore = func(a Attempt, truth groundTruth, depth int) {
		if res, ok := a.Result(); ok {
			ends++
			seen[res] = true
			checkResult(t, res, truth)
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
			next, nextTruth := a, truth
			if !next.Apply(e) {
				continue
			}
			nextTruth.sent = nextTruth.sent || e.Kind == BytesWritten || e.Kind == RequestWritten
			nextTruth.responded = nextTruth.responded || e.Kind == ResponseStarted
			nextTruth.refused = e.Kind == ResponseComplete && e.Classification.NotRun
			nextTruth.killed = nextTruth.killed || e.Kind == HostKilled
			explore(next, nextTruth, depth-1)
		}
	}
	explore(Attempt{}, groundTruth{}, 7)
	t.Logf("%d ends of attempts, %d different results", ends, len(seen))
	if len(seen) < 15 {
		t.Fatalf("only %d different results were reached", len(seen))
	}
	checkRequests(t, seen)
}

func checkResult(t *testing.T, res attempt.Result, truth groundTruth) {
	t.Helper()
	complete := res.Kind == attempt.Answered || res.Kind == attempt.ServerError || res.Kind == attempt.Shed || res.Kind == attempt.Draining
	switch {
	case res.NotSent != (!truth.sent && !truth.killed):
		t.Fatalf("%+v, but %+v", res, truth)
	case res.NotRun != truth.refused, complete && !truth.responded:
		t.Fatalf("%+v, but %+v", res, truth)
	case ProvesNotRun(res) && truth.sent && !truth.refused:
		t.Fatalf("%+v proves not run, but %+v", res, truth)
	}
}

// checkRequests applies every sequence of up to three results to a request.
func checkRequests(t *testing.T, results map[attempt.Result]bool) {
	t.Helper()
	states := 0
	var explore func(r Request, mayHaveRun int, last attempt.Result, n int)
	explore = func(r Request, mayHaveRun int, last attempt.Result, n int) {
		states++
		if !r.idempotent && mayHaveRun > 1 {
			t.Fatalf("a non-idempotent request may have run %d times", mayHaveRun)
		}
		concluded := r
		checkOutcome(t, concluded.Conclude(), mayHaveRun, last, n)
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
			ran := mayHaveRun
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

func checkOutcome(t *testing.T, o Outcome, mayHaveRun int, last attempt.Result, n int) {
	t.Helper()
	want := Unknown
	switch {
	case n > 0 && HasResponse(last):
		want = Answered
	case mayHaveRun == 0:
		want = NotRun
	}
	if o != want {
		t.Fatalf("outcome %v, want %v; %d attempts may have run, last %+v", o, want, mayHaveRun, last)
	}
}

// TestHostKilledIsUnknown guards against a conclusion from state that was lost with the
// host.
func TestHostKilledIsUnknown(t *testing.T) {
	r := NewRequest(false)
	if r.HostKilled() != Unknown || r.Begin() || r.Conclude() != Unknown {
		t.Fatal("a killed host must leave the outcome unknown")
	}
}

// TestContradictoryResultProvesNothing guards against a contradictory result that is
// accepted as proof.
func TestContradictoryResultProvesNothing(t *testing.T) {
	for _, res := range []attempt.Result{
		{Kind: attempt.Answered, NotSent: true}, {Kind: attempt.Answered, NotRun: true},
		{Kind: attempt.BadAnswer, NotSent: true}, {Kind: attempt.TimedOut, NotRun: true},
		{Kind: attempt.Shed, NotRun: true, NotSent: true}, {Kind: 99, NotSent: true},
	} {
		if ProvesNotRun(res) {
			t.Errorf("%+v is accepted as proof", res)
		}
	}
}
