package peer

import (
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
)

// maxUsage bounds the requests and retries in one part of a message, so that a malformed one
// does not block retries beyond the window of the budget.
const maxUsage = 1 << 20

// setRetries encodes a report on retries. An empty history takes no bytes.
func setRetries(pb *peerpb.ServiceOutcomes, r retry.Report) {
	pb.Requests, pb.Retries = uint32(r.Own.Requests), uint32(r.Own.Retries)
	if r.Fleet == (retry.History{}) {
		return
	}
	for _, u := range r.Fleet {
		pb.FleetRequests = append(pb.FleetRequests, uint32(u.Requests))
		pb.FleetRetries = append(pb.FleetRetries, uint32(u.Retries))
	}
}

// fromRetries decodes a report on retries. Missing parts of the history are empty.
func fromRetries(pb *peerpb.ServiceOutcomes) retry.Report {
	r := retry.Report{Own: retry.Usage{Requests: usage(pb.GetRequests()), Retries: usage(pb.GetRetries())}}
	for i := range r.Fleet {
		if i < len(pb.GetFleetRequests()) {
			r.Fleet[i].Requests = usage(pb.GetFleetRequests()[i])
		}
		if i < len(pb.GetFleetRetries()) {
			r.Fleet[i].Retries = usage(pb.GetFleetRetries()[i])
		}
	}
	return r
}

func usage(count uint32) int { return int(min(count, maxUsage)) }
