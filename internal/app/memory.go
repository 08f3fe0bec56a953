package app

// heapFloorBytes raises the heap size at which the garbage collector starts. A
// host keeps few megabytes alive, so without it a collection starts after every
// few megabytes of garbage, dozens of times a second under load. The memory is
// allocated but never written, so it does not become resident; the garbage that
// may pile up instead does, up to about this size.
const heapFloorBytes = 48 << 20

// newHeapFloor returns memory that must be kept as long as the host serves.
func newHeapFloor() []byte { return make([]byte, heapFloorBytes) }

// heapFloor holds the memory while the host serves callers. A host that does not makes
// little garbage, and memory is priced.
type heapFloor struct{ memory []byte }

// set allocates or releases the memory.
func (f *heapFloor) set(serves bool) {
	switch {
	case !serves:
		f.memory = nil
	case f.memory == nil:
		f.memory = newHeapFloor()
	}
}
