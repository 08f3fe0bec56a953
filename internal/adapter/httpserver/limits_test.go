package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

const request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"

// TestHeaderLimits guards against request heads that exceed the limits of the configuration, and against
// limits that heads within them meet.
func TestHeaderLimits(t *testing.T) {
	const limit = 2 << 10
	s, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%d %v", len(body), err)
	})})
	s.SetHeaderLimits(limit, 300*time.Millisecond)
	head := func(size int) string {
		const frame = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000\r\nA: \r\n\r\n"
		return strings.Replace(frame, "A: ", "A: "+strings.Repeat("a", size-len(frame)), 1)
	}
	body := strings.Repeat("b", 8000)
	c, br := dial(t, address)
	for range 3 {
		write(t, c, head(limit)+body)
		expectBody(t, br, "8000 <nil>")
	}
	// The last line of a head can be the first that is read of it after a response.
	write(t, c, head(limit)+body+head(500)[:498])
	expectBody(t, br, "8000 <nil>")
	write(t, c, "\r\n"+body)
	expectBody(t, br, "8000 <nil>")
	// Bytes that arrive before the server waits for them are not counted.
	awaitConnections(t, s, Connections{Idle: 1})
	write(t, c, head(limit+1))
	if res, err := http.ReadResponse(br, nil); err != nil || res.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !res.Close {
		t.Errorf("a head beyond the limit got %v, %v, want status 431", res, err)
	}
	// net/http waits for the fourth byte of a further request without a time limit.
	late, lateReader := dial(t, address)
	write(t, late, request)
	expectBody(t, lateReader, "0 <nil>")
	awaitConnections(t, s, Connections{Idle: 1})
	write(t, late, "G")
	expectClosed(t, lateReader)
	// net/http answers the first empty line that is not allowed.
	empty, emptyReader := dial(t, address)
	write(t, empty, strings.Repeat("\r\n", 100))
	if res, err := http.ReadResponse(emptyReader, nil); err != nil || res.StatusCode != http.StatusBadRequest {
		t.Errorf("empty lines got %v, %v, want status 400", res, err)
	}
	if stats := s.LimitStats(); stats.HeadsTooLarge != 1 || stats.HeadsTimedOut != 1 {
		t.Errorf("counted %+v", stats)
	}
}

// TestHeadsTakeMemory guards against heads with many fields, which take many times their size.
func TestHeadsTakeMemory(t *testing.T) {
	memory := membudget.New(membudget.DefaultConfig(2 * (4*connectionBytes + 200<<10)))
	s, address := startServer(t, Config{Handler: http.HandlerFunc(echoPath), Limits: Limits{Memory: memory}})
	first, firstReader := dial(t, address)
	write(t, first, "GET /1 HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 800))
	awaitConnections(t, s, Connections{Reading: 1})
	second, secondReader := dial(t, address)
	write(t, second, "GET /1 HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 800))
	if res, err := http.ReadResponse(secondReader, nil); err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("a head without room got %v, %v, want status 503", res, err)
	}
	write(t, first, "Host: h\r\n\r\n")
	expectBody(t, firstReader, "/1")
	first.Close()
	second.Close()
	awaitUnused(t, memory)
}

// TestWaitingConnectionsYield guards against connections that send nothing and keep out others, and
// against the loss of a request that arrives while its connection is closed for another one.
func TestWaitingConnectionsYield(t *testing.T) {
	const limit = 32
	s, address := startServer(t, Config{Handler: http.HandlerFunc(echoPath), Limits: Limits{MaxConnections: limit}})
	for i := range 5 * limit {
		c, br := dial(t, address)
		if i%2 == 0 {
			continue
		}
		if _, err := io.WriteString(c, request); err != nil {
			continue
		}
		// A refused connection is closed with the request unread, and may be reset.
		if res, err := http.ReadResponse(br, nil); err == nil && res.StatusCode != http.StatusOK && res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d", res.StatusCode)
		}
		if open := s.Connections(); open.New+open.Idle+open.Reading+open.Serving > limit {
			t.Fatalf("%+v exceed %d", open, limit)
		}
	}
	awaitServed(t, address)
	if stats := s.LimitStats(); stats.EvictedWaiting == 0 || stats.Refused == 0 {
		t.Errorf("counted %+v, want refused and closed connections", stats)
	}
}

// awaitServed sends requests on new connections until one is served.
func awaitServed(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		c, br := dial(t, address)
		_, _ = io.WriteString(c, request)
		if res, err := http.ReadResponse(br, nil); err == nil && res.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no request is served")
		}
	}
}

// TestClientWithManyConnectionsYields guards against a client whose connections displace those of another.
func TestClientWithManyConnectionsYields(t *testing.T) {
	const limit = 32
	s, address := startServer(t, Config{Handler: http.HandlerFunc(echoPath), Limits: Limits{MaxConnections: limit}})
	other := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	c, err := other.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	awaitConnections(t, s, Connections{New: 1})
	for end := time.Now().Add(10 * time.Second); s.LimitStats().EvictedWaiting < limit; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("counted %+v", s.LimitStats())
		}
		dial(t, address)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	write(t, c, request)
	expectBody(t, bufio.NewReader(c), "/1")
}

// TestLastConnectionsAreForOthers guards against a client that takes all connections with requests that cannot
// be ended for others.
func TestLastConnectionsAreForOthers(t *testing.T) {
	const limit = 32
	s, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		echoPath(w, r)
	}), Limits: Limits{MaxConnections: limit}})
	for range 2 * limit {
		c, _ := dial(t, address)
		_, _ = io.WriteString(c, "POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nshort")
	}
	for end := time.Now().Add(10 * time.Second); s.LimitStats().Refused < limit; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("counted %+v", s.LimitStats())
		}
	}
	other := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	c, err := other.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	write(t, c, request)
	expectBody(t, bufio.NewReader(c), "/1")
	if stats := s.LimitStats(); stats.RefusedForShare == 0 {
		t.Errorf("counted %+v", stats)
	}
}

// TestRequestTimeout guards against connections that are held forever by a body that stops short of its end and
// that the handler does not read, and against a timeout of requests that closes idle connections.
func TestRequestTimeout(t *testing.T) {
	s, address := startServer(t, Config{Handler: http.HandlerFunc(echoPath), RequestTimeout: 100 * time.Millisecond, IdleTimeout: time.Hour})
	short, shortReader := dial(t, address)
	write(t, short, "GET /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nshort")
	expectBody(t, shortReader, "/1")
	short.Close()
	idle, idleReader := dial(t, address)
	for range 2 {
		write(t, idle, request)
		expectBody(t, idleReader, "/1")
		awaitConnections(t, s, Connections{Idle: 1})
		time.Sleep(200 * time.Millisecond)
	}
}

// TestUnreadResponsesYield guards against callers that do not read their responses and keep out others.
func TestUnreadResponsesYield(t *testing.T) {
	block := make([]byte, 64<<10)
	s, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 256 {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}), Limits: Limits{SendBuffer: 16 << 10}})
	for range 4 {
		c, _ := dial(t, address)
		write(t, c, request)
	}
	awaitConnections(t, s, Connections{Serving: 4})
	for end := time.Now().Add(30 * time.Second); s.LimitStats().EvictedWriting < 3; time.Sleep(10 * time.Millisecond) {
		s.CloseUnread(1)
		if time.Now().After(end) {
			t.Fatalf("counted %+v", s.LimitStats())
		}
	}
	awaitConnections(t, s, Connections{Serving: 1})
	if s.CloseUnread(1); s.LimitStats().EvictedWriting != 3 {
		t.Error("more connections were closed than needed")
	}
}

// TestLargeBodyWithSmallBuffer guards against a buffer of the kernel that stops a body, or that stays
// large after it.
func TestLargeBodyWithSmallBuffer(t *testing.T) {
	_, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%d %v", n, err)
	}), Limits: Limits{ReceiveBuffer: 4 << 10, BodyReceiveBuffer: 64 << 10, SendBuffer: 4 << 10}})
	c, br := dial(t, address)
	for range 2 {
		write(t, c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 8<<20, strings.Repeat("b", 8<<20)))
		expectBody(t, br, fmt.Sprintf("%d <nil>", 8<<20))
	}
}
