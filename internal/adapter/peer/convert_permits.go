package peer

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
)

// maxPermits bounds the permits of a message, so that a malformed one gives no host an
// unlimited number.
const maxPermits = 10000

func toRateLimit(e ratelimit.Entry, now time.Time) *peerpb.RateLimit {
	return &peerpb.RateLimit{
		Target:     string(e.Target),
		BornMs:     e.StartUnixMilli,
		Limited:    e.Limit.Limited,
		Rate:       e.Limit.Rate,
		SentAgeMs:  now.Sub(e.Limit.SentAt).Milliseconds(),
		HeardAgeMs: now.Sub(e.Limit.HeardAt).Milliseconds(),
	}
}

// fromRateLimit decodes a limit. A rate that is no number limits nothing.
func fromRateLimit(pb *peerpb.RateLimit, now time.Time) ratelimit.Entry {
	e := ratelimit.Entry{Target: ident.TargetID(pb.GetTarget()), StartUnixMilli: pb.GetBornMs()}
	rate := pb.GetRate()
	if math.IsNaN(rate) || rate < 0 {
		return e
	}
	e.Limit = ratelimit.Limit{
		Limited: pb.GetLimited() && rate < ratelimit.MaxRate,
		Rate:    rate,
		SentAt:  now.Add(-age(pb.GetSentAgeMs())),
		HeardAt: now.Add(-age(pb.GetHeardAgeMs())),
	}
	return e
}

// maxAge bounds the ages in messages.
const maxAge = 24 * time.Hour

// age returns an age in a message, which may be any number, as a duration from 0 to maxAge.
func age(milliseconds int64) time.Duration {
	return time.Duration(min(max(0, milliseconds), maxAge.Milliseconds())) * time.Millisecond
}

func toPermitRequest(r ratelimit.Request, now time.Time) *peerpb.PermitRequest {
	pb := &peerpb.PermitRequest{Sequence: r.Sequence}
	for _, w := range r.Wants {
		pb.Wants = append(pb.Wants, &peerpb.PermitWant{Limit: toRateLimit(w.Entry, now), Permits: uint32(w.Permits)})
	}
	return pb
}

func fromPermitRequest(pb *peerpb.PermitRequest, now time.Time) ratelimit.Request {
	r := ratelimit.Request{Sequence: pb.GetSequence()}
	for _, w := range pb.GetWants() {
		r.Wants = append(r.Wants, ratelimit.Want{Entry: fromRateLimit(w.GetLimit(), now), Permits: permits(w.GetPermits())})
	}
	return r
}

func toPermitResponse(r ratelimit.Response, now time.Time) *peerpb.PermitResponse {
	pb := &peerpb.PermitResponse{Sequence: r.Sequence, Number: r.Number}
	for _, g := range r.Granted {
		pb.Granted = append(pb.Granted, &peerpb.PermitGrant{Limit: toRateLimit(g.Entry, now), Permits: uint32(g.Permits), Hosts: uint32(g.Hosts)})
	}
	return pb
}

func fromPermitResponse(pb *peerpb.PermitResponse, now time.Time) ratelimit.Response {
	r := ratelimit.Response{Sequence: pb.GetSequence(), Number: pb.GetNumber()}
	for _, g := range pb.GetGranted() {
		r.Granted = append(r.Granted, ratelimit.Granted{Entry: fromRateLimit(g.GetLimit(), now), Permits: permits(g.GetPermits()), Hosts: int(g.GetHosts())})
	}
	return r
}

func permits(n uint32) int { return int(min(n, maxPermits)) }
