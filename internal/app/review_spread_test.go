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

// silentLog is a log service that never answers, as behind a network that
// drops everything.
type silentLog struct{ port.Log }

func (silentLog) Read(ctx context.Context, _ int64, _ int, _ time.Duration) (port.Batch, error) {
	<-ctx.Done()
	return port.Batch{}, &port.LogUnavailableError{Cause: ctx.Err()}
}

// TestNoContactWithoutAnswer guards against a host that claims a contact with
// the log service as soon as it starts to read. It would stop reading a second
// later, before the log answered, and its claim would keep all other hosts from
// reading the log.
func TestNoContactWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		tickets := newTicketHosts("a", "b").hosts["a"]
		follower := configlog.NewFollower(silentLog{}, configlog.DefaultConfig())
		s := &spread{follower: follower, fleet: tickets.fleet, host: "a", log: tickets.log}
		go follower.Run(ctx)
		go s.run(ctx)
		follower.SetReading(true)
		time.Sleep(2 * digestInterval)
		if age := s.logAge(); age < silenceLimit {
			t.Fatalf("the log never answered, but the newest contact is %s old", age)
		}
	})
}

// silentRecords answers no request for records at one address.
type silentRecords struct {
	port.Peers
	asked map[string]int
}

func (p *silentRecords) Records(ctx context.Context, address string, _ int64, _ int) ([]revision.Record, bool, error) {
	p.asked[address]++
	if address != "silent" {
		return nil, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	<-ctx.Done()
	return nil, false, ctx.Err()
}

// TestSilentHostHoldsNoPull guards against a host that stays on an old revision
// because the one that it asks for records does not answer, while others would.
func TestSilentHostHoldsNoPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &silentRecords{asked: map[string]int{}}
		s := &spread{follower: configlog.NewFollower(silentLog{}, configlog.DefaultConfig()), peers: p, log: newTicketHosts("a").hosts["a"].log}
		for range 30 {
			s.heard(port.Host{PeerAddress: "silent"}, member.Digest{AsOf: 5})
			synctest.Wait()
			s.heard(port.Host{PeerAddress: "other"}, member.Digest{AsOf: 5})
			synctest.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if p.asked["other"] == 0 || p.asked["silent"] != 1 {
			t.Fatalf("requests in 3 s: %v", p.asked)
		}
	})
}
