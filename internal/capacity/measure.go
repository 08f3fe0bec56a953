package capacity

import (
	"runtime"
	"slices"
	"time"
)

// Config holds the settings of a measurement.
type Config struct {
	// Time is the time for each measured duration; default 300ms.
	MeasureTime time.Duration
	// Size is the size at which slopes are measured; default Target().
	Size Size
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{MeasureTime: 300 * time.Millisecond, Size: TargetSize()}
}

// Measure measures all slopes.
func Measure(cfg Config) (*Slopes, error) {
	s := &Slopes{}
	for _, measure := range []func(Config, *Slopes) error{
		measureDispatch, measureDocument, measureMember, measureServing, measurePeer, measureTicket,
	} {
		if err := measure(cfg, s); err != nil {
			return nil, err
		}
		runtime.GC()
	}
	return s, nil
}

// rounds is the number of times that each duration is measured; the median
// counts, since other processes use the same machine.
const rounds = 5

// perCall returns the nanoseconds of one call of f.
func perCall(cfg Config, f func()) float64 {
	f()
	values := make([]float64, 0, rounds)
	for range rounds {
		calls := 0
		start := time.Now()
		for time.Since(start) < cfg.MeasureTime/rounds {
			f()
			calls++
		}
		values = append(values, float64(time.Since(start).Nanoseconds())/float64(calls))
	}
	slices.Sort(values)
	return values[rounds/2]
}

// heldBytes returns the live heap of what build returns. What it is built from
// is kept too, so that its end does not count as a gain.
func heldBytes(build func() any, from ...any) float64 {
	before := liveHeap()
	held := build()
	after := liveHeap()
	runtime.KeepAlive(held)
	runtime.KeepAlive(from)
	return after - before
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
