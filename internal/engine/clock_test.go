package engine

import (
	"testing"
	"time"
	"unsafe"
)

// TestWallClockStep guards against a step of the wall clock that lengthens or
// shortens ages, penalties and ramps: the core computes them from wall clock times.
func TestWallClockStep(t *testing.T) {
	// secondShift is the bit position of the seconds in the wall field of time.Time.
	const secondShift = 30
	origin := time.Now()
	for _, step := range []time.Duration{-10 * time.Minute, 10 * time.Minute} {
		// The value that time.Now returns a second later, after the wall clock was
		// set.
		now := origin.Add(time.Second)
		seconds := int64(step / time.Second)
		*(*uint64)(unsafe.Pointer(&now)) += uint64(seconds << secondShift)
		if now.Sub(origin) != time.Second || now.UnixNano()-origin.UnixNano() != int64(step+time.Second) {
			t.Fatal("the layout of time.Time has changed")
		}
		if got := monotonicTime(origin, now).UnixNano() - origin.UnixNano(); got != int64(time.Second) {
			t.Errorf("step %s: a second counts as %s", step, time.Duration(got))
		}
	}
}
