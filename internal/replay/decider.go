package replay

import (
	"fmt"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Decider decides for one service on one host. *dispatch.Dispatcher satisfies
// it directly.
type Decider interface {
	Configure(now time.Time, cfg dispatch.Config) []dispatch.Action
	Arrive(now time.Time, r dispatch.Request) []dispatch.Action
	Finish(now time.Time, id ident.AttemptID, res dispatch.Result) []dispatch.Action
	Cancel(now time.Time, id ident.RequestID) []dispatch.Action
	ProbeResult(now time.Time, target ident.TargetID, ok bool, took time.Duration) []dispatch.Action
	LoadReport(now time.Time, r dispatch.LoadReport) []dispatch.Action
	Evidence(now time.Time) health.Evidence
	Merge(now time.Time, e health.Evidence) []dispatch.Action
	Tick(now time.Time) []dispatch.Action
	NextTick(now time.Time) time.Time
	Status() []dispatch.TargetStatus
}

var _ Decider = (*dispatch.Dispatcher)(nil)

// NewDecider builds the decider of one host.
type DeciderConstructor func(now time.Time, cfg dispatch.Config, self dispatch.Self, seed uint64) Decider

// Names of the built-in deciders.
const (
	SapphirehavenDecider = "sapphirehaven"
	BaselineDecider      = "baseline"
)

// DeciderByName returns the constructor of a built-in decider.
func DeciderByName(name string) (DeciderConstructor, error) {
	switch name {
	case SapphirehavenDecider:
		return newSapphirehaven, nil
	case BaselineDecider:
		return newBaseline, nil
	}
	return nil, fmt.Errorf("unknown decider %q: expected %s or %s", name, SapphirehavenDecider, BaselineDecider)
}

func newSapphirehaven(now time.Time, cfg dispatch.Config, self dispatch.Self, seed uint64) Decider {
	return dispatch.New(now, cfg, self, seed)
}
