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

func (f *fleet) setLogFaults(faults standin.LogFaults) {
	f.t.Helper()
	put(f.t, f.logURL+standin.FaultPath, faults)
}

// readLog returns the records that the log service retains.
func (f *fleet) readLog() standin.LogBatch {
	f.t.Helper()
	var batch standin.LogBatch
	if err := get(f.logURL+"/v1/log/records?from=0&limit=10000", &batch); err != nil {
		f.t.Fatal(err)
	}
	return batch
}

// stateFromLog computes the configuration state by applying the records of the
// log.
func (f *fleet) stateFromLog() *revision.State {
	f.t.Helper()
	state := revision.New(logcodec.Decode)
	for _, r := range f.readLog().Records {
		state.Apply(revision.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMs), Data: r.Data})
	}
	return state
}

// checkProposalResult compares a result reported to an operator with the log.
func (f *fleet) checkProposalResult(reported adminapi.ProposalResult) {
	f.t.Helper()
	decision, decided := f.stateFromLog().Result(reported.ID)
	accepted := decided && decision.Accepted
	switch {
	case reported.Result == adminapi.ResultAccepted && (!accepted || decision.Revision != reported.Revision || decision.Offset != reported.Offset),
		reported.Result == adminapi.ResultRefused && accepted:
		f.t.Errorf("the reported result is %+v, the result in the log %+v (decided: %t)", reported, decision, decided)
	}
}

// TestLogServiceFaults guards against wrong or missing proposal results when
// the log service is unavailable or slow, or when the acknowledgement of an
// append is lost, whether or not the record was stored.
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
		{"unavailable", standin.LogFaults{Outage: true}, adminapi.ResultRefused, "the log service did not take the document"},
		{"slow", standin.LogFaults{DelayMs: 700}, adminapi.ResultAccepted, ""},
		{"acknowledgement lost", standin.LogFaults{LoseAcks: 1}, adminapi.ResultAccepted, ""},
		{"append and acknowledgement lost", standin.LogFaults{DropAppends: 1}, adminapi.ResultRefused, "withdrawn"},
	} {
		f.setLogFaults(c.faults)
		result, code := f.hosts[i%2].apply(t, revision, f.document(fmt.Sprintf("document-%d", i)))
		if err := f.lookupOnAllHosts(); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		f.setLogFaults(standin.LogFaults{})
		if result.Result != c.want || !strings.Contains(result.Reason, c.reason) || (code == 0) != (c.want == adminapi.ResultAccepted) {
			t.Errorf("%s: exit code %d, %+v, want %s with %q", c.name, code, result, c.want, c.reason)
		}
		f.checkProposalResult(result)
		if result.Result == adminapi.ResultAccepted {
			revision++
		}
		f.waitRevision(revision, f.hosts...)
	}
}

// lookupOnAllHosts sends a lookup to every host.
func (f *fleet) lookupOnAllHosts() error {
	for _, h := range f.hosts {
		if r, err := send(httpClient, http.MethodGet, h.caller+"/errata/1", nil); err != nil || r.status != http.StatusOK {
			return fmt.Errorf("%s: %+v, %v", h.id, r, err)
		}
	}
	return nil
}

// TestUnknownProposalResult guards against a proposal with an unknown result
// whose final result cannot be queried or differs between hosts.
func TestUnknownProposalResult(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	const appendDelay = 29 * time.Second
	f.setLogFaults(standin.LogFaults{HoldAppendsMs: int(appendDelay.Milliseconds())})
	result, code := f.hosts[0].apply(t, 1, f.document("second"))
	if result.Result != adminapi.ResultUnknown || result.ID == "" || code != 3 {
		t.Fatalf("exit code %d, %+v, want unknown with an ID and 3", code, result)
	}
	f.setLogFaults(standin.LogFaults{})
	waitFor(t, "the log contains the proposal", func() bool {
		_, decided := f.stateFromLog().Result(result.ID)
		return decided
	})
	decision, _ := f.stateFromLog().Result(result.ID)
	for _, h := range f.hosts {
		var final adminapi.ProposalResult
		waitFor(t, "the final result on "+h.id, func() bool {
			_, out := runCtl(t, "", "document", "status", "-output", "json", "-admin", h.admin, result.ID)
			return json.Unmarshal([]byte(out), &final) == nil && final.Result != adminapi.ResultUnknown
		})
		if (final.Result == adminapi.ResultAccepted) != decision.Accepted || final.Offset != decision.Offset {
			t.Errorf("%s reports %+v, the result in the log is %+v", h.id, final, decision)
		}
	}
	f.waitRevision(f.stateFromLog().Revision(), f.hosts...)
}

// TestConcurrentProposals guards against two concurrent proposals with the same
// base both being accepted, and against a refusal that doesn't name the
// accepted proposal.
func TestConcurrentProposals(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	// The delay makes both proposals reach the log before any host has read
	// either of them.
	f.setLogFaults(standin.LogFaults{DelayMs: 100})
	for base := uint64(1); base <= 3; base++ {
		var results [2]adminapi.ProposalResult
		var pending sync.WaitGroup
		for i := range results {
			pending.Add(1)
			go func() {
				defer pending.Done()
				results[i], _ = f.hosts[i].apply(t, base, f.document(fmt.Sprintf("document-%d-%d", base, i)))
			}()
		}
		pending.Wait()
		winner, loser := results[0], results[1]
		if winner.Result != adminapi.ResultAccepted {
			winner, loser = loser, winner
		}
		if winner.Result != adminapi.ResultAccepted || loser.Result != adminapi.ResultRefused || !strings.Contains(loser.Reason, winner.ID) {
			t.Errorf("results %+v and %+v, want one accepted and the other refused with the ID of the accepted one", winner, loser)
		}
		f.checkProposalResult(winner)
		f.checkProposalResult(loser)
		f.waitRevision(base+1, f.hosts...)
	}
}

// TestLimitedRetention guards against losing the configuration when the log no
// longer retains the document: a host without peers must restore it from a
// checkpoint.
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
	waitFor(t, "the log no longer retains the document", func() bool { return f.readLog().First > result.Offset })
	// With a separate host list, the new host discovers no peers.
	f.hostsURL = "http://" + f.startStandin("hosts", "-lag", "0")
	isolated := f.addHost("host-3", "a", "-log-retention", retention)
	if got := f.waitRevision(2, isolated); got != hash {
		t.Errorf("hash is %s, want %s", got, hash)
	}
	if len(isolated.members()) != 1 {
		t.Error("the host has peers, so the test doesn't cover recovery from the log alone")
	}
}

func (h *host) members() (members []adminapi.Member) {
	_ = get(h.admin+adminapi.PathMembers, &members)
	return members
}

// TestHostWithoutLogAndPeers guards against a host without a configuration that
// executes requests, doesn't report why it has none, or doesn't recover when
// the log becomes reachable.
func TestHostWithoutLogAndPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addTargets(1)
	proxy := newProxy(t, strings.TrimPrefix(f.logURL, "http://"))
	proxy.setTCPBlocked(true)
	h := f.addHost("host-1", "a", "-log-url", "http://"+proxy.address)
	r, err := send(httpClient, http.MethodPost, h.caller+"/notices/1", http.Header{"X-Run-Key": {"early"}})
	if err != nil || r.status != http.StatusServiceUnavailable || r.outcome != ingress.OutcomeNotRun || !strings.Contains(r.body, "neither the log service nor a peer") {
		t.Errorf("response: %+v, %v, want 503 and not-run with the reason", r, err)
	}
	if result, code := h.apply(t, 0, f.document("first")); code == 0 || !strings.Contains(result.Reason, "the log service did not take the document") {
		t.Errorf("apply without the log: exit code %d, %+v", code, result)
	}
	proxy.setTCPBlocked(false)
	f.mustApply(0, f.document("first"))
	if r, err = send(httpClient, http.MethodPost, h.caller+"/notices/1", http.Header{"X-Run-Key": {"late"}}); err != nil || r.outcome != ingress.OutcomeAnswered {
		t.Errorf("response: %+v, %v, want answered", r, err)
	}
	if executions := f.executions(); executions["early"] != 0 || executions["late"] != 1 {
		t.Errorf("the requests were executed %d and %d times, want 0 and 1", executions["early"], executions["late"])
	}
}
