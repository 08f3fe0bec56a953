package serving

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

var locations = []ident.Location{
	{Region: "r1", Zone: "r1-a"}, {Region: "r1", Zone: "r1-b"},
	{Region: "r2", Zone: "r2-a"}, {Region: "r2", Zone: "r2-b"}, {Region: "r2", Zone: "r2-c"},
}

func testHosts(count int) []Host {
	hosts := make([]Host, count)
	for i := range hosts {
		hosts[i] = Host{ID: ident.HostID(fmt.Sprintf("host-%04d", i)), Location: locations[i%len(locations)]}
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

// TestSetStability guards against serving sets that change although none of their hosts
// left, or that lose more than one other host when one left. Such changes discard health
// evidence and warm connections.
func TestSetStability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := testHosts(rapid.IntRange(1, 60).Draw(t, "hosts"))
		removed := rapid.SampledFrom(hosts).Draw(t, "gone")
		size := rapid.IntRange(1, 8).Draw(t, "size")
		service := ident.ServiceName(rapid.StringMatching("[a-z]{1,8}").Draw(t, "service"))
		before := ServingSet(service, "r1", size, hosts)
		after := ServingSet(service, "r1", size, without(hosts, removed.ID))
		kept, had := 0, 0
		for _, h := range before {
			if h.ID == removed.ID {
				had++
			} else if containsHost(after, h.ID) {
				kept++
			}
		}
		// If the host was the last one of its zone, one more host may change.
		if lost := len(before) - had - kept; lost > had {
			t.Fatalf("%d of %d other hosts left the set after the departure of %s", lost, len(before)-had, removed.ID)
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

// TestAnswer guards against an empty answer while a host is alive, duplicate hosts, hosts
// of another region before those of the caller's region, and serving hosts of another zone
// before those of the caller's zone.
func TestAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := testHosts(rapid.IntRange(1, 40).Draw(t, "hosts"))
		at := rapid.SampledFrom(locations).Draw(t, "at")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		size := rapid.IntRange(1, 6).Draw(t, "size")
		answer := Answer("service", size, at, hosts, rng)
		if len(answer) == 0 {
			t.Fatal("the answer is empty")
		}
		seen := map[ident.HostID]bool{}
		otherRegion, otherZone := false, false
		for i, h := range answer {
			if seen[h.ID] {
				t.Fatalf("%s is listed twice", h.ID)
			}
			seen[h.ID] = true
			if h.Location.Region != at.Region {
				otherRegion = true
			} else if otherRegion {
				t.Fatalf("%s of the caller's region comes after another region", h.ID)
			}
			if h.Location.Zone != at.Zone {
				otherZone = true
			} else if otherZone && i < min(size, len(ServingSet("service", at.Region, size, hosts))) {
				t.Fatalf("%s of the caller's zone comes after another zone", h.ID)
			}
		}
	})
}

// BenchmarkSet measures the computation of one serving set. It also reports, for 1,300
// services, their distribution over hosts and the share of sets that change when one host
// leaves.
func BenchmarkSet(b *testing.B) {
	for _, count := range []int{36, 320, 3200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			hosts := testHosts(count)
			for i := 0; b.Loop(); i++ {
				ServingSet(ident.ServiceName(fmt.Sprint(i%1300)), "r1", 4, hosts)
			}
			b.StopTimer()
			reportSpread(b, hosts)
		})
	}
}

func reportSpread(b *testing.B, hosts []Host) {
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
