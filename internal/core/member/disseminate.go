package member

import (
	"math/bits"
	"sort"
	"time"
)

// queuedUpdate is an update that is still being disseminated.
type queuedUpdate struct {
	update Update
	sent   int
}

// maxQueuedUpdates limits the number of queued updates. If all hosts of a region
// change at once, the oldest updates are dropped; the host list and the hosts'
// own messages compensate for the loss.
const maxQueuedUpdates = 4096

// disseminate queues an update for other hosts and drops queued updates about
// the same host.
func (l *List) disseminate(u Update) {
	kept := l.updateQueue[:0]
	for _, q := range l.updateQueue {
		if q.update.ID != u.ID {
			kept = append(kept, q)
		}
	}
	l.updateQueue = append(kept, &queuedUpdate{update: u})
	if len(l.updateQueue) > maxQueuedUpdates {
		l.updateQueue = l.updateQueue[len(l.updateQueue)-maxQueuedUpdates:]
	}
}

// MaxLogAge is the maximum of Digest.LogAge in messages.
const MaxLogAge = 24 * time.Hour

// newMessage returns a message from this host that carries the least often sent
// updates.
func (l *List) newMessage(kind Kind) Message {
	l.sequence++
	digest := l.digest
	digest.LogAge = min(l.now.Sub(l.logContact), MaxLogAge)
	return Message{
		Kind:     kind,
		Sequence: l.sequence,
		From:     l.self,
		Updates:  l.takeUpdates(),
		Digest:   digest,
	}
}

func (l *List) takeUpdates() []Update {
	if len(l.updateQueue) == 0 {
		return nil
	}
	sort.SliceStable(l.updateQueue, func(i, j int) bool { return l.updateQueue[i].sent < l.updateQueue[j].sent })
	count := min(l.cfg.UpdatesPerMessage, len(l.updateQueue))
	updates := make([]Update, 0, count)
	for _, q := range l.updateQueue[:count] {
		updates = append(updates, q.update)
		q.sent++
	}
	limit := l.cfg.RetransmitFactor * bits.Len(uint(len(l.nodes)+1))
	kept := l.updateQueue[:0]
	for _, q := range l.updateQueue {
		if q.sent < limit {
			kept = append(kept, q)
		}
	}
	l.updateQueue = kept
	return updates
}
