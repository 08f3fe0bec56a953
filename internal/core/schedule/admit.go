package schedule

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// startOrRefuse ends the admission of a request that cannot wait for the target that it
// prefers: it is started if any target has a free slot, and refused otherwise.
func (s *Scheduler) startOrRefuse(now time.Time, r *request, reason dispatch.RefuseReason) {
	if free, _ := s.bestCandidates(now, r); free.target != nil {
		s.start(now, r, free)
		return
	}
	s.refuse(now, r, reason)
}
