package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// startServer serves a handler on loopback and returns the server and its address.
func startServer(t *testing.T, cfg Config) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(cfg)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve returned %v", err)
		}
	})
	return s, l.Addr().String()
}

func echoPath(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// expectBody reads a response and compares its body.
func expectBody(t *testing.T, br *bufio.Reader, want string) {
	t.Helper()
	response, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != want {
		t.Fatalf("body of %d bytes, %.20q..., %v; want %d bytes, %.20q...", len(body), body, err, len(want), want)
	}
}

func expectClosed(t *testing.T, br *bufio.Reader) {
	t.Helper()
	if b, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("read %d, %v; want the end of the stream", b, err)
	}
}

// awaitConnections waits until the open connections are as wanted.
func awaitConnections(t *testing.T, s *Server, want Connections) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.Connections() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("connections are %+v, want %+v", s.Connections(), want)
		}
	}
}

// TestIdleTimeoutSparesPartialHeader guards against a connection that is closed as idle after a part of
// the next request has been read, and against one that stays open although nothing arrives.
func TestIdleTimeoutSparesPartialHeader(t *testing.T) {
	const idleTimeout = 200 * time.Millisecond
	s, address := startServer(t, Config{Handler: http.HandlerFunc(echoPath), IdleTimeout: idleTimeout, ReadHeaderTimeout: 10 * time.Second})
	c, br := dial(t, address)
	write(t, c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	expectBody(t, br, "/1")
	write(t, c, "GET /2 HTTP/1.1\r\nHo")
	awaitConnections(t, s, Connections{Reading: 1})
	time.Sleep(2 * idleTimeout)
	write(t, c, "st: h\r\n\r\n")
	expectBody(t, br, "/2")
	start := time.Now()
	expectClosed(t, br)
	if idle := time.Since(start); idle < idleTimeout/2 {
		t.Errorf("closed after %s, want %s", idle, idleTimeout)
	}
}

// TestIdleTimeoutChanges guards against a changed idle timeout that connections do not get.
func TestIdleTimeoutChanges(t *testing.T) {
	s, address := startServer(t, Config{Handler: http.HandlerFunc(echoPath), IdleTimeout: time.Hour})
	c, br := dial(t, address)
	write(t, c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	expectBody(t, br, "/1")
	awaitConnections(t, s, Connections{Idle: 1})
	s.SetIdleTimeout(50 * time.Millisecond)
	write(t, c, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	expectBody(t, br, "/2")
	expectClosed(t, br)
}

// TestShutdownSparesRequests guards against a shutdown that cuts a request of which a byte has been
// read, on a new connection and on one that was idle before, or that waits for connections without a
// request.
func TestShutdownSparesRequests(t *testing.T) {
	release := make(chan struct{})
	s, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/serving" {
			<-release
		}
		w.Header().Set("Connection", "close")
		echoPath(w, r)
	})})
	_, unused := dial(t, address)
	first, firstReader := dial(t, address)
	write(t, first, "GET /first HTTP/1.1\r\n")
	serving, servingReader := dial(t, address)
	write(t, serving, "GET /serving HTTP/1.1\r\nHost: h\r\n\r\n")
	awaitConnections(t, s, Connections{New: 1, Reading: 1, Serving: 1})
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	expectClosed(t, unused)
	awaitConnections(t, s, Connections{Reading: 1, Serving: 1})
	write(t, first, "Host: h\r\n\r\n")
	expectBody(t, firstReader, "/first")
	close(release)
	expectBody(t, servingReader, "/serving")
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		_ = c.Close()
		t.Error("the listener is still open")
	}
}

// gatedListener accepts connections of which nothing is read before the gate is opened.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

type gatedConn struct {
	*net.TCPConn
	gate chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c.(*net.TCPConn), l.gate}, nil
}

func (c gatedConn) Read(p []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(p)
}

// TestWaitEndReadsWhatHasArrived guards against a request that has arrived but is dropped unread, because
// the process was suspended or short of processor time until the wait for the request had ended.
func TestWaitEndReadsWhatHasArrived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Handler: http.HandlerFunc(echoPath)})
	gate := make(chan struct{})
	go func() { _ = s.Serve(gatedListener{l, gate}) }()
	defer s.Close()
	c, br := dial(t, l.Addr().String())
	write(t, c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	awaitConnections(t, s, Connections{New: 1})
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	for !s.isClosing() {
		time.Sleep(time.Millisecond)
	}
	close(gate)
	expectBody(t, br, "/1")
	expectClosed(t, br)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// TestShutdownEndsIdleConnections guards against a response without "Connection: close" after which a
// connection keeps a shutdown waiting.
func TestShutdownEndsIdleConnections(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{})
	s, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		echoPath(w, r)
	})})
	c, br := dial(t, address)
	write(t, c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	close(release)
	expectBody(t, br, "/1")
	expectClosed(t, br)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestShutdownEndsWithContext guards against a shutdown that outlasts its context, and against a Close
// that waits for requests.
func TestShutdownEndsWithContext(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	s, address := startServer(t, Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })})
	c, br := dial(t, address)
	write(t, c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	awaitConnections(t, s, Connections{Serving: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := s.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Shutdown returned %v", err)
	}
	s.Stop(50 * time.Millisecond)
	if _, err := br.ReadByte(); err == nil {
		t.Error("the connection is still open")
	}
}

// TestRequestsBehindClosingResponse guards against a response that is cut by a reset because further
// requests on its connection are unread when the connection is closed. The caller reads slowly, so that
// the end of the response is still unsent then.
func TestRequestsBehindClosingResponse(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<12)
	var served atomic.Int64
	s, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body)
	})})
	c, br := dial(t, address)
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	const request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
	go func() { _, _ = io.WriteString(c, strings.Repeat(request, 4000)) }()
	for served.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	awaitConnections(t, s, Connections{})
	time.Sleep(50 * time.Millisecond)
	expectBody(t, br, string(body))
	if n := served.Load(); n != 1 {
		t.Errorf("%d requests were served, want the first one only", n)
	}
}

// TestShutdownWaitsForPeers guards against a process that ends right after Shutdown while a caller has not
// read its whole response: the kernel resets connections with unread bytes then, and discards the rest of
// the response.
func TestShutdownWaitsForPeers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := &recordingListener{Listener: l}
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<12)
	served := make(chan struct{}, 1)
	s := New(Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served <- struct{}{}
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body)
	})})
	go func() { _ = s.Serve(accepted) }()
	defer s.Close()
	c, br := dial(t, l.Addr().String())
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	write(t, c, strings.Repeat("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", 400))
	<-served
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	expectBody(t, br, string(body))
	expectClosed(t, br)
	_ = c.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if n := accepted.open.Load(); n != 0 {
		t.Errorf("Shutdown returned while %d connections were open", n)
	}
}

// recordingListener counts the connections that it has accepted and that are not closed.
type recordingListener struct {
	net.Listener
	open atomic.Int64
}

type recordingConn struct {
	*net.TCPConn
	open *atomic.Int64
	once sync.Once
}

func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &recordingConn{TCPConn: c.(*net.TCPConn), open: &l.open}, nil
}

func (c *recordingConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.TCPConn.Close()
}

// TestRacingIdleTimeout guards against requests that the handler serves on a connection that the idle
// timeout has closed. Callers pause for about as long as the timeout.
func TestRacingIdleTimeout(t *testing.T) {
	const idleTimeout = 20 * time.Millisecond
	var served, answered atomic.Int64
	_, address := startServer(t, Config{IdleTimeout: idleTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		echoPath(w, r)
	})})
	done := make(chan struct{})
	const callers = 16
	for i := range callers {
		go func() {
			defer func() { done <- struct{}{} }()
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				answered.Add(callOnce(address, idleTimeout-time.Millisecond+time.Duration(i)*100*time.Microsecond, end))
			}
		}()
	}
	for range callers {
		<-done
	}
	if served.Load() != answered.Load() || answered.Load() < callers {
		t.Errorf("%d requests were served, %d answered", served.Load(), answered.Load())
	}
}

// callOnce sends requests over one connection with a pause before each until it is closed or the time is over,
// and returns the number of responses.
func callOnce(address string, pause time.Duration, end time.Time) (answered int64) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for time.Now().Before(end) {
		if _, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return answered
		}
		response, err := http.ReadResponse(br, nil)
		if err != nil {
			return answered
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return answered
		}
		answered++
		time.Sleep(pause)
	}
	return answered
}
