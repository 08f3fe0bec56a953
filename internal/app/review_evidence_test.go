package app

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// silentPeers are hosts that do not answer; a call gives up after 3 s, as the
// client of the peer protocol does.
type silentPeers struct{ port.Peers }

func (silentPeers) Exchange(ctx context.Context, _ string, _ []port.ServiceEvidence) ([]port.ServiceEvidence, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestSilentPartner guards against evidence that expires at all other hosts
// between two exchanges, because one host does not answer.
func TestSilentPartner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A report counts for 3 s (internal/core/health).
		const claimLifetime = 3 * time.Second
		e, _, _ := testEvidence(t)
		e.peers = silentPeers{}
		for range quietIntervals {
			start := time.Now()
			e.exchangeAll(t.Context())
			if next := time.Since(start) + exchangeInterval; next >= claimLifetime {
				t.Fatalf("the next exchange is %s later, reports count for %s", next, claimLifetime)
			}
		}
	})
}
