// Package httpserver runs net/http servers whose connections are never closed while a request on them
// is being read or served, except by Close.
//
// net/http counts a connection as idle until it has parsed the whole header of the next request, and
// closes idle connections in Shutdown. A request that has been read but not parsed is then served
// without a connection for its response. Here only a wait for the next request ends, through a read
// deadline that does not apply to bytes that have already been read. net/http closes the connection
// itself if it holds no request.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Config is the configuration of a Server.
type Config struct {
	Handler http.Handler
	// ReadHeaderTimeout limits the time for reading the header of a request.
	ReadHeaderTimeout time.Duration
	// MaxHeaderBytes limits the size of a request header; default: that of net/http.
	MaxHeaderBytes int
	// IdleTimeout limits the wait for the next request on an open connection; 0: no limit.
	IdleTimeout time.Duration
	// RequestTimeout limits the time for reading a request with its body, and ResponseTimeout that for
	// serving it and writing the response; 0: no limit but what the handler sets. A body that the handler
	// does not read is discarded before the response is sent, so that without a limit a connection whose body
	// stops short of its end is held forever. SetIdleTimeout cannot exceed IdleTimeout with them.
	RequestTimeout, ResponseTimeout time.Duration
	// Concurrent, if set, reports whether a request without a body may be started while an
	// earlier one of its connection is served. The earlier one must have been accepted as well.
	Concurrent func(*http.Request) bool
	// MaxConcurrent bounds the requests of one connection that are served at the same time;
	// default 8.
	MaxConcurrent int
	// Limits bound what connections hold.
	Limits Limits
	// ConnState, if set, is called when a connection changes its state.
	ConnState func(net.Conn, http.ConnState)
}

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	http *http.Server
	limitState

	mu          sync.Mutex
	idleTimeout time.Duration
	// ahead is the initial state of connections for requests that arrive while an earlier
	// one is served.
	ahead readAhead
	// listeners holds the listeners that accept connections.
	listeners map[*listener]struct{}
	conns     map[*conn]struct{}
	// lingering holds the connections that net/http has closed and that wait for their peer to close
	// them as well.
	lingering map[*conn]struct{}
	// closing is set when no further connections are accepted.
	closing bool
	// allClosed is closed when the last connection is closed after the start of Shutdown.
	allClosed chan struct{}
}

// Connections is the number of open connections by what they wait for.
type Connections struct {
	// New connections have not sent any byte, Idle ones have been served and have not sent any byte of
	// a further request.
	New, Idle int
	// Reading connections have sent a part of a request header, Serving ones have a request that is
	// being served or the rest of whose body is discarded.
	Reading, Serving int
}

// New returns a server that accepts no connections until Serve is called.
func New(cfg Config) *Server {
	s := &Server{
		idleTimeout: cfg.IdleTimeout,
		listeners:   map[*listener]struct{}{},
		conns:       map[*conn]struct{}{},
		lingering:   map[*conn]struct{}{},
		limitState:  limitState{limits: cfg.Limits, perAddress: map[string]int{}, unsent: map[*conn]struct{}{}},
	}
	handler := cfg.Handler
	if cfg.Concurrent != nil {
		handler = concurrentHandler{cfg.Handler}
		if cfg.MaxConcurrent <= 0 {
			cfg.MaxConcurrent = defaultMaxConcurrent
		}
		s.ahead = readAhead{handler: cfg.Handler, concurrent: cfg.Concurrent, limit: cfg.MaxConcurrent}
	}
	s.http = &http.Server{
		Handler: handler,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ReadHeaderTimeout: cfg.ReadHeaderTimeout,
		ReadTimeout:       cfg.RequestTimeout,
		WriteTimeout:      cfg.ResponseTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			if cfg.ConnState != nil {
				cfg.ConnState(c, state)
			}
			s.track(c.(*conn), state)
		},
	}
	if cfg.RequestTimeout > 0 {
		// By default net/http waits no longer for the next request than for the rest of one.
		s.http.IdleTimeout = cfg.IdleTimeout
	}
	return s
}

// Serve accepts connections until Shutdown or Close is called. Then it returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.limitReceiveBuffer(l)
	wrapped := &listener{Listener: l, server: s}
	if !s.addListener(wrapped) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	err := s.http.Serve(wrapped)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, wrapped)
	s.signalIfAllClosed()
	if s.closing {
		return http.ErrServerClosed
	}
	return errors.Wrap(err, "serve")
}

func (s *Server) addListener(l *listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// SetIdleTimeout changes the idle timeout of all connections. An open connection gets the new one when
// it next becomes idle.
func (s *Server) SetIdleTimeout(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleTimeout = timeout
}

// Connections returns the number of open connections.
func (s *Server) Connections() Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open Connections
	for c := range s.conns {
		switch c.currentPhase() {
		case phaseNew:
			open.New++
		case phaseIdle:
			open.Idle++
		case phaseReading:
			open.Reading++
		case phaseServing, phaseDiscarding:
			open.Serving++
		}
	}
	return open
}

// Shutdown stops accepting connections, ends the wait for further requests on all open ones and returns
// when all are closed, or an error when ctx ends before: a process that ends with an open connection may
// reset it and so cut the end of a response. A request of which a byte has been read is
// still served, and the handler should close its connection. So is one that has arrived on a connection
// that waits to be accepted.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for l := range s.listeners {
		l.acceptLast()
	}
	for c := range s.conns {
		c.endWait()
	}
	if s.allClosed == nil {
		s.allClosed = make(chan struct{})
		s.signalIfAllClosed()
	}
	allClosed := s.allClosed
	s.mu.Unlock()
	select {
	case <-allClosed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "connections are still open")
	}
}

// Stop is Shutdown with a timeout, after which all connections are closed.
func (s *Server) Stop(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// Close closes all listeners and connections at once, whatever requests they have.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closing = true
	for l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.conns {
		c.abort()
	}
	s.mu.Unlock()
	return s.http.Close()
}

// signalIfAllClosed wakes Shutdown after the last connection. The caller holds the lock.
func (s *Server) signalIfAllClosed() {
	if s.allClosed != nil && len(s.listeners)+len(s.conns)+len(s.lingering) == 0 {
		select {
		case <-s.allClosed:
		default:
			close(s.allClosed)
		}
	}
}

// track follows the state that net/http reports for a connection.
func (s *Server) track(c *conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.closing {
			c.endWait()
		}
	case http.StateActive:
		c.startServing()
	case http.StateIdle:
		c.startWaiting(s.nextWaitEnd())
		s.endResponse(c)
	case http.StateClosed:
		delete(s.conns, c)
		delete(s.unsent, c)
		s.countAddress(c, -1)
		s.lingering[c] = struct{}{}
		go s.linger(c)
	case http.StateHijacked:
		delete(s.conns, c)
		delete(s.unsent, c)
		s.countAddress(c, -1)
		c.release()
		s.signalIfAllClosed()
	}
}

// linger waits until a connection that net/http has closed is closed by its peer as well.
func (s *Server) linger(c *conn) {
	c.linger()
	c.release()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lingering, c)
	s.signalIfAllClosed()
}

// nextWaitEnd returns the time at which a wait for a request that starts now ends, or the zero time if
// it has no limit. The caller holds the lock.
func (s *Server) nextWaitEnd() time.Time {
	switch {
	case s.closing:
		return time.Now()
	case s.idleTimeout > 0:
		return time.Now().Add(s.idleTimeout)
	}
	return time.Time{}
}
