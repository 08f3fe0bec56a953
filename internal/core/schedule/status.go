package schedule

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
)

// Status returns the state of every target as of the last event. The score is the
// failing probability of the target in percent.
func (s *Scheduler) Status() []dispatch.TargetStatus {
	var list []dispatch.TargetStatus
	for _, t := range s.order {
		state := health.Healthy
		switch {
		case t.Draining || t.process.leaving.known:
			state = health.Draining
		case t.avoided:
			state = health.Excluded
		}
		list = append(list, dispatch.TargetStatus{
			Status:    health.Status{Target: t.ID, State: state, Weight: 1, Score: 100 * t.belief.FailingProbability(s.now)},
			InFlight:  t.inFlight,
			Limit:     t.freeSlots(s.now) + t.inFlight,
			OtherLoad: t.otherLoad.Load(s.now),
			Paused:    t.limit.Paused(s.now),
			PauseLeft: max(0, t.process.pausedUntil.Sub(s.now)),

			RateLimited: t.rate.Limited(),
			RateLimit:   t.rate.Limit().Rate,
			Leaving:     t.process.leaving.known,
		})
	}
	return list
}

// ServiceStatus returns the state of the queue, the retry budget and the floor.
func (s *Scheduler) ServiceStatus(now time.Time) dispatch.ServiceStatus {
	status := dispatch.ServiceStatus{
		Service:     s.cfg.Service,
		Revision:    s.cfg.Revision,
		InFlight:    len(s.attempts),
		Waiting:     len(s.waiting),
		QueueLength: max(0, s.cfg.QueueLength),
		RetriesLeft: s.budget.Remaining(now),
		Floor:       dispatch.FloorStatus{Active: s.floorEnforced, Healthy: s.healthyTargets, Used: s.usedTargets},
	}
	status.Admission, status.ZoneShortage = s.admission.State(), s.shares.Shortage()
	for _, t := range s.order {
		if t.pausing(now) {
			status.Pausing++
		}
		if t.process.leaving.known {
			status.Leaving++
		}
		if t.rate.Limited() {
			status.Rates.Limited++
			status.Rates.Permits += t.rate.Permits(now)
		}
	}
	for _, cc := range s.cfg.Classes {
		c := s.classes[cc.Name]
		status.Classes = append(status.Classes, dispatch.ClassStatus{
			Class:       cc.Name,
			Capacity:    s.capacity(now, c.serviceTime.Mean(now)),
			ServiceTime: c.serviceTime.Mean(now),
		})
	}
	return status
}
