package app

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestStopUnderLoad answers callers that go on using a host that is stopped, on new and
// on open connections: it guards against requests that the host has read, among them
// ones that had just been accepted, and whose connection ends without a whole answer.
func TestStopUnderLoad(t *testing.T) {
	g, stop := runGateway(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, "done")
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var answered, next atomic.Int64
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			for ctx.Err() == nil {
				answered.Add(callUntilClosed(g.settings.CallerAddress, &next, i%2 == 0))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if err := stop(); err != nil {
		t.Error(err)
	}
	cancel()
	callers.Wait()
	if arrived := int64(g.ingress.TotalRequests()); arrived != answered.Load() || arrived < 1000 {
		t.Errorf("%d of %d requests that the host read were answered", answered.Load(), arrived)
	}
}

// callUntilClosed sends requests over a connection, one if it is used once, and returns
// the number of whole answers.
func callUntilClosed(address string, next *atomic.Int64, once bool) (answered int64) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(time.Millisecond)
		return 0
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		id := fmt.Sprintf("id-%d", next.Add(1))
		if _, err := fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\nbody", id); err != nil {
			return answered
		}
		if !readAnswer(br, id) {
			return answered
		}
		answered++
		if once {
			return answered
		}
	}
}

// readAnswer reads an answer and reports whether it is whole and that of the request.
func readAnswer(br *bufio.Reader, id string) bool {
	response, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err == nil && response.Header.Get("X-Id") == id
}
