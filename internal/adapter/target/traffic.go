package target

import (
	"sort"
	"sync"
	"sync/atomic"
)

// byteCounter counts the bytes of one class. The methods of a nil counter do
// nothing.
type byteCounter struct{ sent, received atomic.Int64 }

func (c *byteCounter) addSent(n int) {
	if c != nil {
		c.sent.Add(int64(n))
	}
}

func (c *byteCounter) addReceived(n int) {
	if c != nil {
		c.received.Add(int64(n))
	}
}

// ClassTraffic holds the bytes of one class sent to and received from other regions.
type ClassTraffic struct {
	Class          string
	Sent, Received int64
}

// traffic holds a byte counter for each class. The number of classes is bounded by
// the document that defines them.
type traffic struct {
	mu      sync.Mutex
	classes map[string]*byteCounter
}

func (t *traffic) counter(class string) *byteCounter {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.classes == nil {
		t.classes = map[string]*byteCounter{}
	}
	c := t.classes[class]
	if c == nil {
		c = &byteCounter{}
		t.classes[class] = c
	}
	return c
}

func (t *traffic) snapshot() []ClassTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []ClassTraffic
	for class, c := range t.classes {
		list = append(list, ClassTraffic{Class: class, Sent: c.sent.Load(), Received: c.received.Load()})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Class < list[j].Class })
	return list
}
