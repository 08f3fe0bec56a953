package revision_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
)

// TestAppend guards against a writer that reports a result which the log does
// not bear out, or none at all.
func TestAppend(t *testing.T) {
	datadriven.Walk(t, "testdata/append", func(t *testing.T, path string) {
		var a *revision.Append
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var seconds, offset int
			d.MaybeScanArgs(t, "at", &seconds)
			d.MaybeScanArgs(t, "offset", &offset)
			now := epoch.Add(time.Duration(seconds) * time.Second)
			var actions []revision.Action
			switch d.Cmd {
			case "start":
				a, actions = revision.NewAppend(now, revision.DefaultAppendConfig(), "p")
			case "proposal", "withdrawal":
				payload := map[string]revision.Payload{"proposal": revision.ProposalPayload, "withdrawal": revision.WithdrawalPayload}[d.Cmd]
				result := map[string]revision.AppendResult{"ack": revision.Acknowledged, "none": revision.NotAppended, "unknown": revision.AppendUnknown}[text(t, d, "result")]
				actions = a.HandleAppendResult(now, payload, result, int64(offset))
			case "applied":
				var res *revision.Result
				if id := text(t, d, "result"); id != "" {
					res = &revision.Result{ID: "p", Accepted: id == "accepted", Reason: revision.Withdrawn}
				}
				actions = a.HandleApplied(int64(offset), res)
			case "tick":
				actions = a.Tick(now)
			}
			return printActions(a, actions)
		})
	})
}

func printActions(a *revision.Append, actions []revision.Action) string {
	var out strings.Builder
	for _, action := range actions {
		switch action := action.(type) {
		case revision.Send:
			fmt.Fprintln(&out, [...]string{"send proposal", "send withdrawal"}[action.Payload])
		case revision.Report:
			fmt.Fprintf(&out, "report %s %s err=%v\n", action.ID, action.ProposalStatus, action.Err)
		}
	}
	next, ok := a.NextTick()
	fmt.Fprintf(&out, "next tick at=%s %t\n", next.Sub(epoch), ok)
	return out.String()
}

// TestCheckpointer guards against a log whose retention drops the state, and
// against every host appending a checkpoint at the same time.
func TestCheckpointer(t *testing.T) {
	const retention = 3 * time.Hour
	s := revision.New(logcodec.Decode)
	c := revision.NewCheckpointer(revision.DefaultCheckpointConfig(retention))
	if c.ShouldAppend(epoch.Add(time.Hour*99), s, 0) {
		t.Error("a checkpoint of nothing")
	}
	set := withRoute(s.Sections(), "r", "/r")
	log := &testLog{}
	s.Apply(log.addEntry(proposal("p", 0, s.Sections(), set)))
	for _, step := range []struct {
		after time.Duration
		rank  int
		want  bool
	}{
		{time.Hour - time.Second, 0, false},
		{time.Hour, 2, false},
		{time.Hour + 3*time.Second, 2, false},
		{time.Hour + 4*time.Second, 2, true},
		{time.Hour + 5*time.Second, 2, false},
		{time.Hour + 63*time.Second, 2, false},
		{time.Hour + 124*time.Second, 2, true},
	} {
		if got := c.ShouldAppend(epoch.Add(step.after), s, step.rank); got != step.want {
			t.Errorf("after %s with rank %d: %t, want %t", step.after, step.rank, got, step.want)
		}
	}
	r := log.addEntry(revision.Checkpoint{Snapshot: s.Snapshot()})
	r.Time = epoch.Add(time.Hour + 125*time.Second)
	if out := s.Apply(r); !out.Checkpoint {
		t.Fatal("the checkpoint is not usable")
	}
	if c.ShouldAppend(epoch.Add(time.Hour+200*time.Second), s, 0) {
		t.Error("a checkpoint soon after another host's")
	}
	if !c.ShouldAppend(epoch.Add(2*time.Hour+125*time.Second), s, 0) {
		t.Error("the checkpoint is not renewed in a quiet log")
	}
}

// TestHistoryIsBounded guards against a state that grows with every refusal,
// and against a proposal that is accepted twice after it has left the history.
func TestHistoryIsBounded(t *testing.T) {
	s := revision.New(logcodec.Decode)
	log := &testLog{}
	first := proposal("p", 0, s.Sections(), withRoute(s.Sections(), "r", "/r"))
	s.Apply(log.addEntry(first))
	for i := range revision.MaxResults {
		s.Apply(log.addEntry(revision.Withdrawal{ID: fmt.Sprint(i), Base: 1}))
	}
	if _, ok := s.Result("p"); ok || len(s.Results()) != revision.MaxResults {
		t.Errorf("%d results are kept", len(s.Results()))
	}
	for _, e := range []revision.Entry{first, revision.Withdrawal{ID: "p"}} {
		if out := s.Apply(log.addEntry(e)); out.Status != revision.Applied || out.Result != nil {
			t.Errorf("repeated %T: %+v", e, out)
		}
	}
	if s.Revision() != 1 {
		t.Errorf("revision %d, want 1", s.Revision())
	}
}
