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

var here = ident.Location{Region: "cairo", Zone: "cairo-maadi"}

func memberInfo(number int, incarnation ident.Incarnation) member.Info {
	return member.Info{
		ID:            ident.HostID(fmt.Sprintf("host-%04d", number)),
		Version:       member.Version{Incarnation: incarnation},
		Location:      ident.Location{Region: "cairo", Zone: ident.Zone(fmt.Sprint("zone-", number%3))},
		PeerAddress:   fmt.Sprintf("192.0.2.1:%d", number),
		CallerAddress: fmt.Sprintf("192.0.2.2:%d", number),
	}
}

func testFleet() *fleet {
	self := member.Info{ID: "host-self", Version: member.Version{Incarnation: 1}, Location: here, CallerAddress: "192.0.2.2:80"}
	return &fleet{members: member.New(time.Unix(0, 0), member.DefaultConfig(), self, 1)}
}

// step runs an event without the datagrams that it asks for.
func (f *fleet) step(event func(l *member.List) []member.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count(event(f.members))
}

func oneService(size int) *ingress.ActiveConfig {
	return &ingress.ActiveConfig{Backends: map[ident.ServiceName]*ingress.Backend{
		"errata-index": {Service: &document.Service{Name: "errata-index", ServingHosts: size}},
	}}
}

// TestDirectoryFollowsFleet guards against an answer that names a host which no
// longer serves, misses one that does, has an old address, or is empty.
func TestDirectoryFollowsFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := testFleet()
		d := newDirectory(f, 1)
		now := time.Unix(0, 0)
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			info := memberInfo(rapid.IntRange(0, 5).Draw(t, "host"), ident.Incarnation(i+1))
			info.CallerAddress = fmt.Sprintf("192.0.2.2:%d", i+100)
			kind := rapid.IntRange(0, 5).Draw(t, "kind")
			now = now.Add(time.Second)
			f.step(func(l *member.List) []member.Action {
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
			checkAnswer(t, d, f)
		}
	})
}

func checkAnswer(t *rapid.T, d *directory, f *fleet) {
	got, want := []string{}, []string{}
	for _, h := range d.Answer("errata-index", 8, here) {
		got = append(got, h.CallerAddress)
	}
	for _, h := range f.Serving() {
		want = append(want, h.CallerAddress)
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Fatalf("the answer is %v, want %v", got, want)
	}
	d.configure(oneService(8))
}

// TestDirectoryPartners guards against serving hosts that miss each other, and
// against services that are gone and still exchanged.
func TestDirectoryPartners(t *testing.T) {
	f := testFleet()
	for i := range 4 {
		f.step(func(l *member.List) []member.Action {
			return l.Receive(time.Unix(0, 0), member.Message{Kind: member.Ack, From: memberInfo(i, 1)})
		})
	}
	d := newDirectory(f, 1)
	d.configure(oneService(8))
	for _, h := range f.Serving() {
		partners := d.partners(h.ID)
		for _, p := range partners {
			if p.ID == h.ID || p.remote || len(p.services) != 1 {
				t.Errorf("%s has partner %+v", h.ID, p)
			}
		}
		if len(partners) != 4 {
			t.Errorf("%s has %d partners among 5 hosts, want 4", h.ID, len(partners))
		}
	}
	d.configure(&ingress.ActiveConfig{})
	if names := d.serves("host-self"); len(names) != 0 {
		t.Errorf("removed services %v are still served", names)
	}
}

// fixedHosts is a list of hosts that does not change.
type fixedHosts []port.Host

func (f fixedHosts) Serving() []port.Host { return f }
func (f fixedHosts) Changes() uint64      { return 1 }

// BenchmarkDirectoryAnswer measures an address answer among 3,200 hosts and
// 1,300 services.
func BenchmarkDirectoryAnswer(b *testing.B) {
	var hosts fixedHosts
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
	d.Answer("service-7", 4, here)
	b.ReportAllocs()
	for b.Loop() {
		d.Answer("service-7", 4, here)
	}
}
