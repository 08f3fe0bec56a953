//go:build linux

package systemtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
	"github.com/sapphirehaven/sapphirehaven/internal/standin"
)

func (f *fleet) logFaults(faults standin.LogFaults) {
	f.t.Helper()
	put(f.t, f.logURL+standin.FaultPath, faults)
}

// readLog returns the retained records of the log service.
func (f *fleet) readLog() standin.LogBatch {
	f.t.Helper()
	var batch standin.LogBatch
	if err := get(f.logURL+"/v1/log/records?from=0&limit=10000", &batch); err != nil {
		f.t.Fatal(err)
	}
	return batch
}

// truth applies the log's rule to the content of the log.
func (f *fleet) truth() *revision.State {
	f.t.Helper()
	state := revision.New(logcodec.Decode)
	for _, r := range f.readLog().Records {
		state.Apply(revision.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMs), Data: r.Data})
	}
	return state
}

// checkReport compares what an operator was told with the log.
func (f *fleet) checkReport(told adminapi.ProposalResult) {
	f.t.Helper()
	decision, decided := f.truth().Result(told.ID)
	accepted := decided && decision.Accepted
	switch {
	case told.Result == adminapi.ResultAccepted && (!accepted || decision.Revision != told.Revision || decision.Offset != told.Offset),
		told.Result == adminapi.ResultRefused && accepted:
		f.t.Errorf("the operator was told %+v, the log says %+v (decided: %t)", told, decision, decided)
	}
}

// Guards against untrue or missing reports about documents when the log service
// is out or slow, and when its acknowledgement is lost after or before the
// write takes effect.
func TestLogServiceFaults(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	revision := uint64(1)
	for i, c := range []struct {
		name   string
		faults standin.LogFaults
		want   string
		reason string
	}{
		{"out", standin.LogFaults{Outage: true}, adminapi.ResultRefused, "the log service did not take the document"},
		{"slow", standin.LogFaults{DelayMs: 700}, adminapi.ResultAccepted, ""},
		{"acknowledgement lost", standin.LogFaults{LoseAcks: 1}, adminapi.ResultAccepted, ""},
		{"append and acknowledgement lost", standin.LogFaults{DropAppends: 1}, adminapi.ResultRefused, "withdrawn"},
	} {
		f.logFaults(c.faults)
		result, code := f.hosts[i%2].apply(t, revision, f.document(fmt.Sprintf("document-%d", i)))
		if err := f.lookupEverywhere(); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		f.logFaults(standin.LogFaults{})
		if result.Result != c.want || !strings.Contains(result.Reason, c.reason) || (code == 0) != (c.want == adminapi.ResultAccepted) {
			t.Errorf("%s: exit code %d, %+v, want %s with %q", c.name, code, result, c.want, c.reason)
		}
		f.checkReport(result)
		if result.Result == adminapi.ResultAccepted {
			revision++
		}
		f.waitRevision(revision, f.hosts...)
	}
}

// lookupEverywhere sends a lookup to every host.
func (f *fleet) lookupEverywhere() error {
	for _, h := range f.hosts {
		if r, err := send(httpClient, http.MethodGet, h.caller+"/errata/1", nil); err != nil || r.status != http.StatusOK {
			return fmt.Errorf("%s: %+v, %v", h.id, r, err)
		}
	}
	return nil
}

// Guards against a document with an unknown result whose final result cannot be
// found or differs between hosts.
func TestUnknownDocument(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	const held = 29 * time.Second
	f.logFaults(standin.LogFaults{HoldAppendsMs: int(held.Milliseconds())})
	result, code := f.hosts[0].apply(t, 1, f.document("second"))
	if result.Result != adminapi.ResultUnknown || result.ID == "" || code != 3 {
		t.Fatalf("exit code %d, %+v, want unknown with an ID and 3", code, result)
	}
	f.logFaults(standin.LogFaults{})
	waitFor(t, "the log has the document", func() bool {
		_, decided := f.truth().Result(result.ID)
		return decided
	})
	truth, _ := f.truth().Result(result.ID)
	for _, h := range f.hosts {
		var final adminapi.ProposalResult
		waitFor(t, "the final result on "+h.id, func() bool {
			_, out := ctl(t, "", "document", "status", "-output", "json", "-admin", h.admin, result.ID)
			return json.Unmarshal([]byte(out), &final) == nil && final.Result != adminapi.ResultUnknown
		})
		if (final.Result == adminapi.ResultAccepted) != truth.Accepted || final.Offset != truth.Offset {
			t.Errorf("%s reports %+v, the log says %+v", h.id, final, truth)
		}
	}
	f.waitRevision(f.truth().Revision(), f.hosts...)
}

// Guards against two documents with the same base both being accepted, or the
// loser not learning which one won.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	// The delay makes both proposals reach the log before either is known.
	f.logFaults(standin.LogFaults{DelayMs: 100})
	for base := uint64(1); base <= 3; base++ {
		var results [2]adminapi.ProposalResult
		var racing sync.WaitGroup
		for i := range results {
			racing.Add(1)
			go func() {
				defer racing.Done()
				results[i], _ = f.hosts[i].apply(t, base, f.document(fmt.Sprintf("document-%d-%d", base, i)))
			}()
		}
		racing.Wait()
		winner, loser := results[0], results[1]
		if winner.Result != adminapi.ResultAccepted {
			winner, loser = loser, winner
		}
		if winner.Result != adminapi.ResultAccepted || loser.Result != adminapi.ResultRefused || !strings.Contains(loser.Reason, winner.ID) {
			t.Errorf("results %+v and %+v, want one accepted and the other refused naming the winner", winner, loser)
		}
		f.checkReport(winner)
		f.checkReport(loser)
		f.waitRevision(base+1, f.hosts...)
	}
}

// Guards against the configuration being lost when the log no longer retains
// the document: a host without peers rebuilds it from a checkpoint.
func TestLimitedRetention(t *testing.T) {
	t.Parallel()
	const retention = "10s"
	f := newFleet(t, "-max-age", retention)
	f.addTargets(1)
	f.addHost("host-1", "a", "-log-retention", retention)
	f.addHost("host-2", "b", "-log-retention", retention)
	f.mustApply(0, f.document("first"))
	result, code := f.hosts[0].apply(t, 1, f.document("second"))
	if code != 0 {
		t.Fatalf("apply: %+v", result)
	}
	hash := f.waitRevision(2, f.hosts...)
	waitFor(t, "the log has dropped the document", func() bool { return f.readLog().First > result.Offset })
	// In a list of its own, no other host finds it.
	f.hostsURL = "http://" + f.standin("hosts", "-lag", "0")
	alone := f.addHost("host-3", "a", "-log-retention", retention)
	if got := f.waitRevision(2, alone); got != hash {
		t.Errorf("the hash is %s, want %s", got, hash)
	}
	if len(alone.members()) != 1 {
		t.Error("the host knows peers, so the log alone was not tested")
	}
}

func (h *host) members() (members []adminapi.Member) {
	_ = get(h.admin+adminapi.PathMembers, &members)
	return members
}

// Guards against a host without a configuration executing requests, hiding the
// reason, or not recovering.
func TestHostWithoutLogAndPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addTargets(1)
	relay := newRelay(t, strings.TrimPrefix(f.logURL, "http://"))
	relay.setCut(true)
	h := f.addHost("host-1", "a", "-log-url", "http://"+relay.address)
	r, err := send(httpClient, http.MethodPost, h.caller+"/notices/1", http.Header{"X-Run-Key": {"early"}})
	if err != nil || r.status != http.StatusServiceUnavailable || r.outcome != ingress.OutcomeNotRun || !strings.Contains(r.body, "neither the log service nor a peer") {
		t.Errorf("the response is %+v, %v, want 503 and not-run with the reason", r, err)
	}
	if result, code := h.apply(t, 0, f.document("first")); code == 0 || !strings.Contains(result.Reason, "the log service did not take the document") {
		t.Errorf("apply without the log: exit code %d, %+v", code, result)
	}
	relay.setCut(false)
	f.mustApply(0, f.document("first"))
	if r, err = send(httpClient, http.MethodPost, h.caller+"/notices/1", http.Header{"X-Run-Key": {"late"}}); err != nil || r.outcome != ingress.OutcomeAnswered {
		t.Errorf("the response is %+v, %v, want answered", r, err)
	}
	if runs := f.runs(); runs["early"] != 0 || runs["late"] != 1 {
		t.Errorf("the requests ran %d and %d times, want 0 and 1", runs["early"], runs["late"])
	}
}
