package capacity

import (
	"runtime"
	"slices"
	"time"
)

// Config holds the settings of a measurement.
type Config struct {
	// MeasureTime is the time spent on measuring each duration; default 300ms.
	MeasureTime time.Duration
	// Size is the fleet size at which slopes are measured; default
	// TargetSize().
	Size Size
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{MeasureTime: 300 * time.Millisecond, Size: TargetSize()}
}

// Measure measures all slopes.
func Measure(cfg Config) (*Slopes, error) {
	s := &Slopes{}
	for _, measure := range []func(Config, *Slopes) error{
		measureDispatch, measureDocument, measureMember, measureServing, measurePeer, measureTicket, measureTeam,
	} {
		if err := measure(cfg, s); err != nil {
			return nil, err
		}
		runtime.GC()
	}
	return s, nil
}

// measureRounds is the number of measurements of each duration. The median is used,
// because other processes run on the same machine.
const measureRounds = 5

// nsPerCall returns the median duration of a call of f in nanoseconds, after one
// warm-up call.
func nsPerCall(cfg Config, f func()) float64 {
	f()
	values := make([]float64, 0, measureRounds)
	for range measureRounds {
		calls := 0
		start := time.Now()
		for time.Since(start) < cfg.MeasureTime/measureRounds {
			f()
			calls++
		}
		values = append(values, float64(time.Since(start).Nanoseconds())/float64(calls))
	}
	slices.Sort(values)
	return values[measureRounds/2]
}

// retainedBytes returns the growth of the live heap by the value that build returns.
// The values in from, which build uses, are kept reachable, so that their release
// does not reduce the result.
func retainedBytes(build func() any, from ...any) float64 {
	before := liveHeap()
	held := build()
	after := liveHeap()
	runtime.KeepAlive(held)
	runtime.KeepAlive(from)
	return after - before
}

// liveHeap returns the bytes of reachable heap objects.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
