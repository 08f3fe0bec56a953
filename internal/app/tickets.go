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

// Intervals of ticket maintenance and hand-over.
const (
	// ticketTickInterval is the time between two removals of expired tickets.
	ticketTickInterval = time.Second
	// handoverRetryInterval is the time between two attempts to send a hand-over message.
	handoverRetryInterval = 200 * time.Millisecond
	// updatePollInterval is the time between two checks for outcomes of requests that are still
	// running after a hand-over.
	updatePollInterval = 50 * time.Millisecond
)

// tickets manages this host's ticket table and exchanges tickets with other hosts. It implements
// ingress.Tickets and is safe for concurrent use.
type tickets struct {
	membership *membership
	peers      port.Peers
	timeline   *timeline.Timeline
	log        logrus.FieldLogger

	mu    sync.Mutex
	table *ticket.Table
	// lastUse is the time of the last access to the table. A long gap means that the process was
	// paused. Tickets from before the pause must not be admitted, regardless of whether a request or
	// the membership protocol detects the pause first.
	lastUse time.Time
}

func newTickets(lifetime time.Duration, host ident.HostID, incarnation ident.Incarnation) *tickets {
	cfg := ticket.DefaultConfig()
	cfg.Lifetime = lifetime
	now := time.Now()
	self := ticket.Issuer{Host: host, Incarnation: incarnation}
	return &tickets{table: ticket.New(cfg, self, newTicketKey(), now), lastUse: now}
}

func newTicketKey() ticket.Key {
	var key ticket.Key
	// crypto/rand.Read is documented to never return an error.
	_, _ = rand.Read(key[:])
	return key
}

// withTable calls a function with the locked table after checking for a pause of the process.
func (t *tickets) withTable(apply func(now time.Time, table *ticket.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.lastUse) >= member.DefaultConfig().PauseThreshold {
		t.resume(now, t.membership.checkPause())
	}
	t.lastUse = now
	apply(now, t.table)
}

// handleResume switches the table to the new incarnation that the membership protocol has assigned.
func (t *tickets) handleResume(incarnation ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resume(time.Now(), incarnation)
}

// resume is handleResume for a caller that holds the lock.
func (t *tickets) resume(now time.Time, incarnation ident.Incarnation) {
	if incarnation <= t.table.Self().Incarnation {
		return
	}
	if err := t.table.Resume(now, incarnation, newTicketKey()); err != nil {
		t.log.WithError(err).Warn("switching tickets to a new incarnation failed; they keep the one from before the pause")
	}
}

// run removes expired tickets until ctx ends.
func (t *tickets) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.withTable(func(now time.Time, table *ticket.Table) { table.Tick(now) })
		t.endRequestsOfStoppedHosts()
		sleep(ctx, ticketTickInterval)
	}
}

// endRequestsOfStoppedHosts ends the requests that were running at hosts that have stopped. These hosts
// have sent all outcomes that they had.
func (t *tickets) endRequestsOfStoppedHosts() {
	for _, n := range t.membership.nodes() {
		if n.State == member.Left {
			stopped := ticket.Issuer{Host: n.ID, Incarnation: n.Version.Incarnation}
			t.withTable(func(now time.Time, table *ticket.Table) { table.MarkLost(now, stopped) })
		}
	}
}

// Issue implements ingress.Tickets.
func (t *tickets) Issue(n int) (list []ticket.Ticket, err error) {
	t.withTable(func(now time.Time, table *ticket.Table) { list, err = table.Issue(now, n) })
	return list, err
}

// Admit implements ingress.Tickets.
func (t *tickets) Admit(tk ticket.Ticket, fp ticket.Fingerprint) (a ticket.Admission) {
	t.withTable(func(now time.Time, table *ticket.Table) { a = table.Admit(now, tk, fp) })
	return a
}

// End implements ingress.Tickets.
func (t *tickets) End(id ticket.ID, run uint32, end ticket.Completion) {
	t.withTable(func(now time.Time, table *ticket.Table) { table.Complete(now, id, run, end) })
}

// Relay implements ingress.Tickets. It forwards the request to the host of the admission, or to its
// successor if that host has handed its tickets over. A host announces its successor only after the
// successor has acknowledged the hand-over, so it admits no more tickets itself.
func (t *tickets) Relay(ctx context.Context, _ ticket.Ticket, to ticket.Admission, r port.RelayedRequest) (port.RelayedResponse, error) {
	n, ok := t.membership.node(to.Host)
	for hops := 0; ok && n.Successor != "" && hops < maxSuccessorHops; hops++ {
		n, ok = t.membership.node(n.Successor)
	}
	if !ok {
		return port.RelayedResponse{}, errors.Errorf("host %s, which issued the ticket, is unknown to this host", to.Host)
	}
	return t.peers.Relay(ctx, portHost(&n), r)
}

// maxSuccessorHops limits the length of a chain of successors, which a rolling replacement of hosts
// creates.
const maxSuccessorHops = 8

// handOver permanently stops admission and sends the tickets to a single successor. Messages without an
// acknowledgement are resent to the same host. If the hand-over is not complete before ctx ends, the
// outcomes of the tickets stay unknown.
func (t *tickets) handOver(ctx context.Context) {
	successor, ok := t.successor()
	issuer := ticket.Issuer{Host: successor.ID, Incarnation: successor.Incarnation}
	var err error
	t.withTable(func(now time.Time, table *ticket.Table) { err = table.Close(now, issuer) })
	if err != nil || !ok {
		t.log.WithError(err).Warn("tickets are not handed over: no successor available")
		return
	}
	if err := t.sendChunks(ctx, successor); err != nil {
		t.log.WithError(err).WithField("successor", successor.ID).Error("ticket hand-over failed; the outcomes of the tickets stay unknown")
		return
	}
	t.membership.update(func(_ time.Time, l *member.List) []member.Action {
		l.SetSuccessor(successor.ID)
		return nil
	})
	t.timeline.Record(event.TicketsHandedOver, event.F("successor", successor.ID))
}

// successor returns the first live host of the same region in rendezvous order, or of any region
// if the same one has none.
func (t *tickets) successor() (port.Host, bool) {
	self := t.membership.self()
	byID := map[ident.HostID]port.Host{}
	var candidates, all []serving.Host
	for _, h := range t.membership.Serving() {
		if h.ID == self.ID || h.Incarnation == 0 {
			continue
		}
		byID[h.ID] = h
		all = append(all, serving.Host{ID: h.ID, Location: h.Location})
		if h.Location.Region == self.Location.Region {
			candidates = append(candidates, serving.Host{ID: h.ID, Location: h.Location})
		}
	}
	if len(candidates) == 0 {
		candidates = all
	}
	if len(candidates) == 0 {
		return port.Host{}, false
	}
	return byID[serving.RankHosts("successor\x00"+string(self.ID), candidates)[0].ID], true
}

// sendChunks sends the whole table to the successor.
func (t *tickets) sendChunks(ctx context.Context, to port.Host) error {
	count := 0
	t.withTable(func(_ time.Time, table *ticket.Table) { count = table.ChunkCount() })
	complete := false
	for index := range count {
		var chunk ticket.Chunk
		var err error
		t.withTable(func(_ time.Time, table *ticket.Table) { chunk, err = table.Export(index) })
		if err != nil {
			return err
		}
		data, err := chunk.Encode()
		if err != nil {
			return err
		}
		if complete, err = t.sendWithRetry(ctx, to, port.HandoverMessage{Chunk: data}); err != nil {
			return err
		}
	}
	if !complete {
		return errors.New("the successor did not acknowledge the complete hand-over")
	}
	return nil
}

// sendWithRetry sends a message until the successor acknowledges or refuses it. The successor handles
// duplicates idempotently.
func (t *tickets) sendWithRetry(ctx context.Context, to port.Host, m port.HandoverMessage) (bool, error) {
	for {
		complete, err := t.peers.Handover(ctx, to, m)
		var refused *port.HandoverRefusedError
		if err == nil || errors.As(err, &refused) {
			return complete, err
		}
		sleep(ctx, handoverRetryInterval)
		if ctx.Err() != nil {
			return false, errors.Wrap(err, "no acknowledgement from the successor")
		}
	}
}

// sendUpdates sends the outcomes of requests that end after the hand-over to the successor until no
// request is running. Without a successor it only waits: the shutdown of the server for callers does
// not wait for relayed requests.
func (t *tickets) sendUpdates(ctx context.Context) {
	n, ok := t.membership.announcedSuccessor()
	for ctx.Err() == nil {
		var update ticket.Update
		more, running := false, 0
		t.withTable(func(_ time.Time, table *ticket.Table) {
			update, more = table.NextUpdate()
			running = table.RunningRequests()
		})
		more = more && ok
		if !more && running == 0 {
			return
		}
		if !more {
			sleep(ctx, updatePollInterval)
			continue
		}
		data, err := update.Encode()
		if err == nil {
			_, err = t.sendWithRetry(ctx, portHost(&n), port.HandoverMessage{Update: data})
		}
		if err != nil {
			t.log.WithError(err).Error("sending the outcomes of the last requests to the successor failed")
			return
		}
		t.withTable(func(_ time.Time, table *ticket.Table) { table.Acknowledge(update) })
	}
}

// acceptHandover accepts tickets from a leaving host.
func (t *tickets) acceptHandover(m port.HandoverMessage) (complete bool, err error) {
	if len(m.Update) > 0 {
		update, err := ticket.DecodeUpdate(m.Update)
		if err != nil {
			return false, err
		}
		t.withTable(func(now time.Time, table *ticket.Table) { err = table.ApplyUpdate(now, update) })
		return true, err
	}
	chunk, err := ticket.DecodeChunk(m.Chunk)
	if err != nil {
		return false, err
	}
	t.withTable(func(now time.Time, table *ticket.Table) { complete, err = table.Import(now, chunk) })
	return complete, err
}
