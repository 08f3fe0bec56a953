package ingress

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// TestLatestStart guards against a stopping host that passes on requests which it may be unable to answer
// before its end, and against one that rejects requests which end in time anyway.
func TestLatestStart(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for _, c := range []struct {
		name                                  string
		end, arrival, deadline, typical, want float64
		limited                               bool
	}{
		{name: "deadline within the stop", end: 5.5, arrival: 4, deadline: 5.4},
		{name: "deadline at the end of the stop", end: 5.5, arrival: 4, deadline: 5.5, typical: 1},
		{name: "deadline after the stop, typical time unknown", end: 5.5, deadline: 5.6, limited: true},
		{name: "typical time fits", end: 5.5, arrival: 2.7, deadline: 20, typical: 0.5, want: 5, limited: true},
		{name: "arrived before the stop", end: 5.5, arrival: -3, deadline: 20, typical: 0.5, want: 5, limited: true},
		{name: "typical time longer than the stop", end: 5.5, deadline: 20, typical: 8, want: -2.5, limited: true},
		{name: "arrived in the second half", end: 5.5, arrival: 2.8, deadline: 20, typical: 0.5, limited: true},
		{name: "arrived late in a long stop", end: 30, arrival: 3.1, deadline: 40, typical: 1, limited: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDrain()
			d.startedAt, d.deadline = start, at(c.end)
			got, limited := d.latestStart(timing{at(c.arrival), at(c.deadline), time.Duration(c.typical * float64(time.Second))})
			if limited != c.limited || limited && !got.Equal(at(c.want)) {
				t.Errorf("latest start %s after the start of the stop (limited: %v), want %v s (%v)", got.Sub(start), limited, c.want, c.limited)
			}
		})
	}
}

// TestAttemptTimes guards against an estimate that too many attempts exceed, or that stays far above them
// after their time has changed.
func TestAttemptTimes(t *testing.T) {
	var e attemptTimes
	if got := e.upperBound(3 * time.Second); got != 3*time.Second {
		t.Errorf("without attempts %s, want the fallback", got)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, mean := range []time.Duration{2 * time.Second, 200 * time.Millisecond} {
		exceeded := 0
		for i := range 1000 {
			took := mean/2 + time.Duration(rng.Int64N(int64(mean)))
			if i > 100 && took > e.upperBound(0) {
				exceeded++
			}
			e.add(took)
		}
		if exceeded > 10 {
			t.Errorf("%d of 900 attempts took longer than the estimate", exceeded)
		}
		if got := e.upperBound(0); got > 3*mean {
			t.Errorf("estimate %s for attempts of %s on average", got, mean)
		}
	}
}

// TestStopRejectsRequestsThatNeedLonger guards against a stopping host that passes on a request, or lets it
// wait for a target, whose deadline lies after the stop, and against one that rejects requests which end
// in time.
func TestStopRejectsRequestsThatNeedLonger(t *testing.T) {
	handle, started, _ := silentHandler()
	h := newTestHost(t, 1, newRawTarget(t, handle).address)
	go h.send(t.Context(), http.MethodPost, "/order", "x", dialect.Native().Deadline, "3000")
	<-started
	waiting := make(chan testResponse, 1)
	go func() { waiting <- h.send(t.Context(), http.MethodPost, "/order", "x") }()
	waitFor(t, "the second request does not wait", func() bool {
		status, _ := h.engine.Status()
		return status.Waiting == 1
	})
	begin := time.Now()
	h.Drain(begin.Add(2 * time.Second))
	if r := <-waiting; r.status != http.StatusServiceUnavailable || r.outcome != OutcomeNotRun {
		t.Errorf("response to the waiting request: %+v", r)
	}
	h.expect(t, http.StatusServiceUnavailable, OutcomeNotRun, http.MethodPost, "/order", "x")
	if took := time.Since(begin); took > time.Second {
		t.Errorf("the rejections took %s, want none to wait", took)
	}
	if r := h.send(t.Context(), http.MethodPost, "/order", "x", dialect.Native().Deadline, "100"); r.err != nil || strings.Contains(r.body, "host_stopping") {
		t.Errorf("response to a request that ends in time: %+v", r)
	}
	if len(started) != 0 {
		t.Errorf("%d requests were passed on", len(started))
	}
}

// TestStopDeliversResponseOfTarget guards against a stopping host that replaces the response of a failed
// attempt by one of its own because it makes no further attempt.
func TestStopDeliversResponseOfTarget(t *testing.T) {
	started, release := make(chan struct{}, 10), make(chan struct{})
	handle := func(_ int, c net.Conn, _ *http.Request) bool {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed")
		return true
	}
	h := newTestHost(t, 1, newRawTarget(t, handle).address, newRawTarget(t, handle).address)
	response := make(chan testResponse, 1)
	go func() { response <- h.send(t.Context(), http.MethodGet, "/lookup", "") }()
	<-started
	h.Drain(time.Now().Add(2 * time.Second))
	close(release)
	if r := <-response; r.status != http.StatusInternalServerError || r.body != "failed" || r.outcome != OutcomeAnswered {
		t.Errorf("response %+v, want that of the target", r)
	}
	if n := len(started); n != 0 {
		t.Errorf("%d further attempts", n)
	}
}

// TestStopDoesNotAwaitBodies guards against a stopping host that reads the body of a request which it may
// not pass on, and cuts the connection without an answer at the end of the stop if the body is slow.
func TestStopDoesNotAwaitBodies(t *testing.T) {
	for _, c := range []struct {
		name string
		// late is set if the request arrives after the start of the stop.
		late bool
	}{{"body is read when the stop starts", false}, {"request arrives in the stop", true}} {
		t.Run(c.name, func(t *testing.T) {
			handle, started, _ := silentHandler()
			h := newTestHost(t, 1, newRawTarget(t, handle).address)
			if c.late {
				h.Drain(time.Now().Add(3 * time.Second))
			}
			conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nx")
			waitFor(t, "the request is not read", func() bool { return h.TotalRequests() == 1 })
			if !c.late {
				h.Drain(time.Now().Add(3 * time.Second))
			}
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			defer response.Body.Close()
			if outcome := response.Header.Get(dialect.Native().Outcome); response.StatusCode != http.StatusServiceUnavailable || outcome != OutcomeNotRun || !response.Close {
				t.Errorf("status %d, outcome %q, close %v; want a rejection that ends the connection", response.StatusCode, outcome, response.Close)
			}
			if len(started) != 0 {
				t.Error("the request was passed on")
			}
		})
	}
}
