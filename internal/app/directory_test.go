package app

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

var testLocation = ident.Location{Region: "cairo", Zone: "cairo-maadi"}

func memberInfo(number int, incarnation ident.Incarnation) member.Info {
	return member.Info{
		ID:            ident.HostID(fmt.Sprintf("host-%04d", number)),
		Version:       member.Version{Incarnation: incarnation},
		Location:      ident.Location{Region: "cairo", Zone: ident.Zone(fmt.Sprint("zone-", number%3))},
		PeerAddress:   fmt.Sprintf("192.0.2.1:%d", number),
		CallerAddress: fmt.Sprintf("192.0.2.2:%d", number),
	}
}

func newTestMembership() *membership {
	self := member.Info{ID: "host-self", Version: member.Version{Incarnation: 1}, Location: testLocation, CallerAddress: "192.0.2.2:80"}
	return &membership{members: member.New(time.Unix(0, 0), member.DefaultConfig(), self, 1)}
}

// applyEvent applies a membership event and drops the datagrams that result from it.
func (m *membership) applyEvent(event func(l *member.List) []member.Action) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countChanges(event(m.members))
}

func oneService(size int) *ingress.ActiveConfig {
	return &ingress.ActiveConfig{Backends: map[ident.ServiceName]*ingress.Backend{
		"errata-index": {Service: &document.Service{Name: "errata-index", ServingHosts: size}},
	}}
}

// TestDirectoryFollowsMembership guards against an address response that contains a host which no longer
// serves, omits one that does, contains an outdated address, or is empty.
func TestDirectoryFollowsMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTestMembership()
		d := newDirectory(m, 1)
		now := time.Unix(0, 0)
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			info := memberInfo(rapid.IntRange(0, 5).Draw(t, "host"), ident.Incarnation(i+1))
			info.CallerAddress = fmt.Sprintf("192.0.2.2:%d", i+100)
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			now = now.Add(time.Second)
			m.applyEvent(func(l *member.List) []member.Action {
				switch kind {
				case 0:
					return l.Receive(now, member.Message{Kind: member.Ack, From: info})
				case 1:
					info.Leaving = true
					return l.Receive(now, member.Message{Kind: member.Ack, From: info})
				case 2:
					return l.Receive(now, member.Message{Kind: member.Ack, From: info, Updates: []member.Update{{Info: memberInfo(0, info.Version.Incarnation), State: member.Suspect}}})
				case 3:
					info.Version, info.Leaving = member.Version{}, rapid.Bool().Draw(t, "leaving")
					return l.ApplyHostList(now, []member.Info{info})
				}
				return l.Tick(now)
			})
			checkAnswerThenConfigure(t, d, m)
		}
	})
}

// checkAnswerThenConfigure checks an address response, then configures the service. The response is thus
// checked without a configuration in the first step, and later with one made before the last event.
func checkAnswerThenConfigure(t *rapid.T, d *directory, m *membership) {
	got, want := []string{}, []string{}
	for _, h := range d.HostsFor("errata-index", 8, testLocation) {
		got = append(got, h.CallerAddress)
	}
	for _, h := range m.Serving() {
		want = append(want, h.CallerAddress)
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Fatalf("address response is %v, want %v", got, want)
	}
	d.configure(oneService(8))
}

// TestDirectoryServingPeers guards against serving hosts of a service that do not list each other,
// and against removed services that are still listed.
func TestDirectoryServingPeers(t *testing.T) {
	m := newTestMembership()
	for i := range 4 {
		m.applyEvent(func(l *member.List) []member.Action {
			return l.Receive(time.Unix(0, 0), member.Message{Kind: member.Ack, From: memberInfo(i, 1)})
		})
	}
	d := newDirectory(m, 1)
	d.configure(oneService(8))
	for _, h := range m.Serving() {
		servingPeers := d.servingPeers(h.ID)
		for _, p := range servingPeers {
			if p.ID == h.ID || p.remote || len(p.services) != 1 {
				t.Errorf("%s has serving peer %+v", h.ID, p)
			}
		}
		if len(servingPeers) != 4 {
			t.Errorf("%s has %d serving peers among 5 hosts, want 4", h.ID, len(servingPeers))
		}
	}
	d.configure(&ingress.ActiveConfig{})
	if names := d.servedServices("host-self"); len(names) != 0 {
		t.Errorf("removed services %v are still served", names)
	}
}

// staticHosts is a hostSource whose hosts do not change.
type staticHosts []port.Host

func (h staticHosts) Serving() []port.Host { return h }
func (h staticHosts) Changes() uint64      { return 1 }

// BenchmarkDirectoryAnswer measures an address lookup with 3,200 hosts and 1,300 services.
func BenchmarkDirectoryAnswer(b *testing.B) {
	var hosts staticHosts
	for i := range 3200 {
		info := memberInfo(i, 1)
		hosts = append(hosts, port.Host{ID: info.ID, Location: info.Location, CallerAddress: info.CallerAddress})
	}
	d := newDirectory(hosts, 1)
	active := &ingress.ActiveConfig{Backends: map[ident.ServiceName]*ingress.Backend{}}
	for i := range 1300 {
		active.Backends[ident.ServiceName(fmt.Sprint("service-", i))] = &ingress.Backend{Service: &document.Service{ServingHosts: 4}}
	}
	d.configure(active)
	d.HostsFor("service-7", 4, testLocation)
	b.ReportAllocs()
	for b.Loop() {
		d.HostsFor("service-7", 4, testLocation)
	}
}
