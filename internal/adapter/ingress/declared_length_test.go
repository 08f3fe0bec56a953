package ingress

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestDeclaredLength guards against a declared length of a response that makes the
// handler panic: the caller got no answer and the attempt kept its slot for ever.
func TestDeclaredLength(t *testing.T) {
	for _, length := range []int64{math.MaxInt64, math.MaxInt64 - 1, 1 << 62, 1 << 40, 1 << 31} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			endless := newRawTarget(t, func(_ int, c net.Conn, _ *http.Request) bool {
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
				for err == nil {
					_, err = io.WriteString(c, strings.Repeat("x", 16<<10))
					time.Sleep(time.Millisecond)
				}
				return false
			})
			h := newTestHost(t, 1, endless.address)
			for range 3 {
				began := time.Now()
				r := h.send(t.Context(), http.MethodPost, "/order", "body", "Sapphirehaven-Deadline-Ms", "300")
				if r.status == http.StatusOK && r.err == nil {
					t.Error("a response without end counts as complete")
				}
				if r.status == 0 {
					t.Errorf("the connection was closed without an answer: %v", r.err)
				}
				if took := time.Since(began); took > 2*time.Second {
					t.Errorf("the request took %s, its deadline was 300 ms", took)
				}
				h.awaitIdle(t)
			}
		})
	}
}
