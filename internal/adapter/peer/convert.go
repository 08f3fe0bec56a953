package peer

import (
	"net/http"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// Identity identifies the sending process and gives access to its clock.
type Identity interface {
	Sender() port.Sender
	Stamp() event.Stamp
	Observe(event.Stamp)
}

func newSender(id Identity) *peerpb.Sender {
	caller, stamp := id.Sender(), id.Stamp()
	return &peerpb.Sender{
		Host:        string(caller.Host),
		Incarnation: uint64(caller.Incarnation),
		WallUs:      stamp.WallMicros,
		Logical:     stamp.Logical,
	}
}

func callerOf(s *peerpb.Sender) port.Sender {
	return port.Sender{Host: ident.HostID(s.GetHost()), Incarnation: ident.Incarnation(s.GetIncarnation())}
}

func stampOf(s *peerpb.Sender) event.Stamp {
	return event.Stamp{WallMicros: s.GetWallUs(), Logical: s.GetLogical()}
}

func toLogRecords(records []revision.Record) []*peerpb.LogRecord {
	out := make([]*peerpb.LogRecord, 0, len(records))
	for _, r := range records {
		out = append(out, &peerpb.LogRecord{Offset: r.Offset, TimeMs: r.Time.UnixMilli(), Data: r.Data})
	}
	return out
}

func fromLogRecords(records []*peerpb.LogRecord) []revision.Record {
	out := make([]revision.Record, 0, len(records))
	for _, r := range records {
		out = append(out, revision.Record{Offset: r.GetOffset(), Time: time.UnixMilli(r.GetTimeMs()), Data: r.GetData()})
	}
	return out
}

func toEvidence(list []port.ServiceEvidence) []*peerpb.ServiceEvidence {
	out := make([]*peerpb.ServiceEvidence, 0, len(list))
	for _, s := range list {
		pb := &peerpb.ServiceEvidence{Service: string(s.Service), Sequence: s.Evidence.Sequence}
		for _, t := range s.Evidence.Targets {
			pb.Targets = append(pb.Targets, &peerpb.TargetEvidence{
				Target:   string(t.Target),
				Score:    t.Score,
				Attempts: t.Attempts,
				InFlight: t.InFlight,
				Draining: t.Draining,
			})
		}
		out = append(out, pb)
	}
	return out
}

func fromEvidence(from *peerpb.Sender, list []*peerpb.ServiceEvidence) []port.ServiceEvidence {
	sender := callerOf(from)
	out := make([]port.ServiceEvidence, 0, len(list))
	for _, pb := range list {
		e := health.Evidence{Host: sender.Host, Incarnation: sender.Incarnation, Sequence: pb.GetSequence(), SentMicros: from.GetWallUs()}
		for _, t := range pb.GetTargets() {
			e.Targets = append(e.Targets, health.TargetEvidence{
				Target:   ident.TargetID(t.GetTarget()),
				Score:    t.GetScore(),
				Attempts: t.GetAttempts(),
				InFlight: t.GetInFlight(),
				Draining: t.GetDraining(),
			})
		}
		out = append(out, port.ServiceEvidence{Service: ident.ServiceName(pb.GetService()), Evidence: e})
	}
	return out
}

func toHeader(h http.Header) []*peerpb.Header {
	var out []*peerpb.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerpb.Header{Name: name, Value: v})
		}
	}
	return out
}

func fromHeader(list []*peerpb.Header) http.Header {
	h := http.Header{}
	for _, pb := range list {
		h.Add(pb.GetName(), pb.GetValue())
	}
	return h
}
