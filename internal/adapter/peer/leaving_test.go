package peer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// TestLeavingTargetsInObservations guards against leaving targets that are lost or changed
// on the way to another host, and against a message that does not fit into a datagram.
func TestLeavingTargetsInObservations(t *testing.T) {
	o := port.Observations{
		Services: []port.ServiceOutcomes{{Service: "s", Ended: 1}},
		Targets:  []port.TargetObservation{{Service: "s", Target: "t", Started: 1}},
	}
	for i := range 2*observationsPerMessage + 3 {
		o.Leaving = append(o.Leaving, port.LeavingTarget{
			Service:        ident.ServiceName(strings.Repeat("s", 30)),
			Target:         ident.TargetID(fmt.Sprintf("%s-%d", strings.Repeat("t", 36), i)),
			StartUnixMilli: 1_700_000_000_000 + int64(i),
			Age:            time.Duration(i) * time.Second,
		})
	}
	sender := &peerpb.Sender{Host: "edge-cairo-maadi-1", Incarnation: 1 << 60, WallUs: 1 << 60, Logical: 9}
	var received []port.LeavingTarget
	for _, part := range splitObservations(o) {
		m := &peerpb.FleetMessage{Sender: sender, Observations: toObservations(part)}
		if size := proto.Size(m); size > MaxDatagramBytes {
			t.Errorf("a message of %d bytes", size)
		}
		received = append(received, fromObservations(m.GetObservations()).Leaving...)
	}
	if !slices.Equal(received, o.Leaving) {
		t.Errorf("received %+v, want %+v", received, o.Leaving)
	}
}

// TestLeavingTargetWithoutStart guards against a report that would hold for every later
// process of a target.
func TestLeavingTargetWithoutStart(t *testing.T) {
	if got := fromLeaving([]*peerpb.LeavingTarget{{Service: "s", Target: "t"}}); len(got) > 0 {
		t.Errorf("%+v is accepted", got)
	}
}
