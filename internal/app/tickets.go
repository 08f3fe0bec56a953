package app

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/timeline"
)

// Intervals of the tickets.
const (
	// ticketTick is the time between two removals of expired tickets.
	ticketTick = time.Second
	// handoverRetry is the time between two tries of a hand-over.
	handoverRetry = 200 * time.Millisecond
	// updateInterval is the time between two looks for outcomes of requests that
	// run on after a hand-over.
	updateInterval = 50 * time.Millisecond
)

// tickets is this host's ticket table with its connection to other hosts. It
// implements ingress.Tickets and is safe for concurrent use.
type tickets struct {
	fleet    *fleet
	peers    port.Peers
	timeline *timeline.Timeline
	log      logrus.FieldLogger

	mu    sync.Mutex
	table *ticket.Table
	// usedAt is the time of the last use. A long gap means that the process was
	// paused, and tickets from before must not be admitted, whoever notices
	// first: a request or the membership protocol.
	usedAt time.Time
}

func newTickets(lifetime time.Duration, host ident.HostID, incarnation ident.Incarnation) *tickets {
	cfg := ticket.DefaultConfig()
	cfg.Lifetime = lifetime
	now := time.Now()
	self := ticket.Issuer{Host: host, Incarnation: incarnation}
	return &tickets{table: ticket.New(cfg, self, newTicketKey(), now), usedAt: now}
}

func newTicketKey() ticket.Key {
	var key ticket.Key
	// Read never fails, by crypto/rand's documentation.
	_, _ = rand.Read(key[:])
	return key
}

// use runs a step with the table after checking for a pause.
func (t *tickets) use(step func(now time.Time, table *ticket.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.usedAt) >= member.DefaultConfig().PauseThreshold {
		t.resume(now, t.fleet.checkPause())
	}
	t.usedAt = now
	step(now, t.table)
}

// resumed follows the membership protocol to a new incarnation.
func (t *tickets) resumed(incarnation ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resume(time.Now(), incarnation)
}

func (t *tickets) resume(now time.Time, incarnation ident.Incarnation) {
	if incarnation <= t.table.Self().Incarnation {
		return
	}
	if err := t.table.Resume(now, incarnation, newTicketKey()); err != nil {
		t.log.WithError(err).Warn("tickets stay with the incarnation before the pause")
	}
}

// run removes expired tickets until ctx ends.
func (t *tickets) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.use(func(now time.Time, table *ticket.Table) { table.Tick(now) })
		t.endLost()
		sleep(ctx, ticketTick)
	}
}

// endLost ends the requests that ran at hosts which have stopped: they have sent
// every outcome that they had.
func (t *tickets) endLost() {
	for _, n := range t.fleet.nodes() {
		if n.State == member.Left {
			leaver := ticket.Issuer{Host: n.ID, Incarnation: n.Version.Incarnation}
			t.use(func(now time.Time, table *ticket.Table) { table.MarkLost(now, leaver) })
		}
	}
}

// Issue implements ingress.Tickets.
func (t *tickets) Issue(n int) (list []ticket.Ticket, err error) {
	t.use(func(now time.Time, table *ticket.Table) { list, err = table.Issue(now, n) })
	return list, err
}

// Admit implements ingress.Tickets.
func (t *tickets) Admit(tk ticket.Ticket, fp ticket.Fingerprint) (a ticket.Admission) {
	t.use(func(now time.Time, table *ticket.Table) { a = table.Admit(now, tk, fp) })
	return a
}

// End implements ingress.Tickets.
func (t *tickets) End(id ticket.ID, run uint32, end ticket.Completion) {
	t.use(func(now time.Time, table *ticket.Table) { table.Complete(now, id, run, end) })
}

// Relay implements ingress.Tickets. It asks the host that the admission names,
// or its successor once that host has handed its tickets over. A host announces
// its successor after that one has confirmed, so it has nothing more to admit.
func (t *tickets) Relay(ctx context.Context, _ ticket.Ticket, to ticket.Admission, r port.RelayedRequest) (port.RelayedResponse, error) {
	n, ok := t.fleet.node(to.Host)
	for hops := 0; ok && n.Successor != "" && hops < maxSuccessors; hops++ {
		n, ok = t.fleet.node(n.Successor)
	}
	if !ok {
		return port.RelayedResponse{}, errors.Errorf("host %s, which issued the ticket, is not known here", to.Host)
	}
	return t.peers.Relay(ctx, portHost(&n), r)
}

// maxSuccessors bounds the chain of hosts that took tickets over one after the
// other during a rolling replacement.
const maxSuccessors = 8

// handOver stops admitting for good and passes the tickets on to one named
// successor. A lost acknowledgement is repeated to the same host; tickets that
// cannot be handed over before ctx ends stay unknown.
func (t *tickets) handOver(ctx context.Context) {
	successor, ok := t.successor()
	issuer := ticket.Issuer{Host: successor.ID, Incarnation: successor.Incarnation}
	var err error
	t.use(func(now time.Time, table *ticket.Table) { err = table.Close(now, issuer) })
	if err != nil || !ok {
		t.log.WithError(err).Warn("tickets are not handed over: there is no other host")
		return
	}
	if err := t.sendChunks(ctx, successor); err != nil {
		t.log.WithError(err).WithField("successor", successor.ID).Error("tickets were not handed over; their outcomes stay unknown")
		return
	}
	t.fleet.update(func(_ time.Time, l *member.List) []member.Action {
		l.SetSuccessor(successor.ID)
		return nil
	})
	t.timeline.Record(event.TicketsHandedOver, event.F("successor", successor.ID))
}

// successor is the first live host of the same region in rendezvous order, or
// of any region.
func (t *tickets) successor() (port.Host, bool) {
	self := t.fleet.self()
	byID := map[ident.HostID]port.Host{}
	var near, all []serving.Host
	for _, h := range t.fleet.Serving() {
		if h.ID == self.ID || h.Incarnation == 0 {
			continue
		}
		byID[h.ID] = h
		all = append(all, serving.Host{ID: h.ID, Location: h.Location})
		if h.Location.Region == self.Location.Region {
			near = append(near, serving.Host{ID: h.ID, Location: h.Location})
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return port.Host{}, false
	}
	return byID[serving.RankHosts("successor\x00"+string(self.ID), near)[0].ID], true
}

func (t *tickets) sendChunks(ctx context.Context, to port.Host) error {
	count := 0
	t.use(func(_ time.Time, table *ticket.Table) { count = table.ChunkCount() })
	complete := false
	for index := range count {
		var chunk ticket.Chunk
		var err error
		t.use(func(_ time.Time, table *ticket.Table) { chunk, err = table.Export(index) })
		if err != nil {
			return err
		}
		data, err := chunk.Encode()
		if err != nil {
			return err
		}
		if complete, err = t.send(ctx, to, port.HandoverMessage{Chunk: data}); err != nil {
			return err
		}
	}
	if !complete {
		return errors.New("the successor did not confirm the whole hand-over")
	}
	return nil
}

// send repeats a message until the successor has answered. Repeats have no
// further effect there.
func (t *tickets) send(ctx context.Context, to port.Host, m port.HandoverMessage) (bool, error) {
	for {
		complete, err := t.peers.Handover(ctx, to, m)
		var refused *port.HandoverRefusedError
		if err == nil || errors.As(err, &refused) {
			return complete, err
		}
		sleep(ctx, handoverRetry)
		if ctx.Err() != nil {
			return false, errors.Wrap(err, "no acknowledgement")
		}
	}
}

// sendUpdates passes on the outcomes of requests that end after the hand-over,
// until none runs any more. Relayed requests are among them, for which the
// shutdown of the callers' server does not wait, so this waits also without a
// successor.
func (t *tickets) sendUpdates(ctx context.Context) {
	n, ok := t.fleet.successor()
	for ctx.Err() == nil {
		var update ticket.Update
		more, running := false, 0
		t.use(func(_ time.Time, table *ticket.Table) {
			update, more = table.NextUpdate()
			running = table.RunningRequests()
		})
		more = more && ok
		if !more && running == 0 {
			return
		}
		if !more {
			sleep(ctx, updateInterval)
			continue
		}
		data, err := update.Encode()
		if err == nil {
			_, err = t.send(ctx, portHost(&n), port.HandoverMessage{Update: data})
		}
		if err != nil {
			t.log.WithError(err).Error("outcomes of the last requests were not handed over")
			return
		}
		t.use(func(_ time.Time, table *ticket.Table) { table.Acknowledge(update) })
	}
}

// take accepts tickets of a leaving host.
func (t *tickets) take(m port.HandoverMessage) (complete bool, err error) {
	if len(m.Update) > 0 {
		update, err := ticket.DecodeUpdate(m.Update)
		if err != nil {
			return false, err
		}
		t.use(func(now time.Time, table *ticket.Table) { err = table.ApplyUpdate(now, update) })
		return true, err
	}
	chunk, err := ticket.DecodeChunk(m.Chunk)
	if err != nil {
		return false, err
	}
	t.use(func(now time.Time, table *ticket.Table) { complete, err = table.Import(now, chunk) })
	return complete, err
}
