package app

import (
	"runtime/debug"
	"sync"
)

// heapBallastBytes is the size of an allocation that raises the heap size at which a garbage
// collection starts. The live heap of a host is a few megabytes, so without the ballast a collection
// would start after every few megabytes of allocation, dozens of times per second under load. The
// ballast is never written and so does not become resident. The garbage that accumulates between
// collections does, up to about the same size.
const heapBallastBytes = 48 << 20

// newHeapBallast allocates the ballast, which must stay reachable as long as the host serves.
func newHeapBallast() []byte { return make([]byte, heapBallastBytes) }

// Fractions of the process's memory that are set as the Go runtime's soft memory limit, above which garbage
// is collected more often. The rest is for the program and for received but unread bytes, which also count
// towards the platform's limit. While clients hold much memory, the kernel holds many bytes for them too.
const (
	memoryLimitFraction   = 0.75
	pressureLimitFraction = 0.65
)

// heapMemory adjusts the heap to whether the host serves callers and to what clients hold.
//
// It holds the ballast while the host serves callers. A passive host produces little garbage and does
// without it because memory is billed. While clients hold much memory there is no ballast: it counts toward
// the memory limit of the runtime.
type heapMemory struct {
	// process is the memory of the process, or 0 if it is unknown.
	process int64

	mu                sync.Mutex
	serving, pressure bool
	ballast           []byte
}

// newHeapMemory sets the memory limit of the runtime.
func newHeapMemory(processBytes int64) *heapMemory {
	m := &heapMemory{process: processBytes}
	m.setLimit(memoryLimitFraction)
	return m
}

func (m *heapMemory) setLimit(fraction float64) {
	if m.process > 0 {
		debug.SetMemoryLimit(int64(fraction * float64(m.process)))
	}
}

// setServing allocates or releases the ballast.
func (m *heapMemory) setServing(serving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving = serving
	m.update()
}

// setPressure tells whether clients hold much memory.
func (m *heapMemory) setPressure(pressure bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pressure == pressure {
		return
	}
	m.pressure = pressure
	m.update()
	if pressure {
		m.setLimit(pressureLimitFraction)
	} else {
		m.setLimit(memoryLimitFraction)
	}
}

// update allocates or releases the ballast. The caller holds the lock.
func (m *heapMemory) update() {
	switch {
	case !m.serving || m.pressure:
		m.ballast = nil
	case m.ballast == nil:
		m.ballast = newHeapBallast()
	}
}
