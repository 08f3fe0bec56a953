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

// countingProber counts the probes that are sent; each passes at once.
type countingProber struct {
	nothing
	serving bool
	count   atomic.Int64
}

func (p *countingProber) Probes(ident.ServiceName) bool { return p.serving }

func (p *countingProber) Probe(context.Context, ident.ServiceName, ident.TargetID) (bool, time.Duration) {
	p.count.Add(1)
	return true, 0
}

// TestRegularProbesAreLeftToServingHosts guards against probes of every host to
// every target, which would take most of a target's capacity.
func TestRegularProbesAreLeftToServingHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, serving := range []bool{false, true} {
			prober := &countingProber{serving: serving}
			s := NewService(probedConfig(), dispatch.Self{Host: "h"}, 1, prober, nothing{})
			time.Sleep(time.Minute)
			s.Close()
			synctest.Wait()
			if sent := prober.count.Load(); (sent > 0) != serving {
				t.Errorf("serving host %t: %d probes were sent", serving, sent)
			}
		}
	})
}

// TestSkippedProbesAreNoEvidence guards against targets that count as silent
// because this host had too many probes under way to send another.
func TestSkippedProbesAreNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &countingProber{serving: true}
		s := NewService(probedConfig(), dispatch.Self{Host: "h"}, 1, prober, nothing{})
		time.Sleep(10 * time.Second)
		for range maxProbes {
			s.probes <- struct{}{}
		}
		time.Sleep(time.Minute)
		sent := prober.count.Load()
		for range maxProbes {
			<-s.probes
		}
		time.Sleep(10 * time.Second)
		_, targets := s.Status()
		s.Close()
		synctest.Wait()
		if prober.count.Load() == sent {
			t.Error("no probe was sent after the others had ended")
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
