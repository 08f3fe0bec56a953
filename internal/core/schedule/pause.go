package schedule

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// pauseExtensionStep is the extension of a pause from which the timeline has an event of
// its own. A loaded target answers many requests with almost the same end of the pause.
const pauseExtensionStep = time.Second

// malformedPauseInterval is the minimum time between two events for malformed Retry-After
// headers of one target.
const malformedPauseInterval = 10 * time.Second

// PauseReport is what a response with status 503 and a Retry-After header says.
type PauseReport struct {
	// Attempt is the attempt during which the response arrived.
	Attempt ident.AttemptID
	// Wait is the time from now for which the target wants no requests of this host.
	Wait time.Duration
	// Malformed is set if the header contains a value that is no time.
	Malformed bool
}

// ReportPause applies a response that arrived now. The pause holds for the process that the
// attempt was sent to. It ends at the latest time that the process asked for: neither a
// shorter pause nor a success ends it earlier.
func (s *Scheduler) ReportPause(now time.Time, r PauseReport) []dispatch.Action {
	a := s.attempts[r.Attempt]
	if a == nil {
		return nil
	}
	p := a.target.processID()
	if t := a.target; r.Malformed && now.Sub(t.malformedPauseAt) >= malformedPauseInterval {
		t.malformedPauseAt = now
		s.recordProcess(event.PauseMalformed, p)
	}
	if r.Wait > 0 {
		a.askedPause = true
		s.pause(now, s.processes.recordStatement(now, p), now.Add(r.Wait))
	}
	return s.flush(now)
}

// pause extends the pause of a process.
func (s *Scheduler) pause(now time.Time, st *processState, until time.Time) {
	before := st.pausedUntil
	if !until.After(before) {
		return
	}
	st.pausedUntil, st.pauseHeardAt = until, now
	starts := !now.Before(before)
	if starts {
		st.pausedSince = now
	}
	if !slices.Contains(s.pauses, st) {
		s.pauses = append(s.pauses, st)
	}
	if starts || until.Sub(before) >= pauseExtensionStep {
		s.recordProcess(event.TargetPaused, st.process, event.F("status", pauseStatus), event.F("pause", until.Sub(now)), event.F("extended", !starts))
	}
}

// inheritPause applies a pause to a target whose process has just been registered, but had been
// started when the pause was asked for. Until then it counts for the previous process under
// the ID.
func (s *Scheduler) inheritPause(now time.Time, t *target) {
	for _, st := range s.pauses {
		if st.process.Target == t.ID && st != t.process && st.pauseHeardAt.UnixMilli() >= t.StartUnixMilli && now.Before(st.pausedUntil) {
			s.pause(now, s.processes.recordStatement(now, t.processID()), st.pausedUntil)
			return
		}
	}
}

// pauseStatus is the only response status that pauses a target.
const pauseStatus = 503

// endPauses records the pauses that have ended.
func (s *Scheduler) endPauses(now time.Time) {
	s.pauses = slices.DeleteFunc(s.pauses, func(st *processState) bool {
		if now.Before(st.pausedUntil) {
			return false
		}
		s.recordProcess(event.TargetPauseEnded, st.process, event.F("pause", st.pausedUntil.Sub(st.pausedSince)))
		return true
	})
}

func (s *Scheduler) recordProcess(kind event.Kind, p Process, fields ...event.Field) {
	s.emit(dispatch.Record{Kind: kind, Fields: append([]event.Field{event.F("service", s.cfg.Service), event.F("target", p.Target)}, fields...)})
}

// MayWrite reports whether the first byte of an attempt may be written now. The target may
// have asked for a pause after the attempt was started, while it waited for a connection.
func (s *Scheduler) MayWrite(now time.Time, id ident.AttemptID) bool {
	a := s.attempts[id]
	if a == nil {
		return true
	}
	st := s.processes.states[a.target.processID()]
	return st == nil || !now.Before(st.pausedUntil)
}

// Pausing reports whether any process of a target may be in a pause.
func (s *Scheduler) Pausing() bool { return len(s.pauses) > 0 }

func (t *target) processID() Process {
	return Process{Target: t.ID, StartUnixMilli: t.StartUnixMilli}
}

// pausing reports whether the process of the target wants no requests of this host.
func (t *target) pausing(now time.Time) bool { return now.Before(t.process.pausedUntil) }

// availableAt is the time from which the target may receive requests again, as far as is
// known.
func (t *target) availableAt() time.Time {
	at := t.process.pausedUntil
	for _, until := range []time.Time{t.unavailableUntil, t.limit.PausedUntil()} {
		if until.After(at) {
			at = until
		}
	}
	return at
}

// anyUsable reports whether any target may receive a request now if it has a free slot and
// its rate allows one.
func (s *Scheduler) anyUsable(now time.Time) bool {
	return slices.ContainsFunc(s.order, func(t *target) bool { return t.usable(now) })
}

// pauseWait is the expected time until a request with others ahead of it can be sent to
// those of the unusable targets that are available first, 0 if none of them pauses.
func (s *Scheduler) pauseWait(now time.Time, r *request, ahead int) time.Duration {
	if !s.Pausing() {
		return 0
	}
	var first time.Time
	slots, pausing := 0, false
	for _, t := range s.order {
		if t.Draining || t.process.leaving.known || t.usable(now) {
			continue
		}
		pausing = pausing || t.pausing(now)
		at := t.availableAt()
		switch {
		case slots == 0 || at.Before(first):
			first, slots = at, max(1, t.Slots)
		case at.Equal(first):
			slots += max(1, t.Slots)
		}
	}
	if !pausing {
		return 0
	}
	batches := ahead / slots
	return max(0, first.Sub(now)) + time.Duration(batches)*r.class.serviceTime.Mean(now)
}

// startWait is the expected time until a request with others ahead of it can be sent, as
// far as pauses and rates of targets determine it. It is 0 if some usable target has
// neither.
func (s *Scheduler) startWait(now time.Time, r *request, ahead int) time.Duration {
	pause := s.pauseWait(now, r, ahead)
	if pause > 0 && !s.anyUsable(now) {
		return pause
	}
	permit := s.permitWait(now, ahead)
	if pause > 0 {
		return min(permit, pause)
	}
	return permit
}

// startWaitReason is the reason for refusing a request because of startWait.
func (s *Scheduler) startWaitReason(now time.Time) dispatch.RefuseReason {
	if s.anyUsable(now) {
		return dispatch.RateLimited
	}
	return dispatch.TargetsPaused
}

// startRetryAfter is the suggested retry delay of a request that is refused because of
// startWait.
func (s *Scheduler) startRetryAfter(now time.Time, r *request) time.Duration {
	return min(maxRateRetryAfter, max(minRetryAfter, s.startWait(now, r, s.queuePosition(r))))
}

// neverStarts reports whether a waiting request would miss its deadline before it can be
// sent. One that has been sent before waits for a permit, but not for the end of a pause.
func (s *Scheduler) neverStarts(now time.Time, r *request, ahead int) bool {
	if r.attempts > r.withdrawnAttempts && (!s.Pausing() || s.anyUsable(now)) {
		return false
	}
	return r.deadlineTooShort(now, s.startWait(now, r, ahead))
}

// withdraw undoes the start of an attempt that was withdrawn before its first byte, so that
// the request can be sent anywhere as if it had not been started.
func (s *Scheduler) withdraw(now time.Time, a *runningAttempt) {
	t, r := a.target, a.request
	t.idleSince = append(t.idleSince, now)
	t.started = max(0, t.started-1)
	if t.lastUsed.Equal(a.started) {
		t.lastUsed = a.usedBefore
	}
	if last := len(r.tried) - 1; last >= 0 {
		r.tried = r.tried[:last]
	}
	r.withdrawnAttempts++
	r.forFloor = false
}
