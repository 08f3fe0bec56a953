package configlog

import "sync"

// notifier notifies subscribers without blocking. Notifications that a subscriber
// has not received yet are merged into one, so a slow subscriber does not delay
// others and always sees the newest state.
type notifier struct {
	mu   sync.Mutex
	subs map[chan struct{}]bool
}

func (n *notifier) subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subs == nil {
		n.subs = map[chan struct{}]bool{}
	}
	n.subs[ch] = true
	return ch, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.subs, ch)
	}
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ch := range n.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
