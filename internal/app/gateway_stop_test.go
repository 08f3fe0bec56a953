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

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// TestStopUnderLoad guards against requests that a stopping host has read but does not answer
// completely, including requests on connections that it has just accepted. Callers keep using the host
// over new and open connections while it stops.
func TestStopUnderLoad(t *testing.T) {
	// With this timeout the host serves for half of the grace period.
	const timeout = 3 * time.Second
	class := document.Class{Deadline: document.Duration(timeout), Timeout: document.Duration(timeout)}
	g, stop := runGatewayFor(t, gatewayConfigurationFor(class), 4, func(w http.ResponseWriter, r *http.Request) {
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
	for g.ingress.TotalRequests() < 1000 {
		time.Sleep(10 * time.Millisecond)
	}
	before := int64(g.ingress.TotalRequests())
	if err := stop(); err != nil {
		t.Error(err)
	}
	cancel()
	callers.Wait()
	arrived := int64(g.ingress.TotalRequests())
	if arrived != answered.Load() {
		t.Errorf("%d of %d requests that the host read got a complete response", answered.Load(), arrived)
	}
	if arrived-before < 100 {
		t.Errorf("only %d requests arrived while the host stopped", arrived-before)
	}
}

// callUntilClosed sends requests over one connection until it is closed, or a single request if once is
// set, and returns the number of complete responses.
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
		if !readResponse(br, id) {
			return answered
		}
		answered++
		if once {
			return answered
		}
	}
}

// readResponse reads a response and reports whether it is complete and carries the ID of the request.
func readResponse(br *bufio.Reader, id string) bool {
	response, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err == nil && response.Header.Get("X-Id") == id
}
