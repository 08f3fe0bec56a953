package peer

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/admission"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
)

// maxSlotTime bounds the time for which the attempts of one report held their slots.
const maxSlotTime = 24 * time.Hour

// setDemand encodes the report for the admission levels. An empty one takes no bytes.
func setDemand(pb *peerpb.ServiceOutcomes, r admission.Report) {
	pb.Started, pb.Shed, pb.Refused, pb.Waiting = uint32(r.Started), uint32(r.Shed), uint32(r.Refused), uint32(r.Waiting)
	pb.EndedAttempts, pb.SlotTimeMs = uint32(r.Ended), uint64(r.SlotTime.Milliseconds())
	for _, d := range r.Demand {
		pb.Demand = append(pb.Demand, &peerpb.Demand{
			TeamPriority: int64(d.TeamPriority), ClassPriority: int64(d.ClassPriority), Team: string(d.Team), Arrivals: uint32(d.Arrivals),
		})
	}
}

// fromDemand decodes the report for the admission levels.
func fromDemand(pb *peerpb.ServiceOutcomes) admission.Report {
	r := admission.Report{
		Started: usage(pb.GetStarted()), Shed: usage(pb.GetShed()), Refused: usage(pb.GetRefused()), Waiting: usage(pb.GetWaiting()),
		Ended: usage(pb.GetEndedAttempts()), SlotTime: time.Duration(min(pb.GetSlotTimeMs(), uint64(maxSlotTime.Milliseconds()))) * time.Millisecond,
	}
	for _, d := range pb.GetDemand() {
		if len(r.Demand) == admission.MaxDemand {
			break
		}
		r.Demand = append(r.Demand, admission.Demand{
			Level:    admission.Level{TeamPriority: int(d.GetTeamPriority()), ClassPriority: int(d.GetClassPriority())},
			Team:     ident.TeamName(d.GetTeam()),
			Arrivals: usage(d.GetArrivals()),
		})
	}
	return r
}
