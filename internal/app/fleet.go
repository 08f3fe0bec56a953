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

// Intervals of the fleet.
const (
	// hostListInterval is the time between two reads of the platform's host
	// list.
	hostListInterval = 2 * time.Second
	// tickFloor is the shortest time between two ticks of the membership
	// protocol.
	tickFloor = 20 * time.Millisecond
)

// fleet runs the membership protocol with real time and datagrams. It is safe
// for concurrent use.
type fleet struct {
	list      port.HostList
	datagrams *peer.Datagrams
	timeline  *timeline.Timeline
	log       logrus.FieldLogger
	// onHeard is called when another host reports its configuration.
	onHeard func(port.Host, member.Digest)
	// onResumed is called when this host has a new incarnation after a pause.
	onResumed func(ident.Incarnation)

	mu      sync.Mutex
	members *member.List
	// changes counts what may change the result of Serving.
	changes uint64
}

// update runs one event under the lock and carries its actions out after it.
func (f *fleet) update(step func(now time.Time, l *member.List) []member.Action) {
	f.mu.Lock()
	actions := step(time.Now(), f.members)
	f.count(actions)
	f.mu.Unlock()
	for _, a := range actions {
		f.carryOut(a)
	}
}

// checkPause lets the protocol notice a pause of this process and returns the
// incarnation. The actions are carried out later: the caller may hold a lock
// that they need.
func (f *fleet) checkPause() ident.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	actions := f.members.Tick(time.Now())
	f.count(actions)
	go func() {
		for _, a := range actions {
			f.carryOut(a)
		}
	}()
	return f.members.Self().Version.Incarnation
}

// count notes changes of hosts. The caller holds the lock.
func (f *fleet) count(actions []member.Action) {
	for _, a := range actions {
		if _, ok := a.(member.NodeChanged); ok {
			f.changes++
		}
	}
}

// Changes implements liveHosts.
func (f *fleet) Changes() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes
}

func (f *fleet) carryOut(a member.Action) {
	switch a := a.(type) {
	case member.Send:
		if err := f.datagrams.Send(a.Address, a.Message); err != nil {
			f.log.WithError(err).Debug("a datagram was not sent")
		}
	case member.NodeChanged:
		f.record(a)
	case member.DigestReceived:
		if n, ok := f.node(a.Host); ok {
			f.onHeard(portHost(&n), a.Digest)
		}
	case member.IncarnationChanged:
		f.timeline.Record(event.HostResumed, event.F("paused_ms", a.PausedForMs), event.F("incarnation", a.Current))
		f.onResumed(a.Current)
	case member.Superseded:
		f.log.WithField("other_incarnation", a.Other.Version.Incarnation).WithField("other_address", a.Other.PeerAddress).
			Error("another process uses this host's -host-id")
	}
}

func (f *fleet) record(c member.NodeChanged) {
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
	f.timeline.Record(kind, event.F("member", c.Node.ID), event.F("incarnation", c.Node.Version.Incarnation))
}

// run drives the protocol until ctx ends.
func (f *fleet) run(ctx context.Context) {
	go f.datagrams.Receive(ctx, func(m member.Message) {
		f.update(func(now time.Time, l *member.List) []member.Action { return l.Receive(now, m) })
	})
	go f.readHostList(ctx)
	for ctx.Err() == nil {
		f.update(func(now time.Time, l *member.List) []member.Action { return l.Tick(now) })
		f.mu.Lock()
		wait := max(time.Until(f.members.NextTick()), tickFloor)
		f.mu.Unlock()
		sleep(ctx, wait)
	}
}

func (f *fleet) readHostList(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := f.list.Hosts(ctx)
		if err != nil {
			f.log.WithError(err).Debug("the host list could not be read")
		} else {
			f.update(func(now time.Time, l *member.List) []member.Action { return l.ApplyHostList(now, memberInfos(hosts)) })
		}
		sleep(ctx, hostListInterval)
	}
}

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

func (f *fleet) node(id ident.HostID) (member.Node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Node(id)
}

// nodes returns the other hosts.
func (f *fleet) nodes() []member.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Nodes()
}

// self returns this host as others see it.
func (f *fleet) self() port.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := member.Node{Info: f.members.Self()}
	return portHost(&n)
}

// successor returns the host that took over this host's tickets.
func (f *fleet) successor() (member.Node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Node(f.members.Self().Successor)
}

// Live returns the other hosts that answer, leaving ones included.
func (f *fleet) Live() []port.Host {
	var live []port.Host
	for _, n := range f.nodes() {
		if n.State == member.Alive && n.Confirmed {
			live = append(live, portHost(&n))
		}
	}
	return live
}

// Serving implements liveHosts: this host and all others that answer and
// are not leaving. When that is nobody, it falls back to hosts that are
// leaving, then to suspected ones, so that it is never empty.
func (f *fleet) Serving() []port.Host {
	self, nodes := f.self(), f.nodes()
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

// leave announces that this host takes no new callers.
func (f *fleet) leave() {
	f.update(func(_ time.Time, l *member.List) []member.Action {
		f.changes++
		return l.Leave()
	})
}

// stop announces that this host has stopped.
func (f *fleet) stop() {
	f.update(func(_ time.Time, l *member.List) []member.Action { return l.Stop() })
}
