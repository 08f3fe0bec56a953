package serving

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

var zones = []ident.Location{
	{Region: "r1", Zone: "r1-a"}, {Region: "r1", Zone: "r1-b"},
	{Region: "r2", Zone: "r2-a"}, {Region: "r2", Zone: "r2-b"}, {Region: "r2", Zone: "r2-c"},
}

func fleet(count int) []Host {
	hosts := make([]Host, count)
	for i := range hosts {
		hosts[i] = Host{ID: ident.HostID(fmt.Sprintf("host-%04d", i)), Location: zones[i%len(zones)]}
	}
	return hosts
}

func without(hosts []Host, id ident.HostID) []Host {
	var rest []Host
	for _, h := range hosts {
		if h.ID != id {
			rest = append(rest, h)
		}
	}
	return rest
}

// TestSetMovesLittle guards against serving sets that change although none of
// their hosts went, which would lose evidence and warm connections.
func TestSetMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(1, 60).Draw(t, "hosts"))
		gone := rapid.SampledFrom(hosts).Draw(t, "gone")
		size := rapid.IntRange(1, 8).Draw(t, "size")
		service := ident.ServiceName(rapid.StringMatching("[a-z]{1,8}").Draw(t, "service"))
		before := ServingSet(service, "r1", size, hosts)
		after := ServingSet(service, "r1", size, without(hosts, gone.ID))
		kept, had := 0, 0
		for _, h := range before {
			if h.ID == gone.ID {
				had++
			} else if containsHost(after, h.ID) {
				kept++
			}
		}
		// A host that goes may empty its zone, which moves one more place.
		if lost := len(before) - had - kept; lost > had {
			t.Fatalf("%d of %d other hosts left the set when %s went", lost, len(before)-had, gone.ID)
		}
	})
}

func containsHost(hosts []Host, id ident.HostID) bool {
	for _, h := range hosts {
		if h.ID == id {
			return true
		}
	}
	return false
}

// TestAnswer guards against an empty answer while a host is alive, repeated
// hosts, hosts of another region before those of the caller's, and serving
// hosts of another zone before those of the caller's.
func TestAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(1, 40).Draw(t, "hosts"))
		at := rapid.SampledFrom(zones).Draw(t, "at")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		size := rapid.IntRange(1, 6).Draw(t, "size")
		answer := Answer("service", size, at, hosts, rng)
		if len(answer) == 0 {
			t.Fatal("the answer is empty")
		}
		seen := map[ident.HostID]bool{}
		abroad, far := false, false
		for i, h := range answer {
			if seen[h.ID] {
				t.Fatalf("%s is named twice", h.ID)
			}
			seen[h.ID] = true
			if h.Location.Region != at.Region {
				abroad = true
			} else if abroad {
				t.Fatalf("%s of the caller's region comes after another region", h.ID)
			}
			if h.Location.Zone != at.Zone {
				far = true
			} else if far && i < min(size, len(ServingSet("service", at.Region, size, hosts))) {
				t.Fatalf("%s of the caller's zone comes after another zone", h.ID)
			}
		}
	})
}

// BenchmarkSet measures one serving set, and reports at the target size how
// evenly services spread over hosts and which share of them moves when one
// host goes.
func BenchmarkSet(b *testing.B) {
	for _, count := range []int{36, 320, 3200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			hosts := fleet(count)
			for i := 0; b.Loop(); i++ {
				ServingSet(ident.ServiceName(fmt.Sprint(i%1300)), "r1", 4, hosts)
			}
			b.StopTimer()
			report(b, hosts)
		})
	}
}

func report(b *testing.B, hosts []Host) {
	const services = 1300
	perHost := map[ident.HostID]int{}
	moved := 0
	rest := without(hosts, hosts[0].ID)
	for i := range services {
		for _, region := range []ident.Region{"r1", "r2"} {
			name := ident.ServiceName(fmt.Sprintf("service-%d", i))
			set := ServingSet(name, region, 4, hosts)
			for _, h := range set {
				perHost[h.ID]++
			}
			if !equal(set, ServingSet(name, region, 4, rest)) {
				moved++
			}
		}
	}
	most := 0
	for _, n := range perHost {
		most = max(most, n)
	}
	b.ReportMetric(float64(services*8)/float64(len(hosts)), "mean_services/host")
	b.ReportMetric(float64(most), "max_services/host")
	b.ReportMetric(100*float64(moved)/(2*services), "%moved/host_gone")
}

func equal(a, b []Host) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
