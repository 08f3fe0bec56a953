package gray

import "time"

// Model holds the rates at which the targets of one service start to fail and
// become well. They are learned from what is seen, since deployments differ.
type Model struct {
	onsets, wellSeconds        float64
	recoveries, failingSeconds float64
}

// What is assumed before anything is seen, as if it had been observed: two onsets
// in 100 s and two recoveries in 20 s.
const (
	priorEvents         = 2
	priorWellSeconds    = 100
	priorFailingSeconds = 20
	// maxGap bounds the time between two outcomes that counts; longer ones say
	// little about when the target changed.
	maxGap = 30 * time.Second
)

// NewModel returns a model that has seen nothing.
func NewModel() *Model { return &Model{} }

// onset is the rate per second at which a target that is well starts to fail.
func (m *Model) onset() float64 {
	return (m.onsets + priorEvents) / (m.wellSeconds + priorWellSeconds)
}

// recovery is the rate per second at which a failing target becomes well.
func (m *Model) recovery() float64 {
	return (m.recoveries + priorEvents) / (m.failingSeconds + priorFailingSeconds)
}

// learn takes two outcomes of a target one after the other: whether it was
// failing at each, and the time between them. A change is taken to have happened
// in the middle.
func (m *Model) learn(wasFailing, isFailing bool, gap time.Duration) {
	seconds := min(gap, maxGap).Seconds()
	failing, well := 0.0, seconds
	switch {
	case wasFailing && isFailing:
		failing, well = seconds, 0
	case wasFailing != isFailing:
		failing, well = seconds/2, seconds/2
	}
	m.failingSeconds += failing
	m.wellSeconds += well
	if !wasFailing && isFailing {
		m.onsets++
	}
	if wasFailing && !isFailing {
		m.recoveries++
	}
}
