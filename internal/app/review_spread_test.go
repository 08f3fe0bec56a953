package app

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/configlog"
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
