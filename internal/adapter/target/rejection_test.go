package target

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// Moments at which a target writes a copy of an earlier rejection.
const (
	whileIdle       = "while the connection is idle"
	atFirstByte     = "at the first byte of the request"
	afterHead       = "between head and body of the request"
	whileRunning    = "while the request runs"
	beforeAnswer    = "directly before the response"
	inAnswerHead    = "in the head of the response"
	inAnswerBody    = "in the body of the response"
	insteadOfAnswer = "instead of the response"
	thenSilence     = "instead of the response, connection kept"
)

var moments = []string{whileIdle, atFirstByte, afterHead, whileRunning, beforeAnswer, inAnswerHead, inAnswerBody, insteadOfAnswer, thenSilence}

// rejectionStatuses are those with which a target can state that a request did not run.
var rejectionStatuses = []string{"503 Full", "429 Many", "421 Other", "400 Bad"}

// repeatingTarget rejects the first request of each connection and runs the later ones.
// With each later request it writes a copy of the rejection.
type repeatingTarget struct {
	moment string
	status string
	// copyID returns the ID in the copy, from those of the rejected and the current
	// request; "" omits the header.
	copyID func(rejected, current string) string

	mu   sync.Mutex
	runs map[string]int
}

func (rt *repeatingTarget) rejection(id string) string {
	if id != "" {
		id = "X-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 " + rt.status + "\r\nX-Not-Run: 1\r\n" + id + "Content-Length: 4\r\n\r\nfull"
}

func (rt *repeatingTarget) count(id string) int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.runs[id]
}

func (rt *repeatingTarget) run(id string) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.runs[id]++
}

// serve handles one connection.
func (rt *repeatingTarget) serve(_ int, c net.Conn) {
	br := bufio.NewReader(c)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	rejected := req.Header.Get("X-Id")
	_, _ = io.WriteString(c, rt.rejection(rt.copyID(rejected, rejected)))
	if rt.moment == whileIdle {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, rt.rejection(rt.copyID(rejected, "")))
	}
	for rt.serveNext(br, c, rejected) {
	}
}

// serveNext runs one request and returns false if the connection ends.
func (rt *repeatingTarget) serveNext(br *bufio.Reader, c net.Conn, rejected string) bool {
	if _, err := br.Peek(1); err != nil {
		return false
	}
	if rt.moment == atFirstByte {
		_, _ = io.WriteString(c, rt.rejection(rt.copyID(rejected, "")))
	}
	req, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	id := req.Header.Get("X-Id")
	rt.run(id)
	stray := rt.rejection(rt.copyID(rejected, id))
	if rt.moment == afterHead {
		_, _ = io.WriteString(c, stray)
		time.Sleep(5 * time.Millisecond)
	}
	_, _ = io.Copy(io.Discard, req.Body)
	status, head, body := "HTTP/1.1 200 OK\r\nX-Part", fmt.Sprintf(": 1\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\n", id), "mine"
	switch rt.moment {
	case whileRunning:
		_, _ = io.WriteString(c, stray)
		time.Sleep(20 * time.Millisecond)
	case beforeAnswer:
		status = stray + status
	case inAnswerHead:
		status += stray
	case inAnswerBody:
		head += stray
	case insteadOfAnswer:
		_, _ = io.WriteString(c, stray)
		return false
	case thenSilence:
		_, _ = io.WriteString(c, stray)
		_, _ = br.Peek(1)
		return false
	}
	_, err = io.WriteString(c, status+head+body)
	return err == nil
}

func strayDialect(echo bool) dialect.Dialect {
	return dialect.Dialect{RequestID: "X-Id", TargetsEchoRequestID: echo, NotRun: "X-Not-Run", ExpectTarget: "X-Only", Deadline: "X-Left"}
}

// TestRepeatedRejection guards against taking a copy of an earlier rejection, written
// once more on a kept connection, as proof that a later request did not run, while the
// target runs it, and against delivering it as the response.
func TestRepeatedRejection(t *testing.T) {
	copies := map[string]func(rejected, current string) string{
		"ID of the rejected request": func(rejected, _ string) string { return rejected },
		"no ID":                      func(string, string) string { return "" },
		"ID lost in the copy": func(rejected, current string) string {
			if rejected == current {
				return rejected
			}
			return ""
		},
	}
	bodies := map[string]int{"without body": 0, "small body": 10, "streamed body": 100 << 10}
	for _, echo := range []bool{true, false} {
		for copyName, copyID := range copies {
			for bodyName, size := range bodies {
				for i, moment := range moments {
					rt := &repeatingTarget{moment: moment, status: rejectionStatuses[i%len(rejectionStatuses)], copyID: copyID, runs: map[string]int{}}
					t.Run(fmt.Sprintf("echo=%v/%s/%s/%s", echo, copyName, bodyName, moment), func(t *testing.T) {
						t.Parallel()
						checkRepeatedRejection(t, rt, echo, size)
					})
				}
			}
		}
	}
}

// checkRepeatedRejection sends a request that is rejected and then three others.
func checkRepeatedRejection(t *testing.T, rt *repeatingTarget, echo bool, size int) {
	address := serveTCP(t, rt.serve)
	tr := newTransport(t, func(c *Config) { c.Dialect, c.NonIdempotentReuse = strayDialect(echo), time.Minute })
	sentOnKept := false
	for i := range 4 {
		id := fmt.Sprint("r", i)
		trace := &Trace{}
		a := Attempt{
			Address: address, Method: http.MethodPost, URI: "/", RequestID: id, ExpectTarget: "t",
			Statuses: Statuses{Shed: []int{429, 503}}, Trace: trace,
		}
		if size > 0 {
			a.Body, a.ContentLength = bytes.NewReader(make([]byte, size)), int64(size)
		}
		timeout := testTimeout
		if i > 0 && rt.moment == thenSilence {
			timeout = 200 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		response, res := tr.Do(ctx, a)
		var body []byte
		if response != nil {
			body, _ = io.ReadAll(response.Body)
			res = response.Finish()
		}
		cancel()
		if ran := rt.count(id) > 0; res.NotRun && ran {
			t.Errorf("%s ran and is reported as not run (reused connection: %v): %+v", id, trace.Reused, res)
		} else if i == 0 && !res.NotRun {
			t.Errorf("the rejection of %s is no proof: %+v %v", id, res, trace.Err)
		}
		sentOnKept = sentOnKept || trace.Reused
		if res.Kind == attempt.Answered && string(body) != "mine" && rt.moment != inAnswerBody {
			t.Errorf("%s got %q", id, body)
		}
		if rt.moment == whileIdle {
			time.Sleep(40 * time.Millisecond)
		}
	}
	if identified := rt.copyID("r0", "r0") != ""; identified && rt.moment != whileIdle && !sentOnKept {
		t.Error("no request was sent on a kept connection")
	}
}
