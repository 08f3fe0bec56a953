package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// foreignDialect returns a dialect in which callers assign the request IDs and the
// status code alone conveys the outcome.
func foreignDialect() dialect.Dialect {
	return dialect.Dialect{
		RequestID: "X-Id", KeepCallerRequestID: true, Deadline: "X-Left", ExpectTarget: "X-Only", NotRun: "X-Not-Run", Load: "X-Load",
		AllowCloseDelimited: true, StatusImpliesOutcome: true, FractionalRetryAfter: true,
	}
}

func newForeignHost(t *testing.T, slots int, addresses ...string) *testHost {
	return newTestHostWith(t, func(o *hostOptions) {
		o.Dialect, o.target.Dialect = foreignDialect(), foreignDialect()
		o.dispatch.SelectByCost = true
		o.dispatch.RetryAllowance = 100
		for i := range o.dispatch.Classes {
			o.dispatch.Classes[i].MaxAttempts = 2
		}
	}, slots, addresses...)
}

// respondingTarget starts a target that sends the result of respond for each
// request. It closes the connection if the result is empty or contains "close".
func respondingTarget(t *testing.T, respond func(r *http.Request) string) string {
	return newRawTarget(t, func(_ int, c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		text := respond(r)
		_, err := io.WriteString(c, text)
		return err == nil && text != "" && !strings.Contains(text, "close")
	}).address
}

// TestStatusTellsOutcome checks that the status conveys "not run" exactly for the
// requests that have certainly not run.
func TestStatusTellsOutcome(t *testing.T) {
	for _, tt := range []struct {
		name, response string
		path           string
		want           int
	}{
		{"refused, not run", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "/order", 503},
		{"refused without not-run header", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", "/order", 502},
		{"other target", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", "/order", 503},
		{"closed without response", "", "/order", 502},
		{"failed", "HTTP/1.1 500 No\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nno", "/order", 500},
		{"no length, closed", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\n\r\nyes", "/order", 200},
		{"extra bytes", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nyesHTTP/1.1 500 x\r\n\r\n", "/order", 200},
		{"truncated", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\nContent-Length: 9\r\n\r\nyes", "/order", 502},
		{"other request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nyes", "/order", 502},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newForeignHost(t, 2, respondingTarget(t, func(r *http.Request) string {
				if r.Header.Get("X-Only") != "t0" || r.Header.Get("X-Left") == "" || r.Header.Get("X-Id") != "id-1" {
					t.Errorf("header %v", r.Header)
				}
				if strings.Contains(tt.response, "%s") {
					return fmt.Sprintf(tt.response, r.Header.Get("X-Id"))
				}
				return tt.response
			}))
			// Only the header of the target counts as proof, not its status.
			h.ActiveConfig().Backends["s"].Classes["order"].NotRunStatuses = nil
			r := h.send(t.Context(), "POST", tt.path, "body", "X-Id", "id-1", "X-Left", "900")
			if r.err != nil || r.status != tt.want {
				t.Fatalf("%+v, want status %d", r, tt.want)
			}
			if wait := r.header.Get("Retry-After"); (wait != "") != (tt.want == 503) {
				t.Errorf("status %d with Retry-After %q", tt.want, wait)
			}
			if r.header.Get("Sapphirehaven-Outcome") != "" || r.header.Get("X-Id") != "id-1" {
				t.Errorf("header %v", r.header)
			}
		})
	}
}

// TestRequestWithoutID checks that a request without an ID is rejected if callers
// assign the request IDs.
func TestRequestWithoutID(t *testing.T) {
	h := newForeignHost(t, 2, respondingTarget(t, func(*http.Request) string {
		t.Error("the request reached the target")
		return ""
	}))
	if r := h.send(t.Context(), "GET", "/lookup", ""); r.status != http.StatusBadRequest {
		t.Errorf("%+v", r)
	}
}

// TestAPIWithoutMembers checks that the API paths return 404 if the API is
// disabled.
func TestAPIWithoutMembers(t *testing.T) {
	s := New(Config{Host: "h", Recorder: stubPorts{}, Dialect: foreignDialect()})
	s.Activate(&ActiveConfig{Routes: route.New(nil), Backends: map[ident.ServiceName]*Backend{"s": {Service: &document.Service{Name: "s"}}}})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", apiPrefix+"addresses?service=s", nil))
	if w.Code != http.StatusNotFound {
		t.Errorf("status %d", w.Code)
	}
}

// TestLateResponseIsSkipped checks that a late response to an earlier request,
// received on the same connection before the expected response, is discarded and
// does not make the request fail.
func TestLateResponseIsSkipped(t *testing.T) {
	requests := 0
	h := newForeignHost(t, 2, respondingTarget(t, func(r *http.Request) string {
		requests++
		id := r.Header.Get("X-Id")
		response := "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 4\r\n\r\nmine"
		if requests == 2 {
			return "HTTP/1.1 200 OK\r\nX-Id: late\r\nContent-Length: 4\r\n\r\nlate" + response
		}
		return response
	}))
	for _, id := range []string{"id-1", "id-2", "id-3"} {
		if r := h.send(t.Context(), "POST", "/order", "body", "X-Id", id); r.status != 200 || r.body != "mine" || r.header.Get("X-Id") != id {
			t.Errorf("%s: %+v", id, r)
		}
	}
}

// TestTimeoutOfClass checks that the timeout of the class applies if it is shorter
// than the deadline sent by the caller.
func TestTimeoutOfClass(t *testing.T) {
	h := newForeignHost(t, 2, respondingTarget(t, func(r *http.Request) string {
		if left := r.Header.Get("X-Left"); left > "1200" || len(left) > 4 {
			t.Errorf("the target is told that %s ms are left", left)
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	}))
	h.ActiveConfig().Backends["s"].Classes["order"].Timeout = 1_200_000_000
	if r := h.send(t.Context(), "POST", "/order", "", "X-Id", "id-1", "X-Left", "60000"); r.status != 200 {
		t.Errorf("%+v", r)
	}
}

// TestRequestsWaitForFirstConfiguration checks that requests wait for the first
// configuration of a host. After a power loss of all hosts, callers reconnect as
// soon as the hosts listen, shortly before these have a configuration.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Host: "h", Recorder: stubPorts{}, InitialConfigWait: time.Second})
		serve := func() int {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest("GET", "/none", nil))
			return w.Code
		}
		start := time.Now()
		if status := serve(); status != 503 || time.Since(start) != time.Second {
			t.Errorf("status %d after %s without a configuration", status, time.Since(start))
		}
		time.AfterFunc(300*time.Millisecond, func() { s.Activate(&ActiveConfig{Routes: route.New(nil)}) })
		start = time.Now()
		if status := serve(); status != 404 || time.Since(start) != 300*time.Millisecond {
			t.Errorf("status %d after %s with a configuration after 300 ms", status, time.Since(start))
		}
	})
}
