package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Config holds the settings of the protocol. Start from DefaultConfig.
type Config struct {
	// ProbeInterval is the time between two probes; default 1s.
	ProbeInterval time.Duration
	// ProbeTimeout is the time until other hosts are asked to probe, and again
	// until the probe has failed; default 300ms. It must be under half of
	// ProbeInterval.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of hosts that are asked; default 3.
	IndirectProbes int
	// UnconfirmedProbes is the number of hosts that only the host list has shown
	// and that are probed in an interval on top; default 4.
	UnconfirmedProbes int
	// SuspicionTime is the time to refute a suspicion; default 3s.
	SuspicionTimeout time.Duration
	// PauseLimit is the time between two ticks from which this host counts as
	// paused; default 4s.
	PauseThreshold time.Duration
	// IsolationTime is the time without a message from which this host changes
	// no state of others; default 3s.
	IsolationTimeout time.Duration
	// RejoinInterval is the time between probes of a failed host; default 5s.
	RejoinInterval time.Duration
	// ForgetAfter is the time after which a host that failed or left is
	// forgotten, unless it is listed; default 10m.
	RemoveAfter time.Duration
	// UpdatesPerMessage bounds the updates on a message, so that it fits into a
	// datagram of 1,200 bytes; default 6.
	UpdatesPerMessage int
	// RetransmitFactor times the logarithm of the number of hosts is how often
	// each host passes an update on; default 3.
	RetransmitFactor int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     time.Second,
		ProbeTimeout:      300 * time.Millisecond,
		IndirectProbes:    3,
		UnconfirmedProbes: 4,
		SuspicionTimeout:     3 * time.Second,
		PauseThreshold:        4 * time.Second,
		IsolationTimeout:     3 * time.Second,
		RejoinInterval:    5 * time.Second,
		RemoveAfter:       10 * time.Minute,
		UpdatesPerMessage: 6,
		RetransmitFactor:  3,
	}
}

// List is the list of hosts that one host keeps. It is not safe for concurrent
// use.
type List struct {
	cfg    Config
	self   Info
	digest Digest
	// logContact is the time of the newest known contact with the log service.
	logContact time.Time
	// now is the time of the event that is handled.
	now   time.Time
	rng   *rand.Rand
	nodes map[ident.HostID]*node
	// doubtful holds the hosts that are not alive.
	doubtful map[ident.HostID]*node
	// unconfirmed holds the hosts that only the host list has shown so far.
	unconfirmed map[ident.HostID]*node

	// order is the shuffled probe order, consumed from the end.
	order     []ident.HostID
	nextProbe time.Time
	probes    map[uint64]*probe
	relays    map[uint64]relay
	sequence  uint64

	queue      []*queued
	lastTick   time.Time
	lastHeard  time.Time
	nextRejoin time.Time
	// superseded is the incarnation of the newest other process with this
	// host's ID that was reported.
	superseded ident.Incarnation
}

// node is a host with what only this host knows about it.
type node struct {
	Node
	// deadline is the end of a suspicion.
	deadline time.Time
	// since is the time of the last change of state.
	since time.Time
	// listed tells that the platform's host list has the host.
	listed bool
}

// New returns a list that knows only this host.
func New(now time.Time, cfg Config, self Info, seed uint64) *List {
	return &List{
		cfg:         cfg,
		self:        self,
		rng:         rand.New(rand.NewPCG(seed, 11)),
		nodes:       map[ident.HostID]*node{},
		doubtful:    map[ident.HostID]*node{},
		unconfirmed: map[ident.HostID]*node{},
		probes:      map[uint64]*probe{},
		relays:      map[uint64]relay{},
		now:         now,
		nextProbe:   now,
		lastTick:    now,
		lastHeard:   now,
	}
}

// Self returns what this host says about itself.
func (l *List) Self() Info { return l.self }

// SetDigest sets the configuration that this host reports, and the time of the
// newest contact with the log service that it knows of. The age on a message is
// taken when it is sent: an age that stood still for a while would let hosts
// confirm each other's contact for ever.
func (l *List) SetDigest(d Digest, logContact time.Time) {
	l.digest = d
	l.logContact = logContact
}

// SetSuccessor announces the host that took over this host's tickets.
func (l *List) SetSuccessor(id ident.HostID) {
	l.self.Successor = id
	l.announce()
}

// Leave announces that this host takes no new callers and returns messages that
// say so to some other hosts at once, so that address answers follow soon.
func (l *List) Leave() []Action {
	l.self.Leaving = true
	l.announce()
	return l.tell(Update{Info: l.self, State: Alive})
}

// Stop announces that this host has stopped and returns the messages that say
// so to some other hosts.
func (l *List) Stop() []Action {
	l.self.Version.Epoch++
	return l.tell(Update{Info: l.self, State: Left})
}

// announceFanOut is the number of hosts that are told of a departure directly.
const announceFanOut = 8

func (l *List) tell(update Update) []Action {
	var actions []Action
	for _, n := range l.random(announceFanOut, "") {
		m := l.message(Ping)
		m.Updates = append([]Update{update}, m.Updates...)
		actions = append(actions, Send{Address: n.PeerAddress, Message: m})
	}
	return actions
}

// announce raises the epoch, so that what this host says about itself replaces
// what others hold.
func (l *List) announce() {
	l.self.Version.Epoch++
	l.disseminate(Update{Info: l.self, State: Alive})
}

// Nodes returns the other hosts, ordered by ID.
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

// Isolated reports whether this host has heard from no other host lately
// although it knows some.
func (l *List) Isolated(now time.Time) bool {
	return len(l.nodes) > 0 && now.Sub(l.lastHeard) >= l.cfg.IsolationTimeout
}

// random returns up to count alive hosts other than one, in random order.
func (l *List) random(count int, except ident.HostID) []*node {
	var list []*node
	for _, id := range sortedIDs(l.nodes) {
		if n := l.nodes[id]; n.State == Alive && id != except {
			list = append(list, n)
		}
	}
	l.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// sortedIDs makes random choices independent of the order of a map.
func sortedIDs(nodes map[ident.HostID]*node) []ident.HostID {
	ids := make([]ident.HostID, 0, len(nodes))
	for id := range nodes {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
