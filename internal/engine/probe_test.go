package engine

import (
	"context"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// otherHostsProbe is a host that leaves regular probes to others.
type otherHostsProbe struct {
	nothing
	sent chan ident.TargetID
}

func (otherHostsProbe) Probes(ident.ServiceName) bool { return false }

func (p otherHostsProbe) Probe(_ context.Context, _ ident.ServiceName, target ident.TargetID) (bool, time.Duration) {
	p.sent <- target
	return true, 0
}

// TestRegularProbesAreLeftToServingHosts guards against probes of every host to
// every target, which would take most of a target's capacity, and against a
// host whose removed targets never return because it sends no trial either.
func TestRegularProbesAreLeftToServingHosts(t *testing.T) {
	prober := otherHostsProbe{sent: make(chan ident.TargetID, 2)}
	s := NewService(dispatch.Config{Service: "s"}, dispatch.Self{Host: "h"}, 1, prober, nothing{})
	defer s.Close()
	s.step(func(time.Time, *dispatch.Dispatcher) []dispatch.Action {
		return []dispatch.Action{dispatch.Probe{Target: "regular"}, dispatch.Probe{Target: "trial", Trial: true}}
	})
	if got := <-prober.sent; got != "trial" {
		t.Fatalf("the host sent a probe to %s", got)
	}
}
