package member

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Receive handles a message from another host.
func (l *List) Receive(now time.Time, m Message) []Action {
	l.now = now
	if m.From.ID == l.self.ID {
		return l.otherSelf(m.From)
	}
	var actions []Action
	l.lastHeard = now
	joined := l.nodes[m.From.ID] == nil || l.nodes[m.From.ID].Version.Incarnation != m.From.Version.Incarnation
	actions = append(actions, l.hear(now, m)...)
	if joined {
		actions = append(actions, l.tellDeparted(m.From)...)
	}
	for _, u := range m.Updates {
		actions = append(actions, l.apply(now, u)...)
	}
	switch m.Kind {
	case Ping:
		actions = append(actions, l.reply(m))
	case Ack:
		actions = append(actions, l.acknowledged(m)...)
	case PingRequest:
		actions = append(actions, l.relayPing(now, m))
	}
	return actions
}

// otherSelf handles a message from another process with this host's ID. The
// later incarnation replaces the earlier one in every other host's list.
func (l *List) otherSelf(other Info) []Action {
	if other.Version.Incarnation <= max(l.superseded, l.self.Version.Incarnation) {
		return nil
	}
	l.superseded = other.Version.Incarnation
	return []Action{Superseded{Other: other}}
}

// hear takes what the sender says about itself.
func (l *List) hear(now time.Time, m Message) []Action {
	actions := l.apply(now, Update{Info: m.From, State: Alive})
	n := l.nodes[m.From.ID]
	if n == nil || n.Version != m.From.Version {
		return actions
	}
	n.Confirmed = true
	l.watch(n)
	n.Digest = m.Digest
	actions = append(actions, DigestReceived{Host: n.ID, Digest: m.Digest})
	if n.State == Suspect || n.State == Failed {
		// The sender may not know that it is accused; it refutes when told.
		l.disseminate(Update{Info: n.Info, State: n.State})
	}
	return actions
}

// apply takes an update if it is newer than what is known.
func (l *List) apply(now time.Time, u Update) []Action {
	if u.ID == l.self.ID {
		return l.refute(now, u)
	}
	if u.State == Failed {
		// Only the own timeout makes a host fail here.
		u.State = Suspect
	}
	n := l.nodes[u.ID]
	switch {
	case n == nil && u.State == Left && u.Successor == "":
		return nil
	case n == nil:
		return l.add(now, u, false)
	case !u.replaces(&n.Node):
		return nil
	}
	return l.change(now, n, u)
}

// tellDeparted tells a host that starts which hosts have left and who took over
// their tickets. Updates about a departure are passed on only for a while, and
// a later host would otherwise ask the departed host itself.
func (l *List) tellDeparted(to Info) []Action {
	var updates []Update
	for _, id := range sortedIDs(l.doubtful) {
		if n := l.nodes[id]; n.State == Left && n.Successor != "" && id != to.ID {
			updates = append(updates, Update{Info: n.Info, State: Left})
		}
	}
	var actions []Action
	for batch := range slices.Chunk(updates, l.cfg.UpdatesPerMessage) {
		m := l.message(Ping)
		m.Updates = batch
		actions = append(actions, Send{Address: to.PeerAddress, Message: m})
	}
	return actions
}

// refute answers an accusation against this host, or a statement about a later
// life of it that it does not know.
func (l *List) refute(now time.Time, u Update) []Action {
	if u.State == Alive || u.Version.Before(l.self.Version) {
		return nil
	}
	if u.Version.Incarnation > l.self.Version.Incarnation {
		return l.outbid(now, u)
	}
	l.self.Version.Epoch = max(l.self.Version.Epoch, u.Version.Epoch)
	l.announce()
	return nil
}

// outbid takes an incarnation above that of an earlier life, which is higher than
// this one when the wall clock was set back before the restart. An incarnation
// that has not ended belongs to another process with this host's ID.
func (l *List) outbid(now time.Time, u Update) []Action {
	if u.State != Failed && u.State != Left {
		return nil
	}
	return l.newIncarnation(now, u.Version.Incarnation+1, 0)
}

func (l *List) add(now time.Time, u Update, listed bool) []Action {
	n := &node{Node: Node{Info: u.Info, State: u.State, Confirmed: !listed}, since: now, listed: listed}
	l.nodes[u.ID] = n
	l.watch(n)
	if u.State == Suspect {
		n.deadline = now.Add(l.cfg.SuspicionTimeout)
	}
	// A host that is added is probed soon, but at a random place in the order.
	at := l.rng.IntN(len(l.order) + 1)
	l.order = append(l.order, "")
	copy(l.order[at+1:], l.order[at:])
	l.order[at] = u.ID
	if !listed {
		l.disseminate(u)
	}
	return []Action{NodeChanged{Node: n.Node, Previous: u.State, Joined: true}}
}

func (l *List) change(now time.Time, n *node, u Update) []Action {
	previous, wasLeaving := n.State, n.Leaving
	joined := n.Version.Incarnation != u.Version.Incarnation
	if u.State != Suspect || joined {
		// An accuser may hold an older copy of what the host says of itself.
		n.Info = u.Info
	}
	n.Version = u.Version
	n.State = u.State
	n.Confirmed = true
	l.watch(n)
	if u.State == Suspect {
		n.deadline = now.Add(l.cfg.SuspicionTimeout)
	}
	l.disseminate(u)
	leavingChanged := n.Leaving != wasLeaving
	if previous == n.State && !joined && !leavingChanged {
		return nil
	}
	n.since = now
	return []Action{NodeChanged{Node: n.Node, Previous: previous, Joined: joined, LeavingChanged: leavingChanged}}
}

// setState changes a state by this host's own judgement.
func (l *List) setState(now time.Time, n *node, s State) []Action {
	return l.change(now, n, Update{Info: n.Info, State: s})
}

// Listed takes the platform's host list: unknown hosts are added, so that they
// are probed, and hosts listed as leaving are marked.
func (l *List) ApplyHostList(now time.Time, infos []Info) []Action {
	for _, n := range l.nodes {
		n.listed = false
	}
	var actions []Action
	for _, info := range infos {
		if info.ID == l.self.ID {
			continue
		}
		n := l.nodes[info.ID]
		if n == nil {
			leaving := info.Leaving
			info.Leaving, info.Version = false, Version{}
			actions = append(actions, l.add(now, Update{Info: info, State: Alive}, true)...)
			l.nodes[info.ID].ListedLeaving = leaving
			continue
		}
		n.listed = true
		if info.Leaving != n.ListedLeaving {
			n.ListedLeaving = info.Leaving
			actions = append(actions, NodeChanged{Node: n.Node, Previous: n.State, LeavingChanged: true})
		}
	}
	return actions
}

// watch keeps the sets of hosts that are not alive and not confirmed.
func (l *List) watch(n *node) {
	if n.Confirmed {
		delete(l.unconfirmed, n.ID)
	} else {
		l.unconfirmed[n.ID] = n
	}
	if n.State == Alive {
		delete(l.doubtful, n.ID)
		return
	}
	l.doubtful[n.ID] = n
}

func (l *List) forget(id ident.HostID) {
	delete(l.nodes, id)
	delete(l.doubtful, id)
	delete(l.unconfirmed, id)
}
