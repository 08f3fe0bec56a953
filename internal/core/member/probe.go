package member

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// probe is a probe by this host that waits for an Ack.
type probe struct {
	target ident.HostID
	// indirectAt is the time at which other hosts are asked to probe the target;
	// zero once they have been asked.
	indirectAt time.Time
	failsAt    time.Time
}

// relay is a pending probe on behalf of another host.
type relay struct {
	requesterAddress     string
	sequence             uint64
	subject              ident.HostID
	requesterIncarnation ident.Incarnation
	expires              time.Time
}

// Tick handles the timers: periodic probes, probe and suspicion timeouts, and the
// detection of a pause.
func (l *List) Tick(now time.Time) []Action {
	gap := now.Sub(l.lastTick)
	l.now, l.lastTick = now, now
	if gap >= l.cfg.PauseThreshold {
		return l.handlePause(now, gap)
	}
	actions := l.checkProbes(now)
	actions = append(actions, l.checkSuspicions(now)...)
	if !now.Before(l.nextProbe) {
		l.nextProbe = now.Add(l.cfg.ProbeInterval)
		if l.Isolated(now) {
			// An isolated host cannot learn that it is suspected, so it refutes a
			// possible suspicion in advance.
			l.announce()
		}
		actions = append(actions, l.probeNext(now)...)
		actions = append(actions, l.probeUnconfirmed(now)...)
	}
	if !now.Before(l.nextRejoin) {
		l.nextRejoin = now.Add(l.cfg.RejoinInterval)
		actions = append(actions, l.pingFailedHost()...)
	}
	return actions
}

// NextTick returns the time of the next Tick that has an effect. It is at most
// ProbeInterval away, so that pauses are detected.
func (l *List) NextTick() time.Time {
	next := l.nextProbe
	for _, p := range l.probes {
		if !p.indirectAt.IsZero() && p.indirectAt.Before(next) {
			next = p.indirectAt
		}
		if p.failsAt.Before(next) {
			next = p.failsAt
		}
	}
	for _, n := range l.notAlive {
		if n.State == Suspect && n.suspicionDeadline.Before(next) {
			next = n.suspicionDeadline
		}
	}
	return next
}

// handlePause starts a new incarnation after a pause. Timers that expired during
// the pause provide no information about other hosts, so they are restarted.
func (l *List) handlePause(now time.Time, gap time.Duration) []Action {
	return l.startIncarnation(now, ident.Incarnation(now.UnixMicro()), gap)
}

// startIncarnation starts a new incarnation of this host, higher than the previous
// one and at least minimum.
func (l *List) startIncarnation(now time.Time, minimum ident.Incarnation, gap time.Duration) []Action {
	previous := l.self.Version.Incarnation
	l.self.Version = Version{Incarnation: max(previous+1, minimum)}
	l.self.Successor = ""
	l.disseminate(Update{Info: l.self, State: Alive})
	l.probes = map[uint64]*probe{}
	l.relays = map[uint64]relay{}
	l.lastReceived = now
	for _, n := range l.notAlive {
		n.suspicionDeadline = now.Add(l.cfg.SuspicionTimeout)
	}
	l.nextProbe = now
	return []Action{IncarnationChanged{Previous: previous, Current: l.self.Version.Incarnation, PausedForMs: gap.Milliseconds()}}
}

func (l *List) probeNext(now time.Time) []Action {
	for range 2 {
		for len(l.order) > 0 {
			id := l.order[len(l.order)-1]
			l.order = l.order[:len(l.order)-1]
			n := l.nodes[id]
			if n == nil || n.State == Failed || n.State == Left {
				continue
			}
			return []Action{l.sendPing(now, n)}
		}
		l.order = sortedIDs(l.nodes)
		l.rng.Shuffle(len(l.order), func(i, j int) { l.order[i], l.order[j] = l.order[j], l.order[i] })
	}
	return nil
}

// probeUnconfirmed probes some hosts that are known only from the host list, so
// that a starting host soon learns which of them are alive.
func (l *List) probeUnconfirmed(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedIDs(l.unconfirmed) {
		if len(actions) == l.cfg.UnconfirmedProbes {
			break
		}
		if n := l.unconfirmed[id]; n.State == Alive {
			actions = append(actions, l.sendPing(now, n))
		}
	}
	return actions
}

func (l *List) sendPing(now time.Time, n *node) Action {
	m := l.newMessage(Ping)
	l.probes[m.Sequence] = &probe{
		target:     n.ID,
		indirectAt: now.Add(l.cfg.ProbeTimeout),
		failsAt:    now.Add(2 * l.cfg.ProbeTimeout),
	}
	if n.State == Suspect {
		// Include the suspicion, so that the suspected host can refute it at once.
		m.Updates = append([]Update{{Info: n.Info, State: Suspect}}, m.Updates...)
	}
	return Send{Address: n.PeerAddress, Message: m}
}

// pingFailedHost pings one failed host that may be reachable again, for example
// after a partition has healed, and includes the failure, so that the host can
// refute it.
func (l *List) pingFailedHost() []Action {
	var failed []*node
	for _, id := range sortedIDs(l.notAlive) {
		if n := l.nodes[id]; n.State == Failed {
			failed = append(failed, n)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	n := failed[l.rng.IntN(len(failed))]
	m := l.newMessage(Ping)
	m.Updates = append([]Update{{Info: n.Info, State: Failed}}, m.Updates...)
	return []Action{Send{Address: n.PeerAddress, Message: m}}
}

func (l *List) checkProbes(now time.Time) []Action {
	var actions []Action
	for _, sequence := range slices.Sorted(maps.Keys(l.probes)) {
		p := l.probes[sequence]
		switch {
		case !now.Before(p.failsAt):
			delete(l.probes, sequence)
			actions = append(actions, l.suspect(now, p.target)...)
		case !p.indirectAt.IsZero() && !now.Before(p.indirectAt):
			p.indirectAt = time.Time{}
			actions = append(actions, l.sendPingRequests(sequence, p.target)...)
		}
	}
	for sequence, r := range l.relays {
		if !now.Before(r.expires) {
			delete(l.relays, sequence)
		}
	}
	return actions
}

func (l *List) sendPingRequests(sequence uint64, target ident.HostID) []Action {
	n := l.nodes[target]
	if n == nil {
		return nil
	}
	var actions []Action
	for _, other := range l.randomAlive(l.cfg.IndirectProbes, target) {
		m := l.newMessage(PingRequest)
		m.Sequence = sequence
		m.Subject = target
		m.SubjectAddress = n.PeerAddress
		actions = append(actions, Send{Address: other.PeerAddress, Message: m})
	}
	return actions
}

func (l *List) suspect(now time.Time, id ident.HostID) []Action {
	n := l.nodes[id]
	if n == nil || n.State != Alive || l.Isolated(now) {
		return nil
	}
	return l.setState(now, n, Suspect)
}

// checkSuspicions marks suspected hosts as failed after the timeout, and removes
// hosts that failed or left long ago.
func (l *List) checkSuspicions(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedIDs(l.notAlive) {
		n := l.nodes[id]
		switch n.State {
		case Suspect:
			if !now.Before(n.suspicionDeadline) && !l.Isolated(now) {
				actions = append(actions, l.setState(now, n, Failed)...)
			}
		case Failed, Left:
			if !n.listed && now.Sub(n.stateSince) >= l.cfg.RemoveAfter {
				l.removeNode(id)
			}
		}
	}
	return actions
}

func (l *List) newAck(m Message) Action {
	ack := l.newMessage(Ack)
	ack.Sequence = m.Sequence
	ack.ToIncarnation = m.From.Version.Incarnation
	if n := l.nodes[m.From.ID]; n != nil && n.State != Alive {
		// Include the state that this host holds of the sender, so that the sender
		// can refute it.
		ack.Updates = append([]Update{{Info: n.Info, State: n.State}}, ack.Updates...)
	}
	return Send{Address: m.From.PeerAddress, Message: ack}
}

// relayPing pings a host on behalf of another one.
func (l *List) relayPing(now time.Time, m Message) Action {
	ping := l.newMessage(Ping)
	l.relays[ping.Sequence] = relay{
		requesterAddress:     m.From.PeerAddress,
		sequence:             m.Sequence,
		subject:              m.Subject,
		requesterIncarnation: m.From.Version.Incarnation,
		expires:              now.Add(2 * l.cfg.ProbeTimeout),
	}
	return Send{Address: m.SubjectAddress, Message: ping}
}

func (l *List) handleAck(m Message) []Action {
	if m.ToIncarnation != l.self.Version.Incarnation {
		return nil
	}
	if r, ok := l.relays[m.Sequence]; ok && m.From.ID == r.subject {
		delete(l.relays, m.Sequence)
		ack := l.newMessage(Ack)
		ack.Sequence, ack.ToIncarnation, ack.Subject = r.sequence, r.requesterIncarnation, r.subject
		ack.Updates = append([]Update{{Info: m.From, State: Alive}}, ack.Updates...)
		return []Action{Send{Address: r.requesterAddress, Message: ack}}
	}
	p := l.probes[m.Sequence]
	if p != nil && (m.From.ID == p.target || m.Subject == p.target) {
		delete(l.probes, m.Sequence)
	}
	return nil
}
