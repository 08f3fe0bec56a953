package peer

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
)

// maxNextPermit bounds the time in a message after which a permit is expected.
const maxNextPermit = time.Hour

func toQuota(e ratelimit.Entry) *peerpb.RateLimit {
	return &peerpb.RateLimit{Team: string(e.Team), Limited: e.Limit.Limited, Rate: e.Limit.Rate, Burst: e.Burst}
}

// fromQuota decodes a quota. One that is no number is no quota.
func fromQuota(pb *peerpb.RateLimit) ratelimit.Entry {
	e := ratelimit.Entry{Team: ident.TeamName(pb.GetTeam())}
	rate, burst := pb.GetRate(), pb.GetBurst()
	if !pb.GetLimited() || !(rate > 0) || !(burst >= 0) || math.IsInf(rate, 0) || math.IsInf(burst, 0) {
		return e
	}
	e.Limit, e.Burst = ratelimit.Limit{Limited: true, Rate: rate}, burst
	return e
}

func toTeamPermitRequest(r ratelimit.Request) *peerpb.PermitRequest {
	pb := &peerpb.PermitRequest{Sequence: r.Sequence}
	for _, w := range r.Wants {
		limit := toQuota(w.Entry)
		limit.HeardAgeMs = roundUpMs(w.UsedUpAge)
		pb.Wants = append(pb.Wants, &peerpb.PermitWant{
			Limit: limit, Permits: uint32(min(w.Permits, maxPermits)), Spare: uint32(min(w.Spare, maxPermits)), Returned: uint32(min(w.Returned, maxPermits)),
		})
	}
	return pb
}

func fromTeamPermitRequest(pb *peerpb.PermitRequest) ratelimit.Request {
	r := ratelimit.Request{Sequence: pb.GetSequence()}
	for _, w := range pb.GetWants() {
		r.Wants = append(r.Wants, ratelimit.Want{
			Entry: fromQuota(w.GetLimit()), Permits: permits(w.GetPermits()), Spare: permits(w.GetSpare()), Returned: permits(w.GetReturned()),
			UsedUpAge: time.Duration(min(max(0, w.GetLimit().GetHeardAgeMs()), maxNextPermit.Milliseconds())) * time.Millisecond,
		})
	}
	return r
}

// toTeamPermitResponse encodes a response. The holder has the quota from its own
// configuration.
func toTeamPermitResponse(r ratelimit.Response) *peerpb.PermitResponse {
	pb := &peerpb.PermitResponse{Sequence: r.Sequence, Number: r.Number}
	for _, g := range r.Granted {
		pb.Granted = append(pb.Granted, &peerpb.PermitGrant{
			Limit: &peerpb.RateLimit{Team: string(g.Team)}, Permits: uint32(g.Permits), Hosts: uint32(g.Hosts),
			Exhausted: g.Exhausted, NextMs: uint32(roundUpMs(g.Next)), Owner: string(g.Owner),
		})
	}
	return pb
}

func fromTeamPermitResponse(pb *peerpb.PermitResponse) ratelimit.Response {
	r := ratelimit.Response{Sequence: pb.GetSequence(), Number: pb.GetNumber()}
	for _, g := range pb.GetGranted() {
		r.Granted = append(r.Granted, ratelimit.Granted{
			Entry: fromQuota(g.GetLimit()), Permits: permits(g.GetPermits()), Hosts: int(min(g.GetHosts(), maxRegionSize)),
			Exhausted: g.GetExhausted(), Next: min(time.Duration(g.GetNextMs())*time.Millisecond, maxNextPermit), Owner: ident.HostID(g.GetOwner()),
		})
	}
	return r
}

// roundUpMs returns a duration in whole milliseconds, so that a short one does not become 0.
func roundUpMs(d time.Duration) int64 {
	return int64(math.Ceil(float64(min(max(0, d), maxNextPermit)) / float64(time.Millisecond)))
}

// fraction returns a number from 0 to 1, 0 for one that is no number.
func fraction(f float64) float64 {
	if math.IsNaN(f) {
		return 0
	}
	return min(max(f, 0), 1)
}
