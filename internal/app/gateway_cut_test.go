package app

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// lockedBuffer is a buffer for the output of a log. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestCutRequestsAreLogged guards against a stop that cuts a request at the end of the grace period and leaves no
// line about it, so that the loss cannot be traced.
func TestCutRequestsAreLogged(t *testing.T) {
	const requests = 5
	arrived := make(chan string, requests)
	class := document.Class{Deadline: document.Duration(time.Minute), Timeout: document.Duration(time.Minute)}
	g, stop := runGatewayFor(t, gatewayConfigurationFor(class), 200, func(_ http.ResponseWriter, r *http.Request) {
		// The server notices that the connection is closed only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- r.Header.Get("X-Id")
		<-r.Context().Done()
	})
	out := &lockedBuffer{}
	g.log.(*logrus.Logger).SetOutput(out)
	g.settings.GracePeriod = forcedCloseMargin + 500*time.Millisecond
	for i := range requests {
		conn, err := net.Dial("tcp", g.settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := fmt.Fprintf(conn, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: cut-%d\r\nContent-Length: 4\r\n\r\nbody", i); err != nil {
			t.Fatal(err)
		}
	}
	var ids []string
	for range requests {
		ids = append(ids, <-arrived)
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
	for _, id := range ids {
		if !strings.Contains(out.String(), "event=attempt") || !strings.Contains(out.String(), "request_id="+id) {
			t.Errorf("no line names the request %s, which was cut", id)
		}
	}
}
