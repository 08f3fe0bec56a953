package peer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
)

// largeBeacon is one of a region with many active hosts.
func largeBeacon(sequence uint64) roster.Beacon {
	b := roster.Beacon{
		From:     registry.Host{ID: "edge-cairo-maadi-1", Incarnation: 1_700_000_000_000_000, Location: ident.Location{Region: "cairo", Zone: "cairo-maadi"}, CallerAddress: "10.1.0.34:8548", PeerAddress: "10.1.0.34:8544", Millicores: 800},
		Sequence: sequence,
		State:    roster.State{ConfigVersion: 1 << 40, TargetsChanged: 1 << 40, HostsHash: 1 << 63, Age: time.Second},
	}
	for i := range 300 {
		b.Active = append(b.Active, ident.HostID(fmt.Sprintf("edge-alex-sporting-%d", i)))
		b.Remote = append(b.Remote, ident.HostID(fmt.Sprintf("edge-cairo-zamalek-%d", i)))
		b.Forward = append(b.Forward, fmt.Sprintf("10.12.%d.200:65535", i))
	}
	return b
}

// TestLargeBeacon guards against a coordinator that no host hears any more once so many
// hosts are active that their names do not fit into a datagram, and against parts of
// different beacons that are joined.
func TestLargeBeacon(t *testing.T) {
	want, later := largeBeacon(7), largeBeacon(8)
	later.Active = later.Active[:150]
	var parts beaconParts
	first := toBeacons(want, "10.1.0.34:8544")
	for _, part := range first {
		data, err := proto.Marshal(&peerpb.FleetMessage{Sender: &peerpb.Sender{Host: "edge-cairo-maadi-1", Incarnation: 1 << 60, WallUs: 1 << 60, Logical: 9}, Beacon: part})
		if err != nil || len(data) > MaxDatagramBytes {
			t.Fatalf("a part of %d bytes, %v", len(data), err)
		}
	}
	// Parts arrive in any order, doubled, and late.
	rand.Shuffle(len(first), func(i, j int) { first[i], first[j] = first[j], first[i] })
	for i, part := range first[:len(first)-1] {
		for range 2 {
			if parts.add(part) != nil {
				t.Fatalf("whole after %d of %d parts", i+1, len(first))
			}
		}
	}
	for _, part := range toBeacons(later, "10.1.0.35:8544") {
		if got := parts.add(part); got != nil && !reflect.DeepEqual(fromBeacon(got), later) {
			t.Errorf("joined %+v, want %+v", fromBeacon(got), later)
		}
	}
	got := parts.add(first[len(first)-1])
	if got == nil {
		t.Fatal("not whole after all parts")
	}
	if sorted := fromBeacon(got); !reflect.DeepEqual(sorted, want) {
		t.Errorf("joined %+v, want %+v", sorted, want)
	}
}

// FuzzBeaconParts guards against a message of another host that ends the process or
// makes it keep memory without bound.
func FuzzBeaconParts(f *testing.F) {
	f.Add(uint64(1), uint32(0), uint32(3), uint32(1), uint32(3))
	f.Add(uint64(1), uint32(5), uint32(2), uint32(1<<31), uint32(1<<31))
	f.Fuzz(func(t *testing.T, sequence uint64, part, parts, otherPart, otherParts uint32) {
		var p beaconParts
		for i := range 3000 {
			via := fmt.Sprint("via", i)
			p.add(&peerpb.Beacon{Sequence: sequence, Part: part, Parts: parts, Via: via})
			p.add(&peerpb.Beacon{Sequence: sequence, Part: otherPart, Parts: otherParts, Via: via})
		}
		if len(p) > maxPartialBeacons+1 {
			t.Errorf("%d incomplete beacons are kept", len(p))
		}
	})
}

// FuzzConfiguration guards against a message of another host that ends the process, and
// against a configuration without a document that is put in force.
func FuzzConfiguration(f *testing.F) {
	var cache configurationCache
	data, err := cache.encode(&registry.Configuration{Version: 3, Document: &document.Document{Name: "d"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("{}"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := decodeConfiguration(data); err == nil && c.Document == nil {
			t.Error("a configuration without a document")
		}
	})
}

// TestConfigurationOfAnotherHost guards against a configuration that changes on its way
// between two hosts, and against the encoding of an earlier one.
func TestConfigurationOfAnotherHost(t *testing.T) {
	var cache configurationCache
	for version := range uint64(3) {
		want := &registry.Configuration{Version: version, Document: &document.Document{Name: "d", Routes: []document.Route{{Name: "r", Host: "h", PathPrefix: "/"}}}}
		for range 2 {
			data, err := cache.encode(want)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeConfiguration(data)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, %v, want %+v", got, err, want)
			}
		}
	}
}
