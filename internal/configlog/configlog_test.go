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

// TestLogDownAtStart guards against a host that cannot start from a peer's
// snapshot while the log is down, or does not resume reading when the log recovers.
func TestLogDownAtStart(t *testing.T) {
	runInSynctest(t, func(f *fleet) {
		old := f.host(true)
		f.propose(old, "r1", "/r1")
		f.log.update(func() { f.log.down = true })
		late := f.host(true)
		time.Sleep(time.Hour)
		f.wantRevision(late, 0, nil)
		if _, err := late.AdoptSnapshot(old.Snapshot()); err != nil {
			t.Fatal(err)
		}
		f.wantRevision(late, 1, old)
		if r := f.propose(late, "r2", "/r2"); r.ProposalStatus != revision.ProposalNotAppended {
			t.Errorf("with the log down: %s", r.ProposalStatus)
		}
		f.log.update(func() { f.log.down = false })
		time.Sleep(time.Minute)
		if r := f.propose(old, "r2", "/r2"); r.ProposalStatus != revision.ProposalAccepted {
			t.Errorf("with the log up: %s %v", r.ProposalStatus, r.Err)
		}
		time.Sleep(time.Second)
		f.wantRevision(late, 2, old)
		if late.count(configlog.LogUnavailable) != 1 || late.count(configlog.LogAvailable) != 1 {
			t.Errorf("events %v", late.events)
		}
	})
}

// TestSlowLog guards against a writer that gives up waiting for the result while the
// log is slow, here with 12 seconds for each operation.
func TestSlowLog(t *testing.T) {
	runInSynctest(t, func(f *fleet) {
		f.log.delay = 12 * time.Second
		h := f.host(true)
		if r := f.propose(h, "r1", "/r1"); r.ProposalStatus != revision.ProposalAccepted || r.Result.Revision != 1 {
			t.Errorf("got %s %+v", r.ProposalStatus, r.Result)
		}
	})
}

// TestLostAcknowledgement guards against a wrong result when the acknowledgement
// of an append is lost and the record was written, was not written, or is written
// after the withdrawal.
func TestLostAcknowledgement(t *testing.T) {
	unknown := &port.AppendUnknownError{Cause: errInjected}
	for name, c := range map[string]struct {
		fault  func(l *fakeLog) func([]byte) error
		status revision.ProposalStatus
		reason revision.Reason
		final  uint64
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
		runInSynctest(t, func(f *fleet) {
			h := f.host(true)
			f.log.update(func() { f.log.onAppend = c.fault(f.log) })
			r := f.propose(h, "r1", "/r1")
			if r.ProposalStatus != c.status || r.Result.Reason != c.reason {
				t.Errorf("%s: got %s, %s (%v)", name, r.ProposalStatus, r.Result.Reason, r.Err)
			}
			time.Sleep(2 * time.Minute)
			f.wantRevision(h, c.final, nil)
			if got, ok := h.Result(r.ID); !ok || got.Accepted != (c.status == revision.ProposalAccepted) {
				t.Errorf("%s: later result %+v", name, got)
			}
		})
	}
}

// TestConcurrentProposals guards against two concurrent proposals with the same
// base that are both reported as accepted.
func TestConcurrentProposals(t *testing.T) {
	runInSynctest(t, func(f *fleet) {
		a, b := f.host(true), f.host(true)
		f.propose(a, "r1", "/r1")
		time.Sleep(time.Second)
		pa, pb := f.draftRoute(a, "ra", "/a"), f.draftRoute(b, "rb", "/b")
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
		f.wantRevision(b, 2, a)
	})
}

// TestTruncatedWhilePaused guards against a host that skips records that the log
// dropped while the host was not reading.
func TestTruncatedWhilePaused(t *testing.T) {
	runInSynctest(t, func(f *fleet) {
		a, b := f.host(true), f.host(true)
		f.propose(a, "r1", "/r1")
		time.Sleep(time.Second)
		b.SetReading(false)
		f.propose(a, "r2", "/r2")
		f.propose(a, "r3", "/r3")
		f.log.update(func() { f.log.firstOffset = 2 })
		b.SetReading(true)
		time.Sleep(time.Minute)
		f.wantRevision(b, 1, nil)
		if b.count(configlog.NeedsSnapshot) == 0 {
			t.Error("no NeedsSnapshot event for the missing records")
		}
		checkpoint, err := logcodec.Encode(revision.Checkpoint{Snapshot: a.Snapshot()})
		if err != nil {
			t.Fatal(err)
		}
		f.log.write(checkpoint)
		time.Sleep(time.Minute)
		f.wantRevision(b, 3, a)
	})
}

// TestCheckpointWriters guards against a log whose retained records lack the
// configuration, and against checkpoints that every host writes.
func TestCheckpointWriters(t *testing.T) {
	runInSynctest(t, func(f *fleet) {
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
			t.Errorf("%d records after the first, not all of them valid checkpoints", got)
		}
		f.log.update(func() { f.log.firstOffset = int64(len(f.log.records)) - 1 })
		fresh := f.host(true)
		time.Sleep(time.Minute)
		f.wantRevision(fresh, 1, hosts[0])
	})
}

func checkpoints(retention time.Duration, host int) revision.CheckpointConfig {
	cfg := revision.DefaultCheckpointConfig(retention)
	cfg.Seed = uint64(host)
	return cfg
}

// TestConcurrentCheckpoints guards against lost checkpoints or diverging state when
// two hosts both consider themselves first in the rendezvous order and append
// checkpoints of several chunks, which can interleave.
func TestConcurrentCheckpoints(t *testing.T) {
	runInSynctest(t, func(f *fleet) {
		f.log.delay = 100 * time.Millisecond
		a, b := f.host(true), f.host(true)
		f.propose(a, "r1", largePath(1))
		for i, h := range []*host{a, b} {
			w := configlog.NewCheckpointWriter(f.log, h.Follower, "x", func() int { return 0 }, checkpoints(time.Hour, i))
			go w.Run(f.ctx)
		}
		time.Sleep(2 * time.Hour)
		f.wantRevision(a, 1, nil)
		f.wantRevision(b, 1, a)
		t.Logf("%d valid checkpoints in %d records", a.count(configlog.CheckpointSeen), len(f.log.records))
		if n := a.count(configlog.CheckpointSeen); n < 5 {
			t.Errorf("%d valid checkpoints in 2 hours, want one every 20 minutes", n)
		}
	})
}

// TestInterleavedChunks guards against a partially applied proposal, and against a
// writer that gets no result, when the chunks of two proposals interleave.
func TestInterleavedChunks(t *testing.T) {
	runInSynctest(t, func(f *fleet) {
		f.log.delay = 100 * time.Millisecond
		a, b := f.host(true), f.host(true)
		pa, pb := f.draftRoute(a, "ra", largePath(1)), f.draftRoute(b, "rb", largePath(2))
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
			t.Errorf("without a concurrent proposal: %s %v", r.ProposalStatus, r.Err)
		}
		time.Sleep(time.Second)
		f.wantRevision(b, 1, a)
		f.propose(a, "rb", largePath(2))
		if records, err := a.RecordsAfter(revision.NoOffset, 100); err != nil || len(records) != 8 {
			t.Errorf("%d records, %v, want the first 8 of 10 because of MaxPeerReplyBytes", len(records), err)
		}
	})
}

// TestRecordsAndSnapshotsFromPeers guards against a host that needs the log
// although its peers have the records, and against applying records after a gap.
func TestRecordsAndSnapshotsFromPeers(t *testing.T) {
	runInSynctest(t, func(f *fleet) {
		reader, other := f.host(true), f.host(false)
		notified, cancel := other.Subscribe()
		defer cancel()
		f.propose(reader, "r1", "/r1")
		f.propose(reader, "r2", "/r2")
		records, err := reader.RecordsAfter(revision.NoOffset, 10)
		if err != nil || len(records) != 2 {
			t.Fatalf("%d records, %v", len(records), err)
		}
		var gap *configlog.MissingRecordsError
		if err := other.ApplyFromPeer(records[1:]); !errors.As(err, &gap) || gap.After != revision.NoOffset {
			t.Errorf("got %v, want a MissingRecordsError", err)
		}
		f.wantRevision(other, 0, nil)
		if few, err := reader.RecordsAfter(revision.NoOffset, 1); err != nil || len(few) != 1 {
			t.Errorf("%d records, %v, want 1", len(few), err)
		}
		if err := other.ApplyFromPeer(append(records, records...)); err != nil {
			t.Error(err)
		}
		f.wantRevision(other, 2, reader)
		<-notified
		third := f.host(false)
		if ok, err := third.AdoptSnapshot(other.Snapshot()); !ok || err != nil {
			t.Errorf("adopted %t, %v", ok, err)
		}
		if _, err := third.RecordsAfter(revision.NoOffset, 10); !errors.As(err, &gap) {
			t.Errorf("got %v, want a MissingRecordsError", err)
		}
		if r := f.propose(third, "r3", "/r3"); r.ProposalStatus != revision.ProposalUnknown {
			t.Errorf("without records from the log or peers: %s", r.ProposalStatus)
		}
	})
}
