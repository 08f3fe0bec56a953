package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// delayedListener accepts no connection before its gate is closed, like a process that gets no processor
// time.
type delayedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l delayedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// TestShutdownServesWaitingConnections guards against requests that are reset because the listener closes
// before their connections are accepted.
func TestShutdownServesWaitingConnections(t *testing.T) {
	const callers = 5
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	delayed := delayedListener{l.(*net.TCPListener), make(chan struct{})}
	s := New(Config{Handler: http.HandlerFunc(echoPath)})
	defer s.Close()
	served, stopped := make(chan error, 1), make(chan error, 1)
	go func() { served <- s.Serve(delayed) }()
	var responses []*bufio.Reader
	for range callers {
		c, br := dial(t, l.Addr().String())
		write(t, c, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		responses = append(responses, br)
	}
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.Sleep(3 * acceptWait)
	close(delayed.gate)
	for _, br := range responses {
		expectBody(t, br, "/1")
		expectClosed(t, br)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("Serve returned %v", err)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("the server accepts connections after Serve returned")
	}
	if err := <-stopped; err != nil {
		t.Errorf("Shutdown returned %v", err)
	}
}

// TestShutdownEndsWhileCallersConnect guards against a shutdown that goes on for as long as callers open
// connections.
func TestShutdownEndsWhileCallersConnect(t *testing.T) {
	s, address := startServer(t, Config{Handler: http.HandlerFunc(echoPath)})
	var callers sync.WaitGroup
	defer callers.Wait()
	for range 16 {
		callers.Go(func() { connectUntilRefused(address) })
	}
	for s.Connections() == (Connections{}) {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Errorf("Shutdown returned %v", err)
		_ = s.Close()
	}
}

// connectUntilRefused sends a request on each of one connection after another until none is accepted.
func connectUntilRefused(address string) {
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}
