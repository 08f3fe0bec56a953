package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// refuseBody answers a request without reading its body.
func refuseBody(w http.ResponseWriter, r *http.Request) {
	defer DiscardBody(r)
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusRequestEntityTooLarge)
}

// startRefusing starts a server that reads no body and whose budget has the given size.
func startRefusing(t *testing.T, budgetBytes int64) (*Server, string, *membudget.Budget) {
	t.Helper()
	memory := membudget.New(membudget.DefaultConfig(budgetBytes))
	s, address := startServer(t, Config{Handler: http.HandlerFunc(refuseBody), Limits: Limits{Memory: memory, ReceiveBuffer: 32 << 10}})
	return s, address, memory
}

// framings are the ways to send a body of a length.
func framings(length int) map[string]string {
	body := strings.Repeat("b", length)
	return map[string]string{
		"declared": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body),
		"chunked":  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, body),
	}
}

// TestRefusalIsRead guards against a connection that is reset right after a refusal, so that a peer that sends
// its whole body before it reads does not get the refusal.
func TestRefusalIsRead(t *testing.T) {
	s, address, memory := startRefusing(t, 64<<20)
	for _, length := range []int{1 << 10, 200 << 10, 400 << 10} {
		for name, framing := range framings(length) {
			t.Run(fmt.Sprintf("%s %d", name, length), func(t *testing.T) {
				c, br := dial(t, address)
				write(t, c, "POST / HTTP/1.1\r\nHost: h\r\n"+framing)
				res, err := http.ReadResponse(br, nil)
				if err != nil || res.StatusCode != http.StatusRequestEntityTooLarge || !res.Close {
					t.Fatalf("got %v, %v, want status 413", res, err)
				}
				if _, err := br.ReadByte(); err != io.EOF {
					t.Errorf("the connection ended with %v, want the end of the stream", err)
				}
				c.Close()
			})
		}
	}
	awaitUnused(t, memory)
	if stats := s.LimitStats(); stats.Discards != 6 || stats.DiscardsCut != 0 || stats.DiscardsNarrowed != 0 {
		t.Errorf("counted %+v", stats)
	}
}

// awaitUnused waits until nothing of a budget is in use.
func awaitUnused(t *testing.T, memory *membudget.Budget) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); memory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are in use without connections", memory.Used())
		}
	}
}

// sendUntilClosed sends a body until the connection ends and returns the number of bytes that the kernel took.
func sendUntilClosed(w io.Writer) (sent int) {
	block := make([]byte, 16<<10)
	for {
		n, err := w.Write(block)
		sent += n
		if err != nil {
			return sent
		}
	}
}

// TestDiscardIsBounded guards against a server that reads a refused body on without end, or keeps its connection
// open as long as bytes arrive.
func TestDiscardIsBounded(t *testing.T) {
	// The kernel of the peer takes some megabytes that the server never sees.
	const kernelBytes = 16 << 20
	for name, head := range map[string]string{
		"declared": fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<40),
		"chunked":  "Transfer-Encoding: chunked\r\n\r\n40000000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, address, memory := startRefusing(t, 64<<20)
			c, _ := dial(t, address)
			write(t, c, "POST / HTTP/1.1\r\nHost: h\r\n"+head)
			if sent := sendUntilClosed(c); sent > maxDiscardBytes+kernelBytes {
				t.Errorf("%d bytes were taken", sent)
			}
			awaitUnused(t, memory)
			if stats := s.LimitStats(); stats.DiscardsCut != 1 {
				t.Errorf("counted %+v", stats)
			}
		})
	}
}

// TestDiscardWithoutRoom guards against refused bodies that fill the kernel's buffers when the budget has no room
// for these, and against a refusal that is not read then.
func TestDiscardWithoutRoom(t *testing.T) {
	s, address, memory := startRefusing(t, 2*discardBuffer)
	c, br := dial(t, address)
	write(t, c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<40))
	if res, err := http.ReadResponse(br, nil); err != nil || res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("got %v, %v, want status 413", res, err)
	}
	sendUntilClosed(c)
	awaitUnused(t, memory)
	if stats := s.LimitStats(); stats.DiscardsNarrowed != 1 {
		t.Errorf("counted %+v", stats)
	}
}

// TestDiscardingConnectionsYield guards against connections whose refused bodies are discarded and that keep out
// others.
func TestDiscardingConnectionsYield(t *testing.T) {
	const limit = 8
	s, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			refuseBody(w, r)
			return
		}
		echoPath(w, r)
	}), Limits: Limits{MaxConnections: limit}})
	for range limit {
		c, _ := dial(t, address)
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nshort")
	}
	awaitServed(t, address)
	if stats := s.LimitStats(); stats.EvictedDiscarding == 0 {
		t.Errorf("counted %+v", stats)
	}
}
