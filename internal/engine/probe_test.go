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

// countingProber counts the probes; each passes immediately.
type countingProber struct {
	noop
	regularProbes bool
	count         atomic.Int64
}

func (p *countingProber) Probes(ident.ServiceName) bool { return p.regularProbes }

func (p *countingProber) Probe(context.Context, ident.ServiceName, ident.TargetID) (bool, time.Duration) {
	p.count.Add(1)
	return true, 0
}

// TestRegularProbesAreLeftToServingHosts guards against probing every target from
// every host, which would use up most of a target's capacity.
func TestRegularProbesAreLeftToServingHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, regularProbes := range []bool{false, true} {
			prober := &countingProber{regularProbes: regularProbes}
			s := NewService(probedConfig(), dispatch.Self{Host: "h"}, 1, prober, noop{})
			time.Sleep(time.Minute)
			s.Close()
			synctest.Wait()
			if sent := prober.count.Load(); (sent > 0) != regularProbes {
				t.Errorf("serving host %t: %d probes were sent", regularProbes, sent)
			}
		}
	})
}

// TestSkippedProbesAreNoEvidence guards against counting a target as unresponsive
// because this host had too many probes in progress to send another one.
func TestSkippedProbesAreNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &countingProber{regularProbes: true}
		s := NewService(probedConfig(), dispatch.Self{Host: "h"}, 1, prober, noop{})
		time.Sleep(10 * time.Second)
		for range maxProbes {
			s.probeSlots <- struct{}{}
		}
		time.Sleep(time.Minute)
		sent := prober.count.Load()
		for range maxProbes {
			<-s.probeSlots
		}
		time.Sleep(10 * time.Second)
		_, targets := s.Status()
		s.Close()
		synctest.Wait()
		if prober.count.Load() == sent {
			t.Error("no probe was sent after the others had finished")
		}
		if len(targets) != 1 || targets[0].Score > 0 {
			t.Errorf("targets %+v", targets)
		}
	})
}

func probedConfig() dispatch.Config {
	return dispatch.Config{
		Service:       "s",
		Targets:       []dispatch.Target{{ID: "t", Slots: 1}},
		Classes:       []dispatch.Class{{Name: "c", Idempotent: true}},
		ProbeInterval: time.Second,
	}
}
