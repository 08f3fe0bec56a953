package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// rejectionCounts counts how often each request was run by a target.
type rejectionCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (rc *rejectionCounts) add(id string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.runs[id]++
}

func (rc *rejectionCounts) count(id string) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.runs[id]
}

// repeatingHandler returns a handler that rejects the first request of each connection
// and runs the later ones. write sends the response to a later request, together with a
// copy of the rejection, and reports whether the connection stays open.
func (rc *rejectionCounts) repeatingHandler(withID bool, write func(c net.Conn, r *http.Request, stray, answer string) (keep bool)) func(int, net.Conn, *http.Request) bool {
	var mu sync.Mutex
	strays := map[net.Conn]string{}
	return func(n int, c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Id")
		if n == 0 {
			header := ""
			if withID {
				header = "X-Id: " + id + "\r\n"
			}
			rejection := "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + header + "Content-Length: 4\r\n\r\nfull"
			mu.Lock()
			strays[c] = rejection
			mu.Unlock()
			_, _ = io.Copy(io.Discard, r.Body)
			_, err := io.WriteString(c, rejection)
			return err == nil
		}
		rc.add(id)
		mu.Lock()
		stray := strays[c]
		mu.Unlock()
		return write(c, r, stray, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: 4\r\n\r\nmine")
	}
}

// TestRepeatedRejection checks that a copy of an earlier rejection, written once more on
// a kept connection, does not make a request that a target runs count as not run: the
// caller would be told so, or the request would run at a second target. The request may
// be the rejected one itself, which is sent to the same target again.
func TestRepeatedRejection(t *testing.T) {
	moments := map[string]func(c net.Conn, r *http.Request, stray, answer string) (keep bool){
		"before the body": func(c net.Conn, r *http.Request, stray, answer string) bool {
			_, _ = io.WriteString(c, stray)
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, answer)
			return true
		},
		"while it runs": func(c net.Conn, r *http.Request, stray, answer string) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, stray)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, answer)
			return true
		},
		"directly before the response": func(c net.Conn, r *http.Request, stray, answer string) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, stray+answer)
			return true
		},
		"instead of the response": func(c net.Conn, r *http.Request, stray, _ string) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, stray)
			return false
		},
	}
	for moment, write := range moments {
		for _, echo := range []bool{true, false} {
			for _, withID := range []bool{true, false} {
				for _, targets := range []int{1, 2} {
					for _, path := range []string{"/order", "/upload", "/lookup"} {
						t.Run(fmt.Sprintf("%s/echo=%v/id=%v/%d targets%s", moment, echo, withID, targets, path), func(t *testing.T) {
							t.Parallel()
							rc := &rejectionCounts{runs: map[string]int{}}
							var addresses []string
							for range targets {
								addresses = append(addresses, newRawTarget(t, rc.repeatingHandler(withID, write)).address)
							}
							h := newRepeatingHost(t, echo, addresses)
							for i := range 4 {
								rc.checkRequest(t, h, path, fmt.Sprint("id-", i))
							}
							if withID && len(rc.runs) == 0 {
								t.Error("no request was sent on a kept connection")
							}
						})
					}
				}
			}
		}
	}
}

func newRepeatingHost(t *testing.T, echo bool, addresses []string) *testHost {
	d := nonNativeDialect()
	d.TargetsEchoRequestID = echo
	return newTestHostWith(t, func(o *hostOptions) {
		o.Dialect, o.target.Dialect = d, d
		o.dispatch.SelectByCost = true
		o.dispatch.RetryAllowance = 100
		for i := range o.dispatch.Classes {
			o.dispatch.Classes[i].MaxAttempts = 3
		}
	}, 4, addresses...)
}

// checkRequest sends a request and compares the response with what the targets ran.
func (rc *rejectionCounts) checkRequest(t *testing.T, h *testHost, path, id string) {
	t.Helper()
	size := 10
	if path == "/upload" {
		size = 100 << 10
	}
	r := h.send(t.Context(), "POST", path, strings.Repeat("x", size), "X-Id", id, "X-Left", "2000")
	runs := rc.count(id)
	if impliesNotRun(r.status) && runs > 0 {
		t.Errorf("%s: status %d %s for a request that ran", id, r.status, r.body)
	}
	if path != "/lookup" && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	if r.status == 200 && r.body != "mine" {
		t.Errorf("%s got %q", id, r.body)
	}
}
