package schedule

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// formerProcessLifetime is the time for which the statements of a process are kept
	// after its target was removed from the configuration. The registration of a process
	// that still runs can lapse for as long as the registry is unavailable.
	formerProcessLifetime = time.Hour
	// maxFormerProcesses bounds the processes of removed targets whose statements are
	// kept. The ones that were removed first are forgotten first.
	maxFormerProcesses = 1024
)

// Process identifies a process of a target.
type Process struct {
	Target ident.TargetID
	// StartUnixMilli is the start time of the process, 0 if unknown.
	StartUnixMilli int64
}

// processState holds what a process of a target has said of itself in its responses.
type processState struct {
	process Process
	// hasStatement is set once the process has made a statement that must outlast the removal of
	// its target from the configuration.
	hasStatement bool
	// configured is set while the configuration contains the process.
	configured bool
	// pausedUntil is the end of the latest pause that the process asked for, pausedSince its
	// start, and pauseHeardAt the time of the response that set its end.
	pausedSince, pausedUntil, pauseHeardAt time.Time
	// formerSince is the time of the removal, or of the first statement of a process that
	// was not in the configuration by then.
	formerSince time.Time
	leaving     leavingState
}

// processMemory holds the states of the processes in the configuration, and of former ones
// that made statements. A target whose registration lapses and returns is still the same
// process, and its statements still hold.
type processMemory struct {
	states map[Process]*processState
}

func newProcessMemory() processMemory {
	return processMemory{states: map[Process]*processState{}}
}

// configure returns the states of the configured processes in the same order, and drops
// those of former processes that need not be kept.
func (m *processMemory) configure(now time.Time, configured []Process) []*processState {
	former := m.states
	m.states = make(map[Process]*processState, len(configured))
	list := make([]*processState, len(configured))
	for i, p := range configured {
		st := former[p]
		if st == nil {
			st = &processState{process: p}
		}
		st.configured = true
		m.states[p], list[i] = st, st
	}
	for p, st := range former {
		if m.states[p] == nil {
			m.keepFormer(now, st)
		}
	}
	m.boundFormer()
	return list
}

// keepFormer keeps the state of a process that is no longer in the configuration, if it
// made statements. Successive processes whose start time is unknown cannot be told apart,
// so that nothing is kept of them.
func (m *processMemory) keepFormer(now time.Time, st *processState) {
	if st.configured {
		st.configured, st.formerSince = false, now
	}
	if st.hasStatement && st.process.StartUnixMilli != 0 && now.Sub(st.formerSince) < formerProcessLifetime {
		m.states[st.process] = st
	}
}

// recordStatement returns the state of a process that makes a statement. A process that has been
// removed from the configuration can still answer earlier requests.
func (m *processMemory) recordStatement(now time.Time, p Process) *processState {
	st := m.states[p]
	if st == nil {
		st = &processState{process: p, formerSince: now}
		if p.StartUnixMilli == 0 {
			// It cannot be told apart from its successor.
			return st
		}
		m.states[p] = st
		m.boundFormer()
	}
	st.hasStatement = true
	return st
}

// boundFormer forgets the former processes beyond maxFormerProcesses that were removed
// first.
func (m *processMemory) boundFormer() {
	for {
		count := 0
		var oldest *processState
		for _, st := range m.states {
			if st.configured {
				continue
			}
			count++
			if oldest == nil || st.formerSince.Before(oldest.formerSince) {
				oldest = st
			}
		}
		if count <= maxFormerProcesses {
			return
		}
		delete(m.states, oldest.process)
	}
}

// ProcessOf returns the process that a running attempt was sent to, and the zero value for
// an attempt that is not running.
func (s *Scheduler) ProcessOf(id ident.AttemptID) Process {
	a := s.attempts[id]
	if a == nil {
		return Process{}
	}
	return a.target.process.process
}
