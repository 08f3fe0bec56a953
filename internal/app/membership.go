package app

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/timeline"
)

// Intervals of the membership protocol.
const (
	// hostListInterval is the time between two reads of the platform's host list.
	hostListInterval = 2 * time.Second
	// minTickInterval is the shortest time between two ticks of the membership protocol.
	minTickInterval = 20 * time.Millisecond
)

// membership runs the membership protocol (internal/core/member) on the system clock and UDP datagrams.
// Host uses it; Gateway uses the roster protocol (internal/core/roster) over peer.Fleet instead. It is
// safe for concurrent use.
type membership struct {
	list      port.HostList
	datagrams *peer.Datagrams
	timeline  *timeline.Timeline
	log       logrus.FieldLogger
	// onDigest is called when a message carries the configuration digest of another host.
	onDigest func(port.Host, member.Digest)
	// onResumed is called when this host gets a new incarnation after a pause of the process.
	onResumed func(ident.Incarnation)

	mu      sync.Mutex
	members *member.List
	// changes counts the events that may have changed the result of Serving.
	changes uint64
}

// update applies one event under the lock and executes the resulting actions after releasing it.
func (m *membership) update(apply func(now time.Time, l *member.List) []member.Action) {
	m.mu.Lock()
	actions := apply(time.Now(), m.members)
	m.countChanges(actions)
	m.mu.Unlock()
	for _, a := range actions {
		m.execute(a)
	}
}

// checkPause runs a protocol tick, which detects a pause of this process, and returns the current
// incarnation. The actions are executed asynchronously because the caller may hold a lock that they
// need.
func (m *membership) checkPause() ident.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	actions := m.members.Tick(time.Now())
	m.countChanges(actions)
	go func() {
		for _, a := range actions {
			m.execute(a)
		}
	}()
	return m.members.Self().Version.Incarnation
}

// countChanges counts the membership changes among actions. The caller holds the lock.
func (m *membership) countChanges(actions []member.Action) {
	for _, a := range actions {
		if _, ok := a.(member.NodeChanged); ok {
			m.changes++
		}
	}
}

// Changes implements hostSource.
func (m *membership) Changes() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changes
}

func (m *membership) execute(a member.Action) {
	switch a := a.(type) {
	case member.Send:
		if err := m.datagrams.Send(a.Address, a.Message); err != nil {
			m.log.WithError(err).Debug("sending a datagram failed")
		}
	case member.NodeChanged:
		m.recordChange(a)
	case member.DigestReceived:
		if n, ok := m.node(a.Host); ok {
			m.onDigest(portHost(&n), a.Digest)
		}
	case member.IncarnationChanged:
		m.timeline.Record(event.HostResumed, event.F("paused_ms", a.PausedForMs), event.F("incarnation", a.Current))
		m.onResumed(a.Current)
	case member.Superseded:
		m.log.WithField("other_incarnation", a.Other.Version.Incarnation).WithField("other_address", a.Other.PeerAddress).
			Error("another process uses this host's -host-id")
	}
}

func (m *membership) recordChange(c member.NodeChanged) {
	kinds := map[member.State]event.Kind{
		member.Alive:   event.MemberJoined,
		member.Suspect: event.MemberSuspected,
		member.Failed:  event.MemberFailed,
		member.Left:    event.MemberLeft,
	}
	kind := kinds[c.Node.State]
	if c.Node.State == member.Alive && c.LeavingChanged {
		kind = event.MemberLeaving
	}
	m.timeline.Record(kind, event.F("member", c.Node.ID), event.F("incarnation", c.Node.Version.Incarnation))
}

// run runs the protocol until ctx ends.
func (m *membership) run(ctx context.Context) {
	go m.datagrams.Receive(ctx, func(message member.Message) {
		m.update(func(now time.Time, l *member.List) []member.Action { return l.Receive(now, message) })
	})
	go m.readHostList(ctx)
	for ctx.Err() == nil {
		m.update(func(now time.Time, l *member.List) []member.Action { return l.Tick(now) })
		m.mu.Lock()
		wait := max(time.Until(m.members.NextTick()), minTickInterval)
		m.mu.Unlock()
		sleep(ctx, wait)
	}
}

func (m *membership) readHostList(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := m.list.Hosts(ctx)
		if err != nil {
			m.log.WithError(err).Debug("reading the host list failed")
		} else {
			m.update(func(now time.Time, l *member.List) []member.Action { return l.ApplyHostList(now, memberInfos(hosts)) })
		}
		sleep(ctx, hostListInterval)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func memberInfos(hosts []port.Host) []member.Info {
	infos := make([]member.Info, 0, len(hosts))
	for _, h := range hosts {
		infos = append(infos, member.Info{
			ID:            h.ID,
			Location:      h.Location,
			PeerAddress:   h.PeerAddress,
			CallerAddress: h.CallerAddress,
			AdminAddress:  h.AdminAddress,
			Leaving:       h.Leaving,
		})
	}
	return infos
}

func portHost(n *member.Node) port.Host {
	return port.Host{
		ID:            n.ID,
		Incarnation:   n.Version.Incarnation,
		Location:      n.Location,
		CallerAddress: n.CallerAddress,
		AdminAddress:  n.AdminAddress,
		PeerAddress:   n.PeerAddress,
		Leaving:       n.IsLeaving(),
	}
}

func (m *membership) node(id ident.HostID) (member.Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Node(id)
}

// nodes returns the other hosts.
func (m *membership) nodes() []member.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Nodes()
}

// self returns this host as advertised to the others.
func (m *membership) self() port.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := member.Node{Info: m.members.Self()}
	return portHost(&n)
}

// announcedSuccessor returns the host that took over this host's tickets.
func (m *membership) announcedSuccessor() (member.Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.Node(m.members.Self().Successor)
}

// Live returns the other hosts that are alive and confirmed, including leaving ones.
func (m *membership) Live() []port.Host {
	var live []port.Host
	for _, n := range m.nodes() {
		if n.State == member.Alive && n.Confirmed {
			live = append(live, portHost(&n))
		}
	}
	return live
}

// Serving implements hostSource. It returns this host, unless it is leaving, and all other hosts that
// are alive, confirmed and not leaving. If there are none, it falls back to unconfirmed hosts, then to
// suspected ones, and finally to this host, so that the result is never empty.
func (m *membership) Serving() []port.Host {
	self, nodes := m.self(), m.nodes()
	for _, usable := range []func(*member.Node) bool{
		func(n *member.Node) bool { return n.State == member.Alive && n.Confirmed && !n.IsLeaving() },
		func(n *member.Node) bool { return n.State == member.Alive && !n.IsLeaving() },
		func(n *member.Node) bool { return n.State == member.Suspect && !n.IsLeaving() },
	} {
		var hosts []port.Host
		if !self.Leaving {
			hosts = append(hosts, self)
		}
		for _, n := range nodes {
			if usable(&n) {
				hosts = append(hosts, portHost(&n))
			}
		}
		if len(hosts) > 0 {
			return hosts
		}
	}
	return []port.Host{self}
}

// announceLeaving announces that this host accepts no new callers.
func (m *membership) announceLeaving() {
	m.update(func(_ time.Time, l *member.List) []member.Action {
		m.changes++
		return l.Leave()
	})
}

// announceStopped announces that this host has stopped.
func (m *membership) announceStopped() {
	m.update(func(_ time.Time, l *member.List) []member.Action { return l.Stop() })
}
