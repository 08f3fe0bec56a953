package peer

import (
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

func toLeaving(in []port.LeavingTarget) []*peerpb.LeavingTarget {
	var list []*peerpb.LeavingTarget
	for _, l := range in {
		list = append(list, &peerpb.LeavingTarget{
			Service: string(l.Service),
			Target:  string(l.Target),
			BornMs:  l.StartUnixMilli,
			AgeMs:   l.Age.Milliseconds(),
		})
	}
	return list
}

// fromLeaving decodes leaving targets. A report without a start time is dropped: it would
// also hold for later processes of the target.
func fromLeaving(pb []*peerpb.LeavingTarget) []port.LeavingTarget {
	var list []port.LeavingTarget
	for _, l := range pb {
		if l.GetBornMs() == 0 {
			continue
		}
		list = append(list, port.LeavingTarget{
			Service:        ident.ServiceName(l.GetService()),
			Target:         ident.TargetID(l.GetTarget()),
			StartUnixMilli: l.GetBornMs(),
			Age:            age(l.GetAgeMs()),
		})
	}
	return list
}
