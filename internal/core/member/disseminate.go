package member

import (
	"math/bits"
	"sort"
	"time"
)

// queued is an update that is still passed on.
type queued struct {
	update Update
	sent   int
}

// maxQueued bounds the updates that wait to be passed on. When all hosts of a
// region change at once, the oldest updates are dropped; the host list and the
// hosts' own messages repair what is lost.
const maxQueued = 4096

// disseminate queues an update for other hosts and drops older ones about the
// same host.
func (l *List) disseminate(u Update) {
	kept := l.queue[:0]
	for _, q := range l.queue {
		if q.update.ID != u.ID {
			kept = append(kept, q)
		}
	}
	l.queue = append(kept, &queued{update: u})
	if len(l.queue) > maxQueued {
		l.queue = l.queue[len(l.queue)-maxQueued:]
	}
}

// MaxLogAge bounds the age of the contact with the log service on messages.
const MaxLogAge = 24 * time.Hour

// message returns a message of this host with the updates that were sent least
// often so far.
func (l *List) message(kind Kind) Message {
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
	if len(l.queue) == 0 {
		return nil
	}
	sort.SliceStable(l.queue, func(i, j int) bool { return l.queue[i].sent < l.queue[j].sent })
	count := min(l.cfg.UpdatesPerMessage, len(l.queue))
	updates := make([]Update, 0, count)
	for _, q := range l.queue[:count] {
		updates = append(updates, q.update)
		q.sent++
	}
	limit := l.cfg.RetransmitFactor * bits.Len(uint(len(l.nodes)+1))
	kept := l.queue[:0]
	for _, q := range l.queue {
		if q.sent < limit {
			kept = append(kept, q)
		}
	}
	l.queue = kept
	return updates
}
