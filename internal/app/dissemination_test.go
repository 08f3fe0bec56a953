package app

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/configlog"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// unresponsiveLog is a log service that never responds, as with a network that drops all packets.
type unresponsiveLog struct{ port.Log }

func (unresponsiveLog) Read(ctx context.Context, _ int64, _ int, _ time.Duration) (port.Batch, error) {
	<-ctx.Done()
	return port.Batch{}, &port.LogUnavailableError{Cause: ctx.Err()}
}

// TestLogContactRequiresResponse guards against a host that records a contact with the log service when
// it starts to read, before the service has responded. The host would stop reading one second later,
// and the recorded contact would keep all other hosts from reading the log.
func TestLogContactRequiresResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		tickets := newTicketPeers("a", "b").hosts["a"]
		follower := configlog.NewFollower(unresponsiveLog{}, configlog.DefaultConfig())
		s := &disseminator{follower: follower, membership: tickets.membership, host: "a", log: tickets.log}
		go follower.Run(ctx)
		go s.run(ctx)
		follower.SetReading(true)
		time.Sleep(2 * digestInterval)
		if age := s.sinceLogContact(); age < logContactTimeout {
			t.Fatalf("the log service never responded, but the last contact is recorded as %s ago", age)
		}
	})
}

// unresponsiveRecords does not respond to requests for records at one address.
type unresponsiveRecords struct {
	port.Peers
	requests map[string]int
}

func (p *unresponsiveRecords) Records(ctx context.Context, address string, _ int64, _ int) ([]revision.Record, bool, error) {
	p.requests[address]++
	if address != "silent" {
		return nil, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	<-ctx.Done()
	return nil, false, ctx.Err()
}

// TestUnresponsiveHostDoesNotBlockPulls guards against a host that stays on an old revision because the
// peer that it pulls records from does not respond, although others would.
func TestUnresponsiveHostDoesNotBlockPulls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &unresponsiveRecords{requests: map[string]int{}}
		s := &disseminator{follower: configlog.NewFollower(unresponsiveLog{}, configlog.DefaultConfig()), peers: p, log: newTicketPeers("a").hosts["a"].log}
		for range 30 {
			s.handleDigest(port.Host{PeerAddress: "silent"}, member.Digest{AsOf: 5})
			synctest.Wait()
			s.handleDigest(port.Host{PeerAddress: "other"}, member.Digest{AsOf: 5})
			synctest.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if p.requests["other"] == 0 || p.requests["silent"] != 1 {
			t.Fatalf("requests in 3 s: %v", p.requests)
		}
	})
}
