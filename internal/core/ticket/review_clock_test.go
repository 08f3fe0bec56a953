package ticket

import (
	"testing"
	"time"
	"unsafe"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// setBack returns what time.Now would return if the wall clock had been set
// back: an earlier wall time with the same monotonic reading, which a time has
// in its second word. Package time has no function for it.
func setBack(t *testing.T, now time.Time, by time.Duration) time.Time {
	t.Helper()
	const secondShift = 30
	back := now
	*(*uint64)(unsafe.Pointer(&back)) -= uint64(by/time.Second) << secondShift
	if back.Sub(now) != 0 || !back.Round(0).Equal(now.Round(0).Add(-by)) {
		t.Fatal("the layout of time.Time has changed")
	}
	return back
}

// TestWallClockSetBack guards against a second execution under a ticket whose
// outcome was dropped at its expiry, after a wrong wall clock was set back. The
// monotonic reading of the clock goes on, the expiry of a ticket has none.
func TestWallClockSetBack(t *testing.T) {
	now := time.Now()
	tb := New(DefaultConfig(), Issuer{Host: "h", Incarnation: 1}, Key{1}, now)
	list, err := tb.Issue(now, 1)
	if err != nil {
		t.Fatal(err)
	}
	tk := list[0]
	first := tb.Admit(now, tk, Fingerprint{})
	tb.Complete(now, tk.ID, first.Run, Completion{Outcome: outcome.Answered})
	later := now.Add(2 * DefaultConfig().Lifetime)
	tb.Tick(later)
	corrected := setBack(t, later.Add(time.Second), 2*DefaultConfig().Lifetime)
	if a := tb.Admit(corrected, tk, Fingerprint{}); a.Verdict != Expired {
		t.Fatalf("a ticket that was used is admitted again: %s", a.Verdict)
	}
}
