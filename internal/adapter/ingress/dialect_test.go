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

// foreign is a dialect in which callers name their requests and statuses tell what
// has run.
func foreign() dialect.Dialect {
	return dialect.Dialect{
		RequestID: "X-Id", KeepCallerRequestID: true, Deadline: "X-Left", ExpectTarget: "X-Only", NotRun: "X-Not-Run", Load: "X-Load",
		AllowCloseDelimited: true, StatusImpliesOutcome: true, FractionalRetryAfter: true,
	}
}

func foreignHost(t *testing.T, slots int, addresses ...string) *host {
	return newHostWith(t, func(o *options) {
		o.Dialect, o.target.Dialect = foreign(), foreign()
		o.dispatch.SelectByCost = true
		o.dispatch.RetryAllowance = 100
		for i := range o.dispatch.Classes {
			o.dispatch.Classes[i].MaxAttempts = 2
		}
	}, slots, addresses...)
}

// answering starts a target that answers each request with what respond returns,
// and closes the connection when that is empty or says so.
func answering(t *testing.T, respond func(r *http.Request) string) string {
	return serveRaw(t, func(_ int, c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		text := respond(r)
		_, err := io.WriteString(c, text)
		return err == nil && text != "" && !strings.Contains(text, "close")
	}).address
}

// TestStatusTellsOutcome guards against a status that promises "not run" for a
// request that may have run, and against a promise that is withheld.
func TestStatusTellsOutcome(t *testing.T) {
	for _, tt := range []struct {
		name, response string
		path           string
		want           int
	}{
		{"refused, not run", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "/order", 503},
		{"refused without a word", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", "/order", 502},
		{"other target", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", "/order", 503},
		{"closed without an answer", "", "/order", 502},
		{"failed", "HTTP/1.1 500 No\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nno", "/order", 500},
		{"no length, closed", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\n\r\nyes", "/order", 200},
		{"extra bytes", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nyesHTTP/1.1 500 x\r\n\r\n", "/order", 200},
		{"truncated", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\nContent-Length: 9\r\n\r\nyes", "/order", 502},
		{"other request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nyes", "/order", 502},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := foreignHost(t, 2, answering(t, func(r *http.Request) string {
				if r.Header.Get("X-Only") != "t0" || r.Header.Get("X-Left") == "" || r.Header.Get("X-Id") != "id-1" {
					t.Errorf("header %v", r.Header)
				}
				if strings.Contains(tt.response, "%s") {
					return fmt.Sprintf(tt.response, r.Header.Get("X-Id"))
				}
				return tt.response
			}))
			// The word of the target alone counts, not its status.
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

// TestRequestWithoutID guards against a request that reaches a target under an ID
// that no caller sent.
func TestRequestWithoutID(t *testing.T) {
	h := foreignHost(t, 2, answering(t, func(*http.Request) string {
		t.Error("the request reached the target")
		return ""
	}))
	if r := h.send(t.Context(), "GET", "/lookup", ""); r.status != http.StatusBadRequest {
		t.Errorf("%+v", r)
	}
}

// TestNoOwnResources guards against a host that fails when a caller asks for a
// resource that this deployment does not have.
func TestNoOwnResources(t *testing.T) {
	s := New(Config{Host: "h", Recorder: nothing{}, Dialect: foreign()})
	s.Activate(&ActiveConfig{Routes: route.New(nil), Backends: map[ident.ServiceName]*Backend{"s": {Service: &document.Service{Name: "s"}}}})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", ownPrefix+"addresses?service=s", nil))
	if w.Code != http.StatusNotFound {
		t.Errorf("status %d", w.Code)
	}
}

// TestLateResponseIsSkipped guards against an order that fails because a late
// response to an earlier request stands before its own on the connection, and
// against the delivery of that response.
func TestLateResponseIsSkipped(t *testing.T) {
	requests := 0
	h := foreignHost(t, 2, answering(t, func(r *http.Request) string {
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

// TestTimeoutOfClass guards against a caller that is kept waiting for its own
// deadline although the class has a shorter timeout.
func TestTimeoutOfClass(t *testing.T) {
	h := foreignHost(t, 2, answering(t, func(r *http.Request) string {
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

// TestRequestsWaitForFirstConfiguration guards against requests that are refused
// by a host that gets its configuration a moment later: when all hosts lose power,
// callers come back at the moment at which the hosts listen again.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Host: "h", Recorder: nothing{}, InitialConfigWait: time.Second})
		serve := func() int {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest("GET", "/none", nil))
			return w.Code
		}
		began := time.Now()
		if status := serve(); status != 503 || time.Since(began) != time.Second {
			t.Errorf("status %d after %s without a configuration", status, time.Since(began))
		}
		time.AfterFunc(300*time.Millisecond, func() { s.Activate(&ActiveConfig{Routes: route.New(nil)}) })
		began = time.Now()
		if status := serve(); status != 404 || time.Since(began) != 300*time.Millisecond {
			t.Errorf("status %d after %s with a configuration after 300 ms", status, time.Since(began))
		}
	})
}
