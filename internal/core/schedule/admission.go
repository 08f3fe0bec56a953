package schedule

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/admission"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
)

// refuseIfShort refuses a new request if the fleet does not admit it, and reports whether it did.
func (s *Scheduler) refuseIfShort(now time.Time, r *request) bool {
	if !s.cfg.AdmissionLevels {
		return false
	}
	position := r.Position
	if position == 0 {
		position = uint64(r.ID) * positionFactor >> 32
	}
	admitted, retryAfter := s.admission.Admit(now, r.level(), r.Team, position)
	if admitted {
		return false
	}
	s.recordOutcome(now, r, false)
	delete(s.requests, r.ID)
	s.emit(dispatch.Refuse{Request: r.ID, Reason: dispatch.CapacityShort, RetryAfter: retryAfter})
	return true
}

// countUnadmitted counts a new request that is part of the demand and refused for another reason
// than the admission levels.
func (s *Scheduler) countUnadmitted(r *request) {
	if s.cfg.AdmissionLevels {
		s.admission.Arrived(r.level(), r.Team)
	}
}

// positionFactor spreads consecutive request IDs over the positions (Knuth, multiplicative
// hashing).
const positionFactor = 0x9E3779B97F4A7C15

func (r *request) level() admission.Level {
	return admission.Level{TeamPriority: r.TeamPriority, ClassPriority: r.class.Priority}
}

// updateAdmission updates the admission levels, and records when they begin and end to apply.
func (s *Scheduler) updateAdmission(now time.Time, zones []locality.Zone) {
	if !s.cfg.AdmissionLevels {
		return
	}
	slots := 0.0
	for _, z := range zones {
		slots += z.Slots
	}
	if !s.admission.Update(now, slots) {
		return
	}
	state := s.admission.State()
	kind := event.AdmissionEnded
	if state.Active {
		kind = event.AdmissionLimited
	}
	s.emit(dispatch.Record{Kind: kind, Fields: []event.Field{
		event.F("service", s.cfg.Service), event.F("demand", int(state.Demand)), event.F("capacity", int(state.Capacity)),
		event.F("slots", roundToPercent(slots)), event.F("hosts", state.Hosts), event.F("waiting", len(s.waiting)),
		event.F("team_priority", state.Level.TeamPriority), event.F("class_priority", state.Level.ClassPriority),
		event.F("admitted", roundToPercent(state.Fraction)),
	}})
}
