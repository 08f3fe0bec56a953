package membudget

import (
	"sync"
	"time"
)

// Class is a kind of use.
type Class int

// Classes of use.
const (
	// Connections is what connections of callers need, including the heads of their requests.
	Connections Class = iota
	// Requests is what the requests that are being served need besides their bodies and responses.
	Requests
	// SmallBodies is the first part of each request body, up to Config.SmallBody. It keeps room for
	// ordinary requests while large bodies fill the rest.
	SmallBodies
	// Bodies is the rest of the request bodies.
	Bodies
	// Responses is what is kept of responses until callers have read them.
	Responses
	// Transit is the bytes of long bodies and responses in the kernel's buffers of connections, in addition
	// to what Bodies and Responses count.
	Transit
	NumClasses
)

var classNames = [NumClasses]string{"connections", "requests", "small_bodies", "bodies", "responses", "transit"}

// String implements fmt.Stringer.
func (c Class) String() string { return classNames[c] }

// Config sizes a Budget.
type Config struct {
	// Size is the number of bytes of all classes together.
	Size int64
	// Reserved is the part of each class that the others cannot take.
	Reserved [NumClasses]int64
	// Max bounds the bytes of each class; 0: no bound but Size.
	Max [NumClasses]int64
	// SmallBody is the part of each body that counts as SmallBodies.
	SmallBody int64
	// StallTime is the time without progress after which a body can be evicted for another one.
	StallTime time.Duration
}

// Fractions of Size, as divisors. What is not reserved, three quarters, is available to each class; the
// largest legal body of 64 MiB must find room in it on a host of 184 MB, whose budget is half of that.
const (
	classReserve = 16
	// connectionsMax bounds connections, which can be opened without sending anything, and requestsMax
	// requests, which can be sent without reading a response.
	connectionsMax = 2
	requestsMax    = 4
	// transitMax bounds the part of the budget that targets and callers which do not read can occupy. What
	// finds no room is sent and received through smaller buffers.
	transitMax = 8
)

const (
	defaultSmallBody = 16 << 10
	// defaultStallTime is several round trips and much longer than a host with a fraction of a core waits
	// for its processor.
	defaultStallTime = time.Second
)

// DefaultConfig returns the configuration of a budget of a size.
func DefaultConfig(size int64) Config {
	c := Config{Size: size, SmallBody: defaultSmallBody, StallTime: defaultStallTime}
	for _, class := range []Class{Connections, Requests, SmallBodies, Responses} {
		c.Reserved[class] = size / classReserve
	}
	c.Max[Connections] = size / connectionsMax
	c.Max[Requests] = size / requestsMax
	c.Max[Transit] = size / transitMax
	return c
}

// PartOfMemory returns memoryBytes / divisor, raised to least if it is less. If the memory of the process is
// not known (0), it returns unknown.
func PartOfMemory(memoryBytes, divisor, least, unknown int64) int64 {
	if memoryBytes <= 0 {
		return unknown
	}
	return max(least, memoryBytes/divisor)
}

// Budget is the bytes that a host holds for others. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu   sync.Mutex
	used [NumClasses]int64
	// refused counts the requests for bytes that found no room, by class.
	refused [NumClasses]uint64
	// clients holds the bytes of the bodies of each client.
	clients map[string]*client
	// arriving holds the bodies that are being read and have not been evicted.
	arriving map[*Body]struct{}
	// evicting is the number of bytes of evicted bodies that have not been released yet.
	evicting                           int64
	evictedStalled, evictedForFairness uint64
	// changed is closed when bytes are released; nil if nobody waits for that.
	changed chan struct{}
}

// client holds the number of bodies of one client and what they have reserved.
type client struct {
	bytes  int64
	bodies int
}

// New returns an empty budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, clients: map[string]*client{}, arriving: map[*Body]struct{}{}}
}

// Size returns the size of the budget.
func (b *Budget) Size() int64 { return b.cfg.Size }

// Take reserves n bytes for a class and reports whether there was room for them.
func (b *Budget) Take(c Class, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.room(c) {
		b.refused[c]++
		return false
	}
	b.used[c] += n
	return true
}

// TakeTransit reserves n bytes of Transit. It takes nothing of what the bodies that make progress have
// declared, since bodies and responses can be sent without a reservation, and a body cannot arrive without room.
func (b *Budget) TakeTransit(n int64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.room(Transit) || n > b.room(Bodies)-b.promisedToOthers(nil, now) {
		b.refused[Transit]++
		return false
	}
	b.used[Transit] += n
	return true
}

// Release gives back n bytes of a class.
func (b *Budget) Release(c Class, n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[c] -= n
	b.notify()
}

// notify wakes those that wait for room. The caller holds the lock.
func (b *Budget) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Released returns a channel that is closed when bytes are released.
func (b *Budget) Released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// room returns the number of bytes that a class can take now. The caller holds the lock.
func (b *Budget) room(c Class) int64 {
	free := b.cfg.Size
	for other := range NumClasses {
		if other == c {
			free -= b.used[c]
		} else {
			free -= max(b.used[other], b.cfg.Reserved[other])
		}
	}
	if b.cfg.Max[c] > 0 {
		free = min(free, b.cfg.Max[c]-b.used[c])
	}
	return free
}

// Status is a snapshot of a budget.
type Status struct {
	Size int64
	Used [NumClasses]int64
	// Refused counts the requests for bytes that found no room, by class.
	Refused [NumClasses]uint64
	// EvictedStalled and EvictedForFairness count the bodies that were evicted because they made no
	// progress, and because their client held more than another one.
	EvictedStalled, EvictedForFairness uint64
	// Arriving is the number of bodies that are being read, Clients that of the clients with bodies.
	Arriving, Clients int
}

// Status returns a snapshot.
func (b *Budget) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{
		Size: b.cfg.Size, Used: b.used, Refused: b.refused, Arriving: len(b.arriving), Clients: len(b.clients),
		EvictedStalled: b.evictedStalled, EvictedForFairness: b.evictedForFairness,
	}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var used int64
	for _, n := range b.used {
		used += n
	}
	return used
}
