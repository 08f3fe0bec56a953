package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// repeatUntilClosed answers each request with a start and then sends the same bytes
// again and again until the connection is closed.
func repeatUntilClosed(t *testing.T, start, again string, pause time.Duration) (address string, closed <-chan struct{}) {
	done := make(chan struct{}, 8)
	return serve(t, func(_ int, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = io.WriteString(c, again)
			time.Sleep(pause)
		}
		done <- struct{}{}
	}), done
}

// endlessCases are responses that never end, by the place at which they do not.
var endlessCases = []struct {
	name, start, again string
	pause              time.Duration
}{
	{"no response", "", strings.Repeat("x", 1024), 0},
	{"status line", "HTTP/1.1 200 ", strings.Repeat("o", 1024), 0},
	{"header name", "HTTP/1.1 200 OK\r\n", strings.Repeat("n", 1024), 0},
	{"header value", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("v", 1024), 0},
	{"header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 0},
	{"informational", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("e", 1024), 0},
	{"empty lines of chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 2000) + "\r\nx\r\n", 0},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + strings.Repeat("t", 1024) + "\r\n", 0},
	{"one byte at a time", "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", "x", 20 * time.Millisecond},
}

// TestEndlessResponses guards against a target whose bytes never end: an attempt that
// goes on beyond its deadline, memory that grows with the bytes, a response that counts
// as complete, and a connection that stays open.
func TestEndlessResponses(t *testing.T) {
	for _, tt := range endlessCases {
		t.Run(tt.name, func(t *testing.T) {
			address, closed := repeatUntilClosed(t, tt.start, tt.again, tt.pause)
			tr := New(DefaultConfig())
			defer tr.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			began, before := time.Now(), heapInUse()
			response, result := tr.Do(ctx, Attempt{Address: address, Method: "GET", URI: "/", RequestID: "r1"})
			if response != nil {
				if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, 1<<30)); err == nil {
					t.Error("the body counts as complete")
				}
				result = response.Finish()
			}
			if result.Kind == attempt.Answered || result.NotSent || result.NotRun {
				t.Errorf("result %+v", result)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("the attempt took %s, its deadline was 500 ms", took)
			}
			if grown := heapInUse() - before; grown > 8<<20 {
				t.Errorf("%d bytes are kept", grown)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestBytesBeyondBody guards against bytes that follow a complete response without
// end: the next request on the connection must get neither them nor wait for them.
func TestBytesBeyondBody(t *testing.T) {
	address, _ := repeatUntilClosed(t, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nab", "junk", 0)
	cfg := DefaultConfig()
	cfg.Dialect = dialect.Dialect{RequestID: "X-Id", TargetsEchoRequestID: true}
	tr := New(cfg)
	defer tr.Close()
	response, _ := tr.Do(t.Context(), Attempt{Address: address, Method: "GET", URI: "/", RequestID: "r1"})
	if response == nil {
		t.Fatal("no response")
	}
	body, err := io.ReadAll(response.Body)
	if result := response.Finish(); string(body) != "ab" || err != nil || result.Kind != attempt.Answered {
		t.Errorf("body %q, %v, result %+v", body, err, result)
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	response, result := tr.Do(ctx, Attempt{Address: address, Method: "GET", URI: "/", RequestID: "r2"})
	if response != nil || result.Kind == attempt.Answered {
		t.Errorf("the second request got %+v, result %+v", response, result)
	}
}

// secondCopy answers each request, and after every first one of a connection sends the
// answer once more at the moment that when tells: just before the next
// answer, some time ahead of it, or behind its own.
func secondCopy(t *testing.T, when, copyID string) string {
	return serve(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			stray := "HTTP/1.1 200 OK\r\n" + copyID + "Content-Length: 4\r\n\r\nlate"
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\n", req.Header.Get("X-Id"))
			switch {
			case n == 1 && when == "before":
				_, _ = io.WriteString(c, stray+head+"mine")
			case n == 1 && when == "ahead":
				_, _ = io.WriteString(c, stray)
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, head+"mine")
			case n == 0 && when == "behind":
				_, _ = io.WriteString(c, head+"mine")
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, stray)
			default:
				_, _ = io.WriteString(c, head+"mine")
			}
		}
	})
}

// TestSecondCopyOfAnswer answers a target that sends a second copy of an answer late, on
// a connection that is in use again: the next caller must not get it, whether the copy
// names its request or not.
func TestSecondCopyOfAnswer(t *testing.T) {
	for _, when := range []string{"before", "ahead", "behind"} {
		for _, copyID := range []string{"X-Id: r1\r\n", ""} {
			t.Run(when+" "+strings.TrimSpace(copyID), func(t *testing.T) {
				cfg := DefaultConfig()
				cfg.Dialect = dialect.Dialect{RequestID: "X-Id", TargetsEchoRequestID: true}
				tr := New(cfg)
				defer tr.Close()
				address := secondCopy(t, when, copyID)
				for _, id := range []string{"r1", "r2", "r3"} {
					response, result := tr.Do(t.Context(), Attempt{Address: address, Method: "GET", URI: "/", RequestID: id})
					if response == nil {
						if result.Kind == attempt.Answered {
							t.Errorf("%s: %+v", id, result)
						}
						continue
					}
					body, err := io.ReadAll(response.Body)
					result = response.Finish()
					if result.Kind == attempt.Answered && (string(body) != "mine" || response.Header.Get("X-Id") != id) {
						t.Errorf("%s got %q of %q, %v", id, body, response.Header.Get("X-Id"), err)
					}
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
	}
}
