package member

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// probe is a probe of this host that waits for an Ack.
type probe struct {
	target ident.HostID
	// indirectAt is the time when other hosts are asked; zero once they were.
	indirectAt time.Time
	failsAt    time.Time
}

// relay is a probe on behalf of another host.
type relay struct {
	address  string
	sequence uint64
	subject  ident.HostID
	to       ident.Incarnation
	expires  time.Time
}

// Tick advances the timers: the next probe, probes without a reply, suspicions,
// and the detection of a pause.
func (l *List) Tick(now time.Time) []Action {
	gap := now.Sub(l.lastTick)
	l.now, l.lastTick = now, now
	if gap >= l.cfg.PauseThreshold {
		return l.resume(now, gap)
	}
	actions := l.checkProbes(now)
	actions = append(actions, l.checkSuspicions(now)...)
	if !now.Before(l.nextProbe) {
		l.nextProbe = now.Add(l.cfg.ProbeInterval)
		if l.Isolated(now) {
			// A host that hears nobody cannot learn that it is suspected, so it
			// refutes in advance.
			l.announce()
		}
		actions = append(actions, l.probeNext(now)...)
		actions = append(actions, l.probeUnconfirmed(now)...)
	}
	if !now.Before(l.nextRejoin) {
		l.nextRejoin = now.Add(l.cfg.RejoinInterval)
		actions = append(actions, l.probeFailed()...)
	}
	return actions
}

// NextTick returns the time of the next Tick that has an effect. It is never
// further away than ProbeInterval, so that pauses are noticed.
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
	for _, n := range l.doubtful {
		if n.State == Suspect && n.deadline.Before(next) {
			next = n.deadline
		}
	}
	return next
}

// resume starts a new incarnation after a pause. Timers that ran out during the
// pause say nothing about other hosts, so they start again.
func (l *List) resume(now time.Time, gap time.Duration) []Action {
	return l.newIncarnation(now, ident.Incarnation(now.UnixMicro()), gap)
}

// newIncarnation starts a new life of this host, at least with the given number.
func (l *List) newIncarnation(now time.Time, least ident.Incarnation, gap time.Duration) []Action {
	previous := l.self.Version.Incarnation
	l.self.Version = Version{Incarnation: max(previous+1, least)}
	l.self.Successor = ""
	l.disseminate(Update{Info: l.self, State: Alive})
	l.probes = map[uint64]*probe{}
	l.relays = map[uint64]relay{}
	l.lastHeard = now
	for _, n := range l.doubtful {
		n.deadline = now.Add(l.cfg.SuspicionTimeout)
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
			return []Action{l.ping(now, n)}
		}
		l.order = sortedIDs(l.nodes)
		l.rng.Shuffle(len(l.order), func(i, j int) { l.order[i], l.order[j] = l.order[j], l.order[i] })
	}
	return nil
}

// probeUnconfirmed probes some hosts that only the host list has shown, so that
// a starting host soon knows which of them are alive.
func (l *List) probeUnconfirmed(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedIDs(l.unconfirmed) {
		if len(actions) == l.cfg.UnconfirmedProbes {
			break
		}
		if n := l.unconfirmed[id]; n.State == Alive {
			actions = append(actions, l.ping(now, n))
		}
	}
	return actions
}

func (l *List) ping(now time.Time, n *node) Action {
	m := l.message(Ping)
	l.probes[m.Sequence] = &probe{
		target:     n.ID,
		indirectAt: now.Add(l.cfg.ProbeTimeout),
		failsAt:    now.Add(2 * l.cfg.ProbeTimeout),
	}
	if n.State == Suspect {
		// Tell the accused, so that it can refute at once.
		m.Updates = append([]Update{{Info: n.Info, State: Suspect}}, m.Updates...)
	}
	return Send{Address: n.PeerAddress, Message: m}
}

// probeFailed pings one failed host that may be back, for instance behind a
// healed partition, and tells it what it is accused of.
func (l *List) probeFailed() []Action {
	var failed []*node
	for _, id := range sortedIDs(l.doubtful) {
		if n := l.nodes[id]; n.State == Failed {
			failed = append(failed, n)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	n := failed[l.rng.IntN(len(failed))]
	m := l.message(Ping)
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
			actions = append(actions, l.askOthers(sequence, p.target)...)
		}
	}
	for sequence, r := range l.relays {
		if !now.Before(r.expires) {
			delete(l.relays, sequence)
		}
	}
	return actions
}

func (l *List) askOthers(sequence uint64, target ident.HostID) []Action {
	n := l.nodes[target]
	if n == nil {
		return nil
	}
	var actions []Action
	for _, other := range l.random(l.cfg.IndirectProbes, target) {
		m := l.message(PingRequest)
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

// checkSuspicions makes hosts fail that did not refute, and forgets hosts that
// are long gone.
func (l *List) checkSuspicions(now time.Time) []Action {
	var actions []Action
	for _, id := range sortedIDs(l.doubtful) {
		n := l.nodes[id]
		switch n.State {
		case Suspect:
			if !now.Before(n.deadline) && !l.Isolated(now) {
				actions = append(actions, l.setState(now, n, Failed)...)
			}
		case Failed, Left:
			if !n.listed && now.Sub(n.since) >= l.cfg.RemoveAfter {
				l.forget(id)
			}
		}
	}
	return actions
}

func (l *List) reply(m Message) Action {
	ack := l.message(Ack)
	ack.Sequence = m.Sequence
	ack.ToIncarnation = m.From.Version.Incarnation
	if n := l.nodes[m.From.ID]; n != nil && n.State != Alive {
		// The sender is accused here; tell it, so that it can refute.
		ack.Updates = append([]Update{{Info: n.Info, State: n.State}}, ack.Updates...)
	}
	return Send{Address: m.From.PeerAddress, Message: ack}
}

// relayPing pings a host on behalf of another one.
func (l *List) relayPing(now time.Time, m Message) Action {
	ping := l.message(Ping)
	l.relays[ping.Sequence] = relay{
		address:  m.From.PeerAddress,
		sequence: m.Sequence,
		subject:  m.Subject,
		to:       m.From.Version.Incarnation,
		expires:  now.Add(2 * l.cfg.ProbeTimeout),
	}
	return Send{Address: m.SubjectAddress, Message: ping}
}

func (l *List) acknowledged(m Message) []Action {
	if m.ToIncarnation != l.self.Version.Incarnation {
		return nil
	}
	if r, ok := l.relays[m.Sequence]; ok && m.From.ID == r.subject {
		delete(l.relays, m.Sequence)
		ack := l.message(Ack)
		ack.Sequence, ack.ToIncarnation, ack.Subject = r.sequence, r.to, r.subject
		ack.Updates = append([]Update{{Info: m.From, State: Alive}}, ack.Updates...)
		return []Action{Send{Address: r.address, Message: ack}}
	}
	p := l.probes[m.Sequence]
	if p != nil && (m.From.ID == p.target || m.Subject == p.target) {
		delete(l.probes, m.Sequence)
	}
	return nil
}
