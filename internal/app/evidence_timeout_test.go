package app

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// unresponsivePeers are hosts that do not respond. Calls time out after 3 s, as in the client of the
// peer protocol.
type unresponsivePeers struct{ port.Peers }

func (unresponsivePeers) Exchange(ctx context.Context, _ string, _ []port.ServiceEvidence) ([]port.ServiceEvidence, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestUnresponsivePeersDoNotDelayExchange guards against evidence that expires at the other hosts
// between two exchanges because a call to an unresponsive host delays the next exchange.
func TestUnresponsivePeersDoNotDelayExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Receivers use a report for 3 s (internal/core/health).
		const reportLifetime = 3 * time.Second
		e, _, _ := newTestExchanger(t)
		e.peers = unresponsivePeers{}
		for range idleExchangeIntervals {
			start := time.Now()
			e.exchangeAll(t.Context())
			if next := time.Since(start) + exchangeInterval; next >= reportLifetime {
				t.Fatalf("the next exchange is %s later, reports count for %s", next, reportLifetime)
			}
		}
	})
}
