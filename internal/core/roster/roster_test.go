package roster

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

var epoch = time.Unix(1_700_000_000, 0)

// network runs the rosters of some hosts with messages that arrive at once.
type network struct {
	now   time.Time
	hosts map[ident.HostID]*Roster
	down  map[ident.HostID]bool
	// sent counts the messages, beacons those that a host sent or passed on.
	sent    int
	beacons map[ident.HostID]int
}

func host(id string, zone ident.Zone, millicores int) registry.Host {
	return registry.Host{
		ID: ident.HostID(id), Location: ident.Location{Region: "r", Zone: zone},
		CallerAddress: id + ":1", PeerAddress: id + ":2", Millicores: millicores,
	}
}

// region returns hosts in two zones of one region.
func region(perZone int) []registry.Host {
	var list []registry.Host
	for i := range perZone {
		list = append(list, host(fmt.Sprint("a", i), "za", 320), host(fmt.Sprint("b", i), "zb", 320))
	}
	return list
}

func newNetwork(hosts []registry.Host) *network {
	n := &network{now: epoch, hosts: map[ident.HostID]*Roster{}, down: map[ident.HostID]bool{}, beacons: map[ident.HostID]int{}}
	for _, h := range hosts {
		r := New(epoch, DefaultConfig(), h, nil)
		r.Learn(hosts)
		n.hosts[h.ID] = r
	}
	return n
}

func (n *network) ids() []ident.HostID {
	var ids []ident.HostID
	for id := range n.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(50 * time.Millisecond) {
		for _, id := range n.ids() {
			if !n.down[id] {
				n.deliver(n.hosts[id], n.hosts[id].Tick(n.now))
			}
		}
	}
}

func (n *network) deliver(from *Roster, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendReport:
			if to := n.reach(a.To); to != nil {
				n.deliver(to, to.ReceiveReport(n.now, a.Report))
			}
		case SendWelcome:
			if to := n.reach(a.To); to != nil {
				n.deliver(to, to.ReceiveWelcome(n.now, a.Welcome))
			}
		case SendBeacon:
			for _, d := range a.To {
				n.beacon(from, d.Host.PeerAddress, a.Beacon, d.Forward)
			}
		}
	}
}

// beacon delivers a beacon, which its receiver passes on if it follows the sender.
func (n *network) beacon(from *Roster, address string, b Beacon, forward []string) {
	n.beacons[from.self.ID]++
	to := n.reach(address)
	if to == nil {
		return
	}
	followed, actions := to.ReceiveBeacon(n.now, b)
	n.deliver(to, actions)
	if !followed {
		return
	}
	// The registry's list of hosts is pulled when it differs.
	if origin := n.hosts[b.From.ID]; len(to.hosts) < len(origin.hosts) {
		list := make([]registry.Host, 0, len(origin.hosts))
		for _, p := range origin.hosts {
			list = append(list, p.Host)
		}
		to.Learn(list)
	}
	for _, next := range forward {
		n.beacon(to, next, b, nil)
	}
}

// reach counts a message and returns the live host at a peer address, nil if there is
// none.
func (n *network) reach(address string) *Roster {
	n.sent++
	id := ident.HostID(strings.TrimSuffix(address, ":2"))
	if n.down[id] {
		return nil
	}
	return n.hosts[id]
}

// coordinators returns the live hosts that coordinate.
func (n *network) coordinators() []ident.HostID {
	var list []ident.HostID
	for _, id := range n.ids() {
		if !n.down[id] && n.hosts[id].Coordinates(n.now) {
			list = append(list, id)
		}
	}
	return list
}

// active returns the active hosts as every live host knows them.
func (n *network) active(t *testing.T) []ident.HostID {
	t.Helper()
	var agreed []ident.HostID
	for _, id := range n.ids() {
		if n.down[id] {
			continue
		}
		if own := n.hosts[id].active; agreed == nil {
			agreed = own
		} else if !slices.Equal(own, agreed) {
			t.Fatalf("%s knows %v as active, another host %v", id, own, agreed)
		}
	}
	return agreed
}

// TestOneCoordinator guards against hosts that disagree who coordinates and which
// hosts callers are sent to.
func TestOneCoordinator(t *testing.T) {
	n := newNetwork(region(8))
	n.run(2 * time.Second)
	if c := n.coordinators(); len(c) != 1 {
		t.Fatalf("coordinators %v", c)
	}
	if active := n.active(t); len(active) != 2 {
		t.Errorf("active hosts %v, want one in each zone", active)
	}
}

// TestCoordinatorFails guards against a region whose callers are sent to hosts
// that are gone: within 2 s another host coordinates and has replaced the one that
// failed.
func TestCoordinatorFails(t *testing.T) {
	n := newNetwork(region(8))
	n.run(2 * time.Second)
	failed := n.coordinators()[0]
	n.down[failed] = true
	n.run(2 * time.Second)
	if c := n.coordinators(); len(c) != 1 {
		t.Fatalf("coordinators %v after %s failed", c, failed)
	}
	if active := n.active(t); slices.Contains(active, failed) || len(active) != 2 {
		t.Errorf("active hosts %v after %s failed", active, failed)
	}
	n.down[failed] = false
	n.hosts[failed] = New(n.now, DefaultConfig(), n.hosts[failed].Self(), nil)
	n.hosts[failed].Learn(region(8))
	n.run(2 * time.Second)
	if c := n.coordinators(); len(c) != 1 {
		t.Errorf("coordinators %v after %s came back", c, failed)
	}
}

// TestManyFail guards against a region without a coordinator when more than half
// of its hosts fail at once, the first in the order among them.
func TestManyFail(t *testing.T) {
	n := newNetwork(region(8))
	n.run(2 * time.Second)
	order := n.hosts["a0"].order
	for _, p := range order[:10] {
		n.down[p.ID] = true
	}
	n.run(4 * time.Second)
	if c := n.coordinators(); len(c) != 1 {
		t.Fatalf("coordinators %v", c)
	}
	for _, id := range n.active(t) {
		if n.down[id] {
			t.Errorf("callers are sent to %s, which is down", id)
		}
	}
}

// TestActiveHostFails guards against callers that are sent to an active host for
// longer than 1.5 s after it failed.
func TestActiveHostFails(t *testing.T) {
	n := newNetwork(region(8))
	n.run(2 * time.Second)
	coordinator := n.coordinators()[0]
	var failed ident.HostID
	for _, id := range n.active(t) {
		if id != coordinator {
			failed = id
		}
	}
	n.down[failed] = true
	n.run(1500 * time.Millisecond)
	if active := n.active(t); slices.Contains(active, failed) || len(active) != 2 {
		t.Errorf("active hosts %v 1.5 s after %s failed", active, failed)
	}
}

// TestLeavingHost guards against callers that are sent to a host that has been told
// to stop: it is out of the answers with the next beacon.
func TestLeavingHost(t *testing.T) {
	n := newNetwork(region(8))
	n.run(2 * time.Second)
	for _, leaving := range n.active(t) {
		r := n.hosts[leaving]
		n.deliver(r, r.Leave(n.now))
		n.run(100 * time.Millisecond)
		if slices.ContainsFunc(r.Active(r.self.Location.Zone), func(h registry.Host) bool { return h.ID == leaving }) {
			t.Errorf("%s sends callers to itself although it leaves", leaving)
		}
		n.run(time.Second)
		for _, id := range n.ids() {
			if id != leaving && slices.Contains(n.hosts[id].active, leaving) {
				t.Errorf("%s sends callers to %s, which leaves", id, leaving)
			}
		}
	}
}

// TestLoadNeedsMoreHosts answers the load of the grown deployments: one small host
// of a zone cannot carry it. It guards against a set that does not grow, and against
// one that takes small hosts although large ones suffice.
func TestLoadNeedsMoreHosts(t *testing.T) {
	hosts := []registry.Host{host("large0", "za", 800), host("large1", "za", 800)}
	for i := range 20 {
		hosts = append(hosts, host(fmt.Sprint("small", i), "za", 160))
	}
	n := newNetwork(hosts)
	n.run(time.Second)
	if active := n.active(t); len(active) != 1 || active[0][:5] != "large" {
		t.Fatalf("active without load: %v", active)
	}
	for _, id := range n.active(t) {
		n.hosts[id].SetRate(300)
	}
	n.run(time.Second)
	active := n.active(t)
	capacity := 0.0
	for _, id := range active {
		capacity += float64(n.hosts[id].self.Millicores) / 1000 * DefaultConfig().RatePerCore
	}
	if capacity < 300 || !slices.Contains(active, "large0") || !slices.Contains(active, "large1") {
		t.Errorf("active at 300 requests per second: %v, for %v", active, capacity)
	}
}

// TestMessages guards against a number of messages that grows faster than the
// number of hosts.
func TestMessages(t *testing.T) {
	perHost := func(hosts int) float64 {
		n := newNetwork(region(hosts / 2))
		n.run(2 * time.Second)
		n.sent = 0
		n.run(3 * time.Second)
		return float64(n.sent) / 3 / float64(hosts)
	}
	small, large := perHost(16), perHost(64)
	if large > 1.2*small || large > 12 {
		t.Errorf("%.1f messages a second for each of 16 hosts, %.1f for each of 64", small, large)
	}
}

// TestStaleCoordinatorStepsDown guards against two coordinators for ever after a
// partition between them has healed.
func TestStaleCoordinatorStepsDown(t *testing.T) {
	now := epoch
	hosts := region(1)
	first, second := New(now, DefaultConfig(), hosts[0], nil), New(now, DefaultConfig(), hosts[1], nil)
	first.Learn(hosts)
	second.Learn(hosts)
	if first.Rank() != 0 {
		first, second = second, first
	}
	now = now.Add(5 * time.Second)
	first.Tick(now)
	second.Tick(now)
	if !first.Coordinates(now) || !second.Coordinates(now) {
		t.Fatal("want two coordinators while they hear nothing of each other")
	}
	if follows, _ := first.ReceiveBeacon(now, Beacon{From: second.Self(), Sequence: 1}); follows {
		t.Error("the first in the order follows the second")
	}
	if follows, _ := second.ReceiveBeacon(now, Beacon{From: first.Self(), Sequence: 1}); !follows || second.Coordinates(now) {
		t.Error("the second still coordinates after a beacon of the first")
	}
}

// TestRegionsKnowActiveHosts guards against hosts that do not know whom to tell in
// another region, and against ones that go on telling a region that is cut off.
func TestRegionsKnowActiveHosts(t *testing.T) {
	hosts := region(4)
	for i := range 4 {
		h := host(fmt.Sprint("c", i), "zc", 320)
		h.Location.Region = "s"
		hosts = append(hosts, h)
	}
	n := newNetwork(hosts)
	n.run(4 * time.Second)
	for id, r := range n.hosts {
		want := 1
		if r.self.Location.Region == "s" {
			want = 2
		}
		if got := r.RemotePeers(); len(got) != want {
			t.Errorf("%s knows %v as active in the other region, want %d hosts", id, got, want)
		}
		for _, h := range r.RemotePeers() {
			if h.Location.Region == r.self.Location.Region {
				t.Errorf("%s lists %s of its own region", id, h.ID)
			}
		}
	}
	for i := range 4 {
		n.down[ident.HostID(fmt.Sprint("c", i))] = true
	}
	n.run(7 * time.Second)
	if got := n.hosts["a0"].RemotePeers(); len(got) > 0 {
		t.Errorf("%v are known as active although their region has been silent for 7 s", got)
	}
}
