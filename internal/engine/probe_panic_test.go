package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// panickingProber panics in every probe.
type panickingProber struct{ probes atomic.Int64 }

func (p *panickingProber) Probes(ident.ServiceName) bool { return true }
func (p *panickingProber) Probe(context.Context, ident.ServiceName, ident.TargetID) (bool, time.Duration) {
	p.probes.Add(1)
	panic("unexpected")
}

// TestPanicInProbe guards against a panic in a probe that ends the process, or that keeps
// its slot so that the service is never probed again.
func TestPanicInProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &panickingProber{}
		s := NewService(probedConfig(), dispatch.Self{Host: "h"}, 1, prober, noop{})
		defer s.Close()
		time.Sleep(2 * time.Minute)
		if n := prober.probes.Load(); n <= maxProbes {
			t.Errorf("%d probes in two minutes, want more than the %d that may run at once", n, maxProbes)
		}
	})
}
