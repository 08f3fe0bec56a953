package serving

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestIndexEqualsSet guards against an index whose sets, answers or services of
// a host differ from the sets computed from scratch after joins, departures,
// moves and changes of services.
func TestIndexEqualsSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex()
		hosts, services := map[ident.HostID]Host{}, map[ident.ServiceName]int{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			host := Host{
				ID:       ident.HostID(fmt.Sprint("host-", rapid.IntRange(0, 24).Draw(t, "host"))),
				Location: rapid.SampledFrom(zones).Draw(t, "at"),
			}
			service := ident.ServiceName(fmt.Sprint("service-", rapid.IntRange(0, 3).Draw(t, "service")))
			size := rapid.IntRange(1, 6).Draw(t, "size")
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind < 5:
				x.AddHost(host)
				hosts[host.ID] = host
			case kind < 7:
				x.RemoveHost(host.ID)
				delete(hosts, host.ID)
			case kind < 9:
				x.SetService(service, size)
				services[service] = size
			default:
				x.RemoveService(service)
				delete(services, service)
			}
			checkIndex(t, x, hosts, services)
		}
	})
}

func checkIndex(t *rapid.T, x *Index, hosts map[ident.HostID]Host, services map[ident.ServiceName]int) {
	var list []Host
	for _, h := range hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	served := map[ident.HostID][]ident.ServiceName{}
	for service, size := range services {
		for _, region := range []ident.Region{"r1", "r2"} {
			want := ServingSet(service, region, size, list)
			if got := x.ServingSet(service, region); !equal(got, want) {
				t.Fatalf("%s in %s: the index has %v, want %v", service, region, got, want)
			}
			for _, h := range want {
				served[h.ID] = append(served[h.ID], service)
			}
		}
		for _, at := range zones {
			want := Answer(service, size, at, list, rand.New(rand.NewPCG(1, 2)))
			if got := x.Answer(service, at, rand.New(rand.NewPCG(1, 2))); !equal(got, want) {
				t.Fatalf("%s at %v: the index answers %v, want %v", service, at, got, want)
			}
		}
	}
	for id := range hosts {
		got, want := x.HostServices(id), served[id]
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("%s serves %v by the index, want %v", id, got, want)
		}
	}
}

// TestIndexRemembersNothing guards against an index that grows with hosts and
// services that are gone.
func TestIndexRemembersNothing(t *testing.T) {
	x := NewIndex()
	for round := range 3 {
		for i, h := range fleet(20) {
			h.ID = ident.HostID(fmt.Sprint(round, "-", i))
			x.AddHost(h)
			x.SetService(ident.ServiceName(h.ID), 2)
		}
		for id := range x.hosts {
			x.RemoveHost(id)
			x.RemoveService(ident.ServiceName(id))
		}
	}
	if !reflect.DeepEqual(x, NewIndex()) {
		t.Fatalf("the empty index still holds %+v", x)
	}
}

func newIndexed(hosts, services int) (*Index, []Host) {
	x := NewIndex()
	for i := range services {
		x.SetService(ident.ServiceName(fmt.Sprintf("service-%d", i)), 4)
	}
	list := fleet(hosts)
	for _, h := range list {
		x.AddHost(h)
	}
	return x, list
}

func eachSize(b *testing.B, run func(b *testing.B, hosts, services int)) {
	for _, hosts := range []int{36, 320, 3200} {
		for _, services := range []int{3, 1300} {
			b.Run(fmt.Sprintf("hosts=%d/services=%d", hosts, services), func(b *testing.B) { run(b, hosts, services) })
		}
	}
}

// BenchmarkIndexUpdate measures one departure and one return of a host.
func BenchmarkIndexUpdate(b *testing.B) {
	eachSize(b, func(b *testing.B, hosts, services int) {
		x, list := newIndexed(hosts, services)
		for i := 0; b.Loop(); i++ {
			h := list[i%len(list)]
			x.RemoveHost(h.ID)
			x.AddHost(h)
		}
	})
}

// BenchmarkIndexAnswer measures one address answer.
func BenchmarkIndexAnswer(b *testing.B) {
	eachSize(b, func(b *testing.B, hosts, services int) {
		x, _ := newIndexed(hosts, services)
		rng := rand.New(rand.NewPCG(1, 2))
		for b.Loop() {
			x.Answer("service-1", zones[0], rng)
		}
	})
}

// BenchmarkIndexBuild measures an index from scratch and the bytes it holds.
func BenchmarkIndexBuild(b *testing.B) {
	eachSize(b, func(b *testing.B, hosts, services int) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x, _ := newIndexed(hosts, services)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
		runtime.KeepAlive(x)
		for b.Loop() {
			newIndexed(hosts, services)
		}
		b.ReportMetric(held, "bytes")
	})
}
