package app

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Limits on connections from callers. The header limits are fixed; a configuration can change only the
// idle timeout.
const (
	gatewayHeaderTimeout = 10 * time.Second
	gatewayHeaderBytes   = 64 << 10
	gatewayIdleTimeout   = time.Minute
)

// callerServer serves the connections from callers. A change of the idle timeout in the configuration
// also applies to open connections, from the next time they become idle.
type callerServer struct {
	http        *http.Server
	idleTimeout atomic.Int64

	mu         sync.Mutex
	idleTimers map[net.Conn]*time.Timer
	states     map[net.Conn]http.ConnState
}

func newCallerServer(handler *ingress.Server) *callerServer {
	c := &callerServer{idleTimers: map[net.Conn]*time.Timer{}, states: map[net.Conn]http.ConnState{}}
	c.idleTimeout.Store(int64(gatewayIdleTimeout))
	c.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: gatewayHeaderTimeout,
		MaxHeaderBytes:    gatewayHeaderBytes,
		ConnState: func(conn net.Conn, state http.ConnState) {
			handler.ConnState(conn, state)
			c.trackIdle(conn, state)
		},
	}
	return c
}

// applyLimits applies the idle timeout of a configuration, if it sets one.
func (c *callerServer) applyLimits(l registry.CallerLimits) {
	if l.IdleTimeout > 0 {
		c.idleTimeout.Store(int64(l.IdleTimeout))
	}
}

// trackIdle closes a connection that stays idle for longer than the idle timeout.
func (c *callerServer) trackIdle(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[conn] = state
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
	}
	if t := c.idleTimers[conn]; t != nil {
		t.Stop()
		delete(c.idleTimers, conn)
	}
	if state == http.StateIdle {
		c.idleTimers[conn] = time.AfterFunc(time.Duration(c.idleTimeout.Load()), func() { _ = conn.Close() })
	}
}

// openConnections returns the number of open connections by their state.
func (c *callerServer) openConnections() map[http.ConnState]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := map[http.ConnState]int{}
	for _, state := range c.states {
		open[state]++
	}
	return open
}

// Parameters of a graceful stop.
const (
	// forcedCloseMargin is the time before the end of the grace period at which a stopping host
	// closes the remaining connections.
	forcedCloseMargin = 400 * time.Millisecond
	// drainIdleTime is the time without requests, on top of AddressMaxAge, after which a stopping
	// host no longer accepts them.
	drainIdleTime = 1200 * time.Millisecond
	// drainPollInterval is the time between two checks for requests while a host stops.
	drainPollInterval = 50 * time.Millisecond
)

// shutDown stops the host gracefully. The host withdraws from address responses, serves until requests
// from callers cease, then closes idle connections and waits for requests in flight. All of this ends
// forcedCloseMargin before the end of the grace period.
func (g *Gateway) shutDown() {
	started := time.Now()
	deadline := started.Add(g.settings.GracePeriod - forcedCloseMargin)
	g.draining.Store(true)
	g.ingress.Drain()
	g.announceLeaving()
	g.timeline.Record(event.HostDraining, event.F("in_flight", g.ingress.InFlight()))
	lastActivity := started
	requests := g.ingress.TotalRequests()
	for time.Now().Before(deadline.Add(-drainIdleTime)) && time.Since(lastActivity) < drainIdleTime+g.settings.AddressMaxAge {
		time.Sleep(drainPollInterval)
		if n := g.ingress.TotalRequests(); n != requests || g.ingress.InFlight() > 0 {
			requests, lastActivity = n, time.Now()
		}
	}
	g.logConnections().WithFields(logrus.Fields{"after": time.Since(started).Round(time.Millisecond), "requests": requests}).Info("no longer accepting connections from callers")
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.callers.http.Shutdown(ctx); err != nil {
		g.logConnections().Warn("drain deadline reached; closing the remaining connections")
		_ = g.callers.http.Close()
	}
	g.timeline.Record(event.HostStopped, event.F("in_flight", g.ingress.InFlight()), event.F("drained_in", time.Since(started).Round(time.Millisecond)))
}

// logConnections returns a logger with the requests in flight and the callers' connections by state:
// without any request yet, idle between two requests, or with a request that is read or served.
func (g *Gateway) logConnections() logrus.FieldLogger {
	open := g.callers.openConnections()
	return g.log.WithFields(logrus.Fields{
		"in_flight": g.ingress.InFlight(),
		"new":       open[http.StateNew],
		"idle":      open[http.StateIdle],
		"active":    open[http.StateActive],
	})
}
