package gray

import "time"

// Model holds the transition rates between healthy and failing for the targets of
// one service. They are learned from outcomes, since deployments differ.
type Model struct {
	onsets, healthySeconds     float64
	recoveries, failingSeconds float64
}

// Prior of the rates, expressed as observations: two onsets in 100 s and two
// recoveries in 20 s.
const (
	priorEvents         = 2
	priorHealthySeconds = 100
	priorFailingSeconds = 20
	// maxInterval bounds the counted time between two outcomes. A longer interval
	// says little about when the target changed its state.
	maxInterval = 30 * time.Second
)

// NewModel returns a model without observations.
func NewModel() *Model { return &Model{} }

// failureOnsetRate is the rate per second at which a healthy target starts to fail.
func (m *Model) failureOnsetRate() float64 {
	return (m.onsets + priorEvents) / (m.healthySeconds + priorHealthySeconds)
}

// recoveryRate is the rate per second at which a failing target recovers.
func (m *Model) recoveryRate() float64 {
	return (m.recoveries + priorEvents) / (m.failingSeconds + priorFailingSeconds)
}

// learn adds two consecutive outcomes of a target: whether it was failing
// at each, and the interval between them. A change of state is assumed to have
// occurred in the middle of the interval.
func (m *Model) learn(wasFailing, isFailing bool, gap time.Duration) {
	seconds := min(gap, maxInterval).Seconds()
	failing, healthy := 0.0, seconds
	switch {
	case wasFailing && isFailing:
		failing, healthy = seconds, 0
	case wasFailing != isFailing:
		failing, healthy = seconds/2, seconds/2
	}
	m.failingSeconds += failing
	m.healthySeconds += healthy
	if !wasFailing && isFailing {
		m.onsets++
	}
	if wasFailing && !isFailing {
		m.recoveries++
	}
}
