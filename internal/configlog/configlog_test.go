package configlog_test

import (
	"errors"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/configlog"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// TestLogDownAtStart guards against a host that can't start from peers, or
// that doesn't continue from the log when it is back.
func TestLogDownAtStart(t *testing.T) {
	inBubble(t, func(f *fleet) {
		old := f.host(true)
		f.propose(old, "r1", "/r1")
		f.log.set(func() { f.log.down = true })
		late := f.host(true)
		time.Sleep(time.Hour)
		f.want(late, 0, nil)
		if _, err := late.AdoptSnapshot(old.Snapshot()); err != nil {
			t.Fatal(err)
		}
		f.want(late, 1, old)
		if r := f.propose(late, "r2", "/r2"); r.ProposalStatus != revision.ProposalNotAppended {
			t.Errorf("with the log down: %s", r.ProposalStatus)
		}
		f.log.set(func() { f.log.down = false })
		time.Sleep(time.Minute)
		if r := f.propose(old, "r2", "/r2"); r.ProposalStatus != revision.ProposalAccepted {
			t.Errorf("with the log up: %s %v", r.ProposalStatus, r.Err)
		}
		time.Sleep(time.Second)
		f.want(late, 2, old)
		if late.count(configlog.LogUnavailable) != 1 || late.count(configlog.LogAvailable) != 1 {
			t.Errorf("events %v", late.events)
		}
	})
}

// TestSlowLog guards against a result that is given up while the log is slow.
func TestSlowLog(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.log.delay = 12 * time.Second
		h := f.host(true)
		if r := f.propose(h, "r1", "/r1"); r.ProposalStatus != revision.ProposalAccepted || r.Result.Revision != 1 {
			t.Errorf("got %s %+v", r.ProposalStatus, r.Result)
		}
	})
}

// TestLostAcknowledgement guards against a wrong result when an append's
// effect is unknown: it took effect, it did not, or it does after the
// withdrawal.
func TestLostAcknowledgement(t *testing.T) {
	unknown := &port.AppendUnknownError{Cause: errFault}
	for name, c := range map[string]struct {
		fault   func(l *fakeLog) func([]byte) error
		verdict revision.ProposalStatus
		reason  revision.Reason
		final   uint64
	}{
		"applied": {func(l *fakeLog) func([]byte) error {
			return func(data []byte) error { l.write(data); return unknown }
		}, revision.ProposalAccepted, revision.NotRefused, 1},
		"not applied": {func(*fakeLog) func([]byte) error {
			return func([]byte) error { return unknown }
		}, revision.ProposalRefused, revision.Withdrawn, 0},
		"applied after the withdrawal": {func(l *fakeLog) func([]byte) error {
			return func(data []byte) error {
				time.AfterFunc(time.Minute, func() { l.write(data) })
				return unknown
			}
		}, revision.ProposalRefused, revision.Withdrawn, 0},
	} {
		inBubble(t, func(f *fleet) {
			h := f.host(true)
			f.log.set(func() { f.log.onAppend = c.fault(f.log) })
			r := f.propose(h, "r1", "/r1")
			if r.ProposalStatus != c.verdict || r.Result.Reason != c.reason {
				t.Errorf("%s: got %s, %s (%v)", name, r.ProposalStatus, r.Result.Reason, r.Err)
			}
			time.Sleep(2 * time.Minute)
			f.want(h, c.final, nil)
			if got, ok := h.Result(r.ID); !ok || got.Accepted != (c.verdict == revision.ProposalAccepted) {
				t.Errorf("%s: later result %+v", name, got)
			}
		})
	}
}

// TestOperatorsRace guards against two operators who are both told that their
// documents are accepted for the same base.
func TestOperatorsRace(t *testing.T) {
	inBubble(t, func(f *fleet) {
		a, b := f.host(true), f.host(true)
		f.propose(a, "r1", "/r1")
		time.Sleep(time.Second)
		pa, pb := f.draft(a, "ra", "/a"), f.draft(b, "rb", "/b")
		reports := make(chan revision.Report, 2)
		go func() { reports <- f.submit(a, pa) }()
		go func() { reports <- f.submit(b, pb) }()
		x, y := <-reports, <-reports
		if x.ProposalStatus != revision.ProposalAccepted {
			x, y = y, x
		}
		if x.ProposalStatus != revision.ProposalAccepted || y.ProposalStatus != revision.ProposalRefused || y.Result.Reason != revision.StaleBase || y.Result.Winner != x.ID {
			t.Errorf("got %+v and %+v", x, y)
		}
		time.Sleep(time.Second)
		f.want(b, 2, a)
	})
}

// TestTruncatedWhilePaused guards against a host that continues after a gap.
func TestTruncatedWhilePaused(t *testing.T) {
	inBubble(t, func(f *fleet) {
		a, b := f.host(true), f.host(true)
		f.propose(a, "r1", "/r1")
		time.Sleep(time.Second)
		b.SetReading(false)
		f.propose(a, "r2", "/r2")
		f.propose(a, "r3", "/r3")
		f.log.set(func() { f.log.first = 2 })
		b.SetReading(true)
		time.Sleep(time.Minute)
		f.want(b, 1, nil)
		if b.count(configlog.NeedsSnapshot) == 0 {
			t.Error("the missing records are not reported")
		}
		checkpoint, err := logcodec.Encode(revision.Checkpoint{Snapshot: a.Snapshot()})
		if err != nil {
			t.Fatal(err)
		}
		f.log.write(checkpoint)
		time.Sleep(time.Minute)
		f.want(b, 3, a)
	})
}

// TestCheckpointWriters guards against a log that loses the configuration, and
// against a checkpoint from every host.
func TestCheckpointWriters(t *testing.T) {
	inBubble(t, func(f *fleet) {
		const retention = 3 * time.Hour
		var hosts []*host
		for i := range 3 {
			h := f.host(true)
			hosts = append(hosts, h)
			w := configlog.NewCheckpointWriter(f.log, h.Follower, ident.HostID(rune('a'+i)), func() int { return i }, checkpoints(retention, i))
			go w.Run(f.ctx)
		}
		f.propose(hosts[0], "r1", "/r1")
		time.Sleep(6*time.Hour + time.Minute)
		if n := hosts[0].count(configlog.CheckpointSeen); n != 5 && n != 6 {
			t.Errorf("%d checkpoints in 6 hours, want one an hour", n)
		}
		if got := int64(len(f.log.records)) - 1; got != int64(hosts[0].count(configlog.CheckpointSeen)) {
			t.Errorf("%d records after the first, some are not usable checkpoints", got)
		}
		f.log.set(func() { f.log.first = int64(len(f.log.records)) - 1 })
		fresh := f.host(true)
		time.Sleep(time.Minute)
		f.want(fresh, 1, hosts[0])
	})
}

func checkpoints(retention time.Duration, host int) revision.CheckpointConfig {
	cfg := revision.DefaultCheckpointConfig(retention)
	cfg.Seed = uint64(host)
	return cfg
}

// TestCheckpointsAtOnce guards against harm from hosts that all believe to be
// first in the rendezvous order, when their checkpoints have several chunks.
func TestCheckpointsAtOnce(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.log.delay = 100 * time.Millisecond
		a, b := f.host(true), f.host(true)
		f.propose(a, "r1", largePath(1))
		for i, h := range []*host{a, b} {
			w := configlog.NewCheckpointWriter(f.log, h.Follower, "x", func() int { return 0 }, checkpoints(time.Hour, i))
			go w.Run(f.ctx)
		}
		time.Sleep(2 * time.Hour)
		f.want(a, 1, nil)
		f.want(b, 1, a)
		t.Logf("%d usable checkpoints in %d records", a.count(configlog.CheckpointSeen), len(f.log.records))
		if n := a.count(configlog.CheckpointSeen); n < 5 {
			t.Errorf("%d usable checkpoints in 2 hours, want one in 20 minutes", n)
		}
	})
}

// TestInterleavedChunks guards against a partly applied proposal, and against
// a writer without a result.
func TestInterleavedChunks(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.log.delay = 100 * time.Millisecond
		a, b := f.host(true), f.host(true)
		pa, pb := f.draft(a, "ra", largePath(1)), f.draft(b, "rb", largePath(2))
		reports := make(chan revision.Report, 2)
		go func() { reports <- f.submit(a, pa) }()
		go func() {
			time.Sleep(50 * time.Millisecond)
			reports <- f.submit(b, pb)
		}()
		for range 2 {
			if r := <-reports; r.ProposalStatus != revision.ProposalRefused || r.Result.Reason != revision.Withdrawn {
				t.Errorf("got %s %s (%v)", r.ProposalStatus, r.Result.Reason, r.Err)
			}
		}
		if r := f.propose(a, "ra", largePath(1)); r.ProposalStatus != revision.ProposalAccepted {
			t.Errorf("alone: %s %v", r.ProposalStatus, r.Err)
		}
		time.Sleep(time.Second)
		f.want(b, 1, a)
		f.propose(a, "rb", largePath(2))
		if records, err := a.RecordsAfter(revision.NoOffset, 100); err != nil || len(records) != 8 {
			t.Errorf("%d records, %v, want the 8 of 10 that fit into a reply", len(records), err)
		}
	})
}

// TestPeers guards against a host that needs the log although its peers have
// the records, and against records applied after a gap.
func TestPeers(t *testing.T) {
	inBubble(t, func(f *fleet) {
		reader, other := f.host(true), f.host(false)
		woken, cancel := other.Subscribe()
		defer cancel()
		f.propose(reader, "r1", "/r1")
		f.propose(reader, "r2", "/r2")
		records, err := reader.RecordsAfter(revision.NoOffset, 10)
		if err != nil || len(records) != 2 {
			t.Fatalf("%d records, %v", len(records), err)
		}
		var gap *configlog.MissingRecordsError
		if err := other.ApplyFromPeer(records[1:]); !errors.As(err, &gap) || gap.After != revision.NoOffset {
			t.Errorf("got %v, want a NotKeptError", err)
		}
		f.want(other, 0, nil)
		if few, err := reader.RecordsAfter(revision.NoOffset, 1); err != nil || len(few) != 1 {
			t.Errorf("%d records, %v, want 1", len(few), err)
		}
		if err := other.ApplyFromPeer(append(records, records...)); err != nil {
			t.Error(err)
		}
		f.want(other, 2, reader)
		<-woken
		third := f.host(false)
		if ok, err := third.AdoptSnapshot(other.Snapshot()); !ok || err != nil {
			t.Errorf("adopted %t, %v", ok, err)
		}
		if _, err := third.RecordsAfter(revision.NoOffset, 10); !errors.As(err, &gap) {
			t.Errorf("got %v, want a NotKeptError", err)
		}
		if r := f.propose(third, "r3", "/r3"); r.ProposalStatus != revision.ProposalUnknown {
			t.Errorf("without a way to read the log: %s", r.ProposalStatus)
		}
	})
}
