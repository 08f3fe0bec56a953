package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Config holds the protocol settings. DefaultConfig returns the defaults.
type Config struct {
	// ProbeInterval is the interval between probes; default 1s.
	ProbeInterval time.Duration
	// ProbeTimeout is the timeout of the direct probe and, after it, of the
	// indirect probes; default 300ms. It must be less than half of
	// ProbeInterval.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of hosts that are asked for an indirect probe;
	// default 3.
	IndirectProbes int
	// UnconfirmedProbes is the number of additional probes per interval of hosts
	// that are known only from the host list; default 4.
	UnconfirmedProbes int
	// SuspicionTimeout is the time within which a suspicion must be refuted;
	// default 3s.
	SuspicionTimeout time.Duration
	// PauseThreshold is the time between two ticks from which this host is
	// considered to have been paused; default 4s.
	PauseThreshold time.Duration
	// IsolationTimeout is the time without received messages after which this
	// host no longer changes the state of others; default 3s.
	IsolationTimeout time.Duration
	// RejoinInterval is the interval between probes of failed hosts; default 5s.
	RejoinInterval time.Duration
	// RemoveAfter is the time after which a failed or left host is removed,
	// unless the host list contains it; default 10m.
	RemoveAfter time.Duration
	// UpdatesPerMessage limits the updates in a message, so that it fits into a
	// datagram of 1,200 bytes; default 6.
	UpdatesPerMessage int
	// RetransmitFactor, multiplied by the logarithm of the number of hosts, is
	// the number of times that each host sends an update; default 3.
	RetransmitFactor int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     time.Second,
		ProbeTimeout:      300 * time.Millisecond,
		IndirectProbes:    3,
		UnconfirmedProbes: 4,
		SuspicionTimeout:  3 * time.Second,
		PauseThreshold:    4 * time.Second,
		IsolationTimeout:  3 * time.Second,
		RejoinInterval:    5 * time.Second,
		RemoveAfter:       10 * time.Minute,
		UpdatesPerMessage: 6,
		RetransmitFactor:  3,
	}
}

// List is the membership list of one host. It is not safe for concurrent use.
type List struct {
	cfg    Config
	self   Info
	digest Digest
	// logContact is the time of the latest known contact with the log service.
	logContact time.Time
	// now is the time of the event being handled.
	now   time.Time
	rng   *rand.Rand
	nodes map[ident.HostID]*node
	// notAlive holds the hosts in a state other than Alive.
	notAlive map[ident.HostID]*node
	// unconfirmed holds the hosts that are known only from the host list.
	unconfirmed map[ident.HostID]*node

	// order is the shuffled probe order, consumed from the end.
	order     []ident.HostID
	nextProbe time.Time
	probes    map[uint64]*probe
	relays    map[uint64]relay
	sequence  uint64

	updateQueue  []*queuedUpdate
	lastTick     time.Time
	lastReceived time.Time
	nextRejoin   time.Time
	// superseded is the latest reported incarnation of another process with
	// this host's ID.
	superseded ident.Incarnation
}

// node is a listed host with local state that is not disseminated.
type node struct {
	Node
	// suspicionDeadline is the time at which a suspicion becomes a failure.
	suspicionDeadline time.Time
	// stateSince is the time of the last state change.
	stateSince time.Time
	// listed is set if the platform's host list contains the host.
	listed bool
}

// New returns a list that contains no other hosts.
func New(now time.Time, cfg Config, self Info, seed uint64) *List {
	return &List{
		cfg:          cfg,
		self:         self,
		rng:          rand.New(rand.NewPCG(seed, 11)),
		nodes:        map[ident.HostID]*node{},
		notAlive:     map[ident.HostID]*node{},
		unconfirmed:  map[ident.HostID]*node{},
		probes:       map[uint64]*probe{},
		relays:       map[uint64]relay{},
		now:          now,
		nextProbe:    now,
		lastTick:     now,
		lastReceived: now,
	}
}

// Self returns the information that this host reports about itself.
func (l *List) Self() Info { return l.self }

// SetDigest sets the digest that this host reports, and the time of the latest
// known contact with the log service. Digest.LogAge is computed when a message is
// sent: with an age that did not advance in the meantime, hosts could confirm
// each other's contact indefinitely.
func (l *List) SetDigest(d Digest, logContact time.Time) {
	l.digest = d
	l.logContact = logContact
}

// SetSuccessor announces the host that took over this host's tickets.
func (l *List) SetSuccessor(id ident.HostID) {
	l.self.Successor = id
	l.announce()
}

// Leave announces that this host accepts no new callers. It returns messages that
// notify some other hosts at once, so that address responses exclude this host
// soon.
func (l *List) Leave() []Action {
	l.self.Leaving = true
	l.announce()
	return l.sendUpdate(Update{Info: l.self, State: Alive})
}

// Stop announces that this host has stopped. It returns the messages that notify
// some other hosts.
func (l *List) Stop() []Action {
	l.self.Version.Epoch++
	return l.sendUpdate(Update{Info: l.self, State: Left})
}

// departureFanout is the number of hosts that are notified directly of a
// departure.
const departureFanout = 8

func (l *List) sendUpdate(update Update) []Action {
	var actions []Action
	for _, n := range l.randomAlive(departureFanout, "") {
		m := l.newMessage(Ping)
		m.Updates = append([]Update{update}, m.Updates...)
		actions = append(actions, Send{Address: n.PeerAddress, Message: m})
	}
	return actions
}

// announce raises the epoch and disseminates this host's information, so that it
// replaces the information that other hosts hold.
func (l *List) announce() {
	l.self.Version.Epoch++
	l.disseminate(Update{Info: l.self, State: Alive})
}

// Nodes returns the other hosts, sorted by ID.
func (l *List) Nodes() []Node {
	list := make([]Node, 0, len(l.nodes))
	for _, n := range l.nodes {
		list = append(list, n.Node)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Node returns another host.
func (l *List) Node(id ident.HostID) (Node, bool) {
	n := l.nodes[id]
	if n == nil {
		return Node{}, false
	}
	return n.Node, true
}

// Isolated reports whether this host knows other hosts but has received no
// message for IsolationTimeout.
func (l *List) Isolated(now time.Time) bool {
	return len(l.nodes) > 0 && now.Sub(l.lastReceived) >= l.cfg.IsolationTimeout
}

// randomAlive returns up to count alive hosts except one, in random order.
func (l *List) randomAlive(count int, except ident.HostID) []*node {
	var list []*node
	for _, id := range sortedIDs(l.nodes) {
		if n := l.nodes[id]; n.State == Alive && id != except {
			list = append(list, n)
		}
	}
	l.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// sortedIDs returns the IDs in sorted order, so that random choices do not depend
// on map iteration order.
func sortedIDs(nodes map[ident.HostID]*node) []ident.HostID {
	ids := make([]ident.HostID, 0, len(nodes))
	for id := range nodes {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
