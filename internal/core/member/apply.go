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
		return l.handleDuplicateID(m.From)
	}
	var actions []Action
	l.lastReceived = now
	joined := l.nodes[m.From.ID] == nil || l.nodes[m.From.ID].Version.Incarnation != m.From.Version.Incarnation
	actions = append(actions, l.handleSender(now, m)...)
	if joined {
		actions = append(actions, l.sendDepartures(m.From)...)
	}
	for _, u := range m.Updates {
		actions = append(actions, l.apply(now, u)...)
	}
	switch m.Kind {
	case Ping:
		actions = append(actions, l.newAck(m))
	case Ack:
		actions = append(actions, l.handleAck(m)...)
	case PingRequest:
		actions = append(actions, l.relayPing(now, m))
	}
	return actions
}

// handleDuplicateID handles a message from another process with this host's ID.
// The later incarnation replaces the earlier one in the lists of all other hosts.
func (l *List) handleDuplicateID(other Info) []Action {
	if other.Version.Incarnation <= max(l.superseded, l.self.Version.Incarnation) {
		return nil
	}
	l.superseded = other.Version.Incarnation
	return []Action{Superseded{Other: other}}
}

// handleSender applies the information that the sender reports about itself.
func (l *List) handleSender(now time.Time, m Message) []Action {
	actions := l.apply(now, Update{Info: m.From, State: Alive})
	n := l.nodes[m.From.ID]
	if n == nil || n.Version != m.From.Version {
		return actions
	}
	n.Confirmed = true
	l.updateIndexes(n)
	n.Digest = m.Digest
	actions = append(actions, DigestReceived{Host: n.ID, Digest: m.Digest})
	if n.State == Suspect || n.State == Failed {
		// The sender may not know that it is suspected; it refutes the suspicion
		// once it receives the update.
		l.disseminate(Update{Info: n.Info, State: n.State})
	}
	return actions
}

// apply applies an update if it is newer than the known state.
func (l *List) apply(now time.Time, u Update) []Action {
	if u.ID == l.self.ID {
		return l.refute(now, u)
	}
	if u.State == Failed {
		// A host fails only by this host's own suspicion timeout.
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
	return l.updateNode(now, n, u)
}

// sendDepartures informs a starting host of the hosts that have left and of the
// successors that took over their tickets. Departures are disseminated only for
// a limited time; a host that starts later would otherwise send requests for the
// tickets to the departed host itself.
func (l *List) sendDepartures(to Info) []Action {
	var updates []Update
	for _, id := range sortedIDs(l.notAlive) {
		if n := l.nodes[id]; n.State == Left && n.Successor != "" && id != to.ID {
			updates = append(updates, Update{Info: n.Info, State: Left})
		}
	}
	var actions []Action
	for batch := range slices.Chunk(updates, l.cfg.UpdatesPerMessage) {
		m := l.newMessage(Ping)
		m.Updates = batch
		actions = append(actions, Send{Address: to.PeerAddress, Message: m})
	}
	return actions
}

// refute handles an update that reports this host as not alive, or that refers to
// a later incarnation than its own.
func (l *List) refute(now time.Time, u Update) []Action {
	if u.State == Alive || u.Version.Before(l.self.Version) {
		return nil
	}
	if u.Version.Incarnation > l.self.Version.Incarnation {
		return l.raiseIncarnation(now, u)
	}
	l.self.Version.Epoch = max(l.self.Version.Epoch, u.Version.Epoch)
	l.announce()
	return nil
}

// raiseIncarnation starts an incarnation above that of an earlier process of this
// host, which is the higher one if the wall clock was set back before the restart.
// An incarnation that is not reported as failed or left belongs to another running
// process with this host's ID and is not exceeded.
func (l *List) raiseIncarnation(now time.Time, u Update) []Action {
	if u.State != Failed && u.State != Left {
		return nil
	}
	return l.startIncarnation(now, u.Version.Incarnation+1, 0)
}

func (l *List) add(now time.Time, u Update, listed bool) []Action {
	n := &node{Node: Node{Info: u.Info, State: u.State, Confirmed: !listed}, stateSince: now, listed: listed}
	l.nodes[u.ID] = n
	l.updateIndexes(n)
	if u.State == Suspect {
		n.suspicionDeadline = now.Add(l.cfg.SuspicionTimeout)
	}
	// The new host is probed in the current round, at a random position.
	at := l.rng.IntN(len(l.order) + 1)
	l.order = append(l.order, "")
	copy(l.order[at+1:], l.order[at:])
	l.order[at] = u.ID
	if !listed {
		l.disseminate(u)
	}
	return []Action{NodeChanged{Node: n.Node, Previous: u.State, Joined: true}}
}

func (l *List) updateNode(now time.Time, n *node, u Update) []Action {
	previous, wasLeaving := n.State, n.Leaving
	joined := n.Version.Incarnation != u.Version.Incarnation
	if u.State != Suspect || joined {
		// The sender of a suspicion may hold outdated information about the host.
		n.Info = u.Info
	}
	n.Version = u.Version
	n.State = u.State
	n.Confirmed = true
	l.updateIndexes(n)
	if u.State == Suspect {
		n.suspicionDeadline = now.Add(l.cfg.SuspicionTimeout)
	}
	l.disseminate(u)
	leavingChanged := n.Leaving != wasLeaving
	if previous == n.State && !joined && !leavingChanged {
		return nil
	}
	n.stateSince = now
	return []Action{NodeChanged{Node: n.Node, Previous: previous, Joined: joined, LeavingChanged: leavingChanged}}
}

// setState changes a state based on this host's own observations.
func (l *List) setState(now time.Time, n *node, s State) []Action {
	return l.updateNode(now, n, Update{Info: n.Info, State: s})
}

// ApplyHostList applies the platform's host list: unknown hosts are added, so
// that they are probed, and hosts listed as leaving are marked.
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

// updateIndexes updates the sets of hosts that are not alive or not confirmed.
func (l *List) updateIndexes(n *node) {
	if n.Confirmed {
		delete(l.unconfirmed, n.ID)
	} else {
		l.unconfirmed[n.ID] = n
	}
	if n.State == Alive {
		delete(l.notAlive, n.ID)
		return
	}
	l.notAlive[n.ID] = n
}

func (l *List) removeNode(id ident.HostID) {
	delete(l.nodes, id)
	delete(l.notAlive, id)
	delete(l.unconfirmed, id)
}
