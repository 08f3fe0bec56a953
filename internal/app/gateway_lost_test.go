package app

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// requestLedger records which requests reached a target and which were answered.
type requestLedger struct {
	mu       sync.Mutex
	arrived  map[string]time.Time
	answered map[string]bool
	ids      atomic.Int64
}

func newRequestLedger() *requestLedger {
	return &requestLedger{arrived: map[string]time.Time{}, answered: map[string]bool{}}
}

// targetHandler returns the handler of a target that takes a random time up to longest for each
// request.
func (l *requestLedger) targetHandler(longest time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Id")
		l.mu.Lock()
		l.arrived[id] = time.Now()
		l.mu.Unlock()
		time.Sleep(rand.N(longest))
		w.Header().Set("X-Id", id)
		_, _ = fmt.Fprint(w, "done")
	}
}

// lost returns the requests that reached the target and got no complete response.
func (l *requestLedger) lost() map[string]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]time.Time{}
	for id, at := range l.arrived {
		if !l.answered[id] {
			out[id] = at
		}
	}
	return out
}

// call sends requests over one kept connection after another, with a pause before each, until stop
// is closed. It opens a new connection after a response that closes the old one.
func (l *requestLedger) call(address string, pause func() time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		l.callOver(conn, pause, stop)
		_ = conn.Close()
	}
}

// callOver sends requests over a connection until it is closed.
func (l *requestLedger) callOver(conn net.Conn, pause func() time.Duration, stop <-chan struct{}) {
	br := bufio.NewReader(conn)
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause()):
		}
		id := fmt.Sprintf("id-%d", l.ids.Add(1))
		if _, err := fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\nbody", id); err != nil {
			return
		}
		if !readResponse(br, id) {
			return
		}
		l.mu.Lock()
		l.answered[id] = true
		l.mu.Unlock()
	}
}

// awaitAnswers waits until a number of requests have been answered.
func (l *requestLedger) awaitAnswers(t *testing.T, count int) {
	t.Helper()
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		answered := len(l.answered)
		l.mu.Unlock()
		if answered >= count {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("only %d requests were answered, want %d", answered, count)
		}
	}
}

// startCallers starts callers and returns a function that stops them.
func (l *requestLedger) startCallers(address string, callers int, pause func() time.Duration) (stop func()) {
	stopped := make(chan struct{})
	var running sync.WaitGroup
	for range callers {
		running.Go(func() { l.call(address, pause, stopped) })
	}
	return func() {
		close(stopped)
		running.Wait()
	}
}

// TestStopTakesNoRequestItCannotAnswer guards against a stopping host that passes on requests late in
// the grace period whose targets need longer than the rest of it, and then cuts them. Callers use
// kept connections until the host is gone.
func TestStopTakesNoRequestItCannotAnswer(t *testing.T) {
	for _, c := range []struct {
		name               string
		timeout, objective time.Duration
		longest            time.Duration
	}{
		{"timeout shorter than the grace period", 2 * time.Second, 800 * time.Millisecond, 1800 * time.Millisecond},
		{"timeout as long as the grace period", 6 * time.Second, 3 * time.Second, 2500 * time.Millisecond},
		{"no latency objective", 6 * time.Second, 0, 2500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ledger := newRequestLedger()
			class := document.Class{Deadline: document.Duration(c.timeout), Timeout: document.Duration(c.timeout), Objective: document.Duration(c.objective)}
			g, stop := runGatewayFor(t, gatewayConfigurationFor(class), 200, ledger.targetHandler(c.longest))
			stopCallers := ledger.startCallers(g.settings.CallerAddress, 100, func() time.Duration { return 30 * time.Millisecond })
			ledger.awaitAnswers(t, 100)
			stopped := time.Now()
			if err := stop(); err != nil {
				t.Error(err)
			}
			stopCallers()
			for id, at := range ledger.lost() {
				t.Errorf("%s reached the target %s after the start of the stop and got no response (of %d)", id, at.Sub(stopped).Round(time.Millisecond), len(ledger.arrived))
			}
		})
	}
}

// TestIdleTimeoutKeepsRequestsBeingRead guards against a connection that is closed as idle while its
// next request has been read in part or in whole.
func TestIdleTimeoutKeepsRequestsBeingRead(t *testing.T) {
	const idleTimeout = 30 * time.Millisecond
	ledger := newRequestLedger()
	config := gatewayConfiguration()
	config.Callers = registry.CallerLimits{IdleTimeout: idleTimeout}
	g, stop := runGatewayFor(t, config, 200, ledger.targetHandler(time.Millisecond))
	stopCallers := ledger.startCallers(g.settings.CallerAddress, 100, func() time.Duration { return idleTimeout - time.Millisecond + rand.N(2*time.Millisecond) })
	time.Sleep(3 * time.Second)
	stopCallers()
	if err := stop(); err != nil {
		t.Error(err)
	}
	if lost := ledger.lost(); len(lost) > 0 {
		t.Errorf("%d of %d requests that were passed on got no response", len(lost), len(ledger.arrived))
	}
}
