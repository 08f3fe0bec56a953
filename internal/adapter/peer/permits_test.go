package peer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// limitEntries returns limits of targets with long names.
func limitEntries(now time.Time, n int) []ratelimit.Entry {
	var list []ratelimit.Entry
	for i := range n {
		list = append(list, ratelimit.Entry{
			Target:         ident.TargetID(fmt.Sprintf("%s-%d", strings.Repeat("t", 36), i)),
			StartUnixMilli: 1_700_000_000_000,
			Limit:          ratelimit.Limit{Limited: true, Rate: 3.4, SentAt: now.Add(-2 * time.Second), HeardAt: now.Add(-time.Second)},
		})
	}
	return list
}

// TestPermitMessages guards against permit messages that do not fit into a datagram, or
// that change a limit, its age or the number of permits.
func TestPermitMessages(t *testing.T) {
	now := time.Now()
	request := ratelimit.Request{Sequence: 1 << 60}
	response := ratelimit.Response{Sequence: 1 << 60, Number: 1 << 40}
	for _, e := range limitEntries(now, port.MaxPermitEntries) {
		request.Wants = append(request.Wants, ratelimit.Want{Entry: e, Permits: 1000})
		response.Granted = append(response.Granted, ratelimit.Granted{Entry: e, Permits: 1000, Hosts: 293})
	}
	sender := &peerpb.Sender{Host: "edge-cairo-maadi-1", Incarnation: 1 << 60, WallUs: 1 << 60, Logical: 9}
	for _, m := range []*peerpb.FleetMessage{
		{Sender: sender, PermitRequest: toPermitRequest(request, now)},
		{Sender: sender, PermitResponse: toPermitResponse(response, now)},
	} {
		if size := proto.Size(m); size > MaxDatagramBytes {
			t.Errorf("a message of %d bytes", size)
		}
	}
	received := now.Add(time.Minute)
	gotRequest := fromPermitRequest(toPermitRequest(request, now), received)
	gotResponse := fromPermitResponse(toPermitResponse(response, now), received)
	if gotRequest.Sequence != request.Sequence || gotResponse.Number != response.Number || len(gotRequest.Wants) != len(request.Wants) || len(gotResponse.Granted) != len(response.Granted) {
		t.Fatalf("%+v %+v", gotRequest, gotResponse)
	}
	w, g := gotRequest.Wants[3], gotResponse.Granted[3]
	if w.Permits != 1000 || g.Permits != 1000 || g.Hosts != 293 || w.Entry != g.Entry {
		t.Errorf("%+v %+v", w, g)
	}
	if want := request.Wants[3].Entry; w.Target != want.Target || w.StartUnixMilli != want.StartUnixMilli || w.Limit.Rate != 3.4 || received.Sub(w.Limit.SentAt) != 2*time.Second || received.Sub(w.Limit.HeardAt) != time.Second {
		t.Errorf("%+v, want %+v with the same ages", w.Entry, want)
	}
}

// TestBeaconCarriesLimits guards against limits that are lost with the parts of a beacon
// of a region with many limited targets.
func TestBeaconCarriesLimits(t *testing.T) {
	now := time.Now()
	b := roster.Beacon{Sequence: 1, RegionSize: 293, RemoteCoordinators: []ident.HostID{"r"}, Limits: limitEntries(now, 100)}
	var assembler beaconAssembler
	var complete *peerpb.Beacon
	for _, part := range toBeaconParts(b, "10.1.0.34:8544") {
		complete = assembler.add(part)
	}
	if complete == nil {
		t.Fatal("incomplete after all parts")
	}
	got := fromBeacon(complete)
	if got.RegionSize != 293 || len(got.RemoteCoordinators) != 1 || len(got.Limits) != 100 || got.Limits[99].Target != b.Limits[99].Target {
		t.Errorf("%d hosts, coordinators %v, %d limits", got.RegionSize, got.RemoteCoordinators, len(got.Limits))
	}
}

// TestMalformedPermitMessages guards against values of a malformed message that take
// effect: a rate that is no number, an age before the epoch, or endless permits.
func TestMalformedPermitMessages(t *testing.T) {
	now := time.Now()
	for _, rate := range []float64{math.NaN(), -1, math.Inf(-1)} {
		if e := fromRateLimit(&peerpb.RateLimit{Target: "t", Limited: true, Rate: rate}, now); e.Limit.Known() {
			t.Errorf("rate %v: %+v", rate, e)
		}
	}
	if e := fromRateLimit(&peerpb.RateLimit{Target: "t", Limited: true, Rate: math.Inf(1)}, now); e.Limit.Limited {
		t.Errorf("an infinite rate limits: %+v", e)
	}
	e := fromRateLimit(&peerpb.RateLimit{Target: "t", Limited: true, Rate: 1, SentAgeMs: math.MaxInt64, HeardAgeMs: math.MinInt64}, now)
	if now.Sub(e.Limit.SentAt) != maxAge || e.Limit.HeardAt != now {
		t.Errorf("%+v", e)
	}
	r := fromPermitResponse(&peerpb.PermitResponse{Granted: []*peerpb.PermitGrant{nil, {Permits: math.MaxUint32}}}, now)
	if r.Granted[1].Permits != maxPermits {
		t.Errorf("%d permits", r.Granted[1].Permits)
	}
	fromPermitRequest(&peerpb.PermitRequest{Wants: []*peerpb.PermitWant{nil, {}}}, now)
}
