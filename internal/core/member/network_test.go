package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// network carries messages between lists with explicit time.
type network struct {
	now     time.Time
	rng     *rand.Rand
	hosts   map[string]*List
	names   []string
	flights []flight
	loss    float64
	// cut holds "from>to" pairs whose messages are lost.
	cut map[string]bool
	// paused hosts get no ticks; messages to them wait.
	paused map[string]bool
	sent   int
	events []string
	starts int
}

type flight struct {
	at   time.Time
	from string
	send Send
}

const (
	tickStep  = 50 * time.Millisecond
	flightMax = 80 * time.Millisecond
)

func newNetwork(seed uint64, names ...string) *network {
	n := &network{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		rng:    rand.New(rand.NewPCG(seed, 5)),
		hosts:  map[string]*List{},
		cut:    map[string]bool{},
		paused: map[string]bool{},
	}
	for _, name := range names {
		n.start(name)
	}
	return n
}

// start starts a host, or a new life of it, that knows the listed hosts.
func (n *network) start(name string) {
	n.starts++
	if !slices.Contains(n.names, name) {
		n.names = append(n.names, name)
	}
	n.hosts[name] = New(n.now, DefaultConfig(), n.info(name), uint64(n.starts))
	for _, other := range n.names {
		if l := n.hosts[other]; l != nil {
			n.run(other, l.ApplyHostList(n.now, n.listed()))
		}
	}
}

func (n *network) info(name string) Info {
	return Info{ID: ident.HostID(name), PeerAddress: name, Version: Version{Incarnation: ident.Incarnation(n.now.UnixMicro())}}
}

func (n *network) listed() []Info {
	var infos []Info
	for _, name := range n.names {
		infos = append(infos, n.info(name))
	}
	return infos
}

func (n *network) kill(name string) { delete(n.hosts, name) }

func (n *network) run(from string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			n.sent++
			if n.rng.Float64() < n.loss || n.cut[from+">"+a.Address] {
				continue
			}
			delay := time.Duration(n.rng.Int64N(int64(flightMax)))
			n.flights = append(n.flights, flight{n.now.Add(delay), from, a})
		case NodeChanged:
			n.events = append(n.events, fmt.Sprintf("%s: %s %s", from, a.Node.ID, a.Node.State))
		case IncarnationChanged:
			n.events = append(n.events, from+": resumed")
		}
	}
}

// advance runs the network for a time.
func (n *network) advance(d time.Duration) {
	end := n.now.Add(d)
	for n.now.Before(end) {
		n.now = n.now.Add(tickStep)
		n.deliver()
		for _, name := range n.names {
			if l := n.hosts[name]; l != nil && !n.paused[name] {
				n.run(name, l.Tick(n.now))
			}
		}
	}
}

func (n *network) deliver() {
	var waiting []flight
	due := n.flights
	n.flights = nil
	for _, f := range due {
		l := n.hosts[f.send.Address]
		switch {
		case f.at.After(n.now) || n.paused[f.send.Address]:
			waiting = append(waiting, f)
		case l != nil:
			n.run(f.send.Address, l.Receive(n.now, f.send.Message))
		}
	}
	n.flights = append(n.flights, waiting...)
}

// view returns what a host holds about another.
func (n *network) view(of, about string) string {
	l := n.hosts[of]
	if l == nil {
		return "down"
	}
	node, ok := l.Node(ident.HostID(about))
	if !ok {
		return "unknown"
	}
	if node.IsLeaving() && node.State == Alive {
		return "leaving"
	}
	return node.State.String()
}

// disagreement returns a host whose view of another is not what it should be,
// or "". A host that is alone cannot tell its own isolation from the failure of
// all others, so it keeps what it held.
func (n *network) disagreement() string {
	if len(n.hosts) == 1 {
		return ""
	}
	for _, of := range n.names {
		for _, about := range n.names {
			if n.hosts[of] == nil || of == about {
				continue
			}
			view := n.view(of, about)
			if alive := n.hosts[about] != nil; alive != (view == "alive") {
				return fmt.Sprintf("%s holds %s as %s", of, about, view)
			}
		}
	}
	return ""
}
