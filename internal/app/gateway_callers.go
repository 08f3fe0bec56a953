package app

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Limits on callers' connections until a configuration states them.
const (
	gatewayHeaderTimeout = 10 * time.Second
	gatewayHeaderBytes   = 64 << 10
	gatewayIdleTimeout   = time.Minute
)

// callerServer serves the callers' connections. The time for which a connection
// may stay idle follows the configuration, also for connections that are open.
type callerServer struct {
	http *http.Server
	idle atomic.Int64

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newCallerServer(handler *ingress.Server) *callerServer {
	c := &callerServer{timers: map[net.Conn]*time.Timer{}}
	c.idle.Store(int64(gatewayIdleTimeout))
	c.http = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: gatewayHeaderTimeout,
		MaxHeaderBytes:    gatewayHeaderBytes,
		ConnState: func(conn net.Conn, state http.ConnState) {
			handler.ConnState(conn, state)
			c.watch(conn, state)
		},
	}
	return c
}

// limit takes the limits of a configuration.
func (c *callerServer) limit(l registry.CallerLimits) {
	if l.IdleTimeout > 0 {
		c.idle.Store(int64(l.IdleTimeout))
	}
}

// watch closes a connection that stays idle too long.
func (c *callerServer) watch(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
	if state == http.StateIdle {
		c.timers[conn] = time.AfterFunc(time.Duration(c.idle.Load()), func() { _ = conn.Close() })
	}
}

// Parameters of a graceful stop.
const (
	// stopReserve is the time before the kill at which a stopping host cuts what
	// is left.
	stopReserve = 400 * time.Millisecond
	// quietTime is the time without a request after which a stopping host takes
	// none any more.
	quietTime = 1200 * time.Millisecond
	// stopStep is the time between two looks at the requests in flight.
	stopStep = 50 * time.Millisecond
)

// shutDown stops the host gracefully: it leaves the address answers, serves until
// no caller comes any more, then closes idle connections and waits for the
// requests in flight, up to the grace.
func (g *Gateway) shutDown() {
	started := time.Now()
	limit := started.Add(g.settings.GracePeriod - stopReserve)
	g.draining.Store(true)
	g.ingress.Drain()
	g.leave()
	g.timeline.Record(event.HostDraining, event.F("in_flight", g.ingress.InFlight()))
	quiet := started
	requests := g.ingress.TotalRequests()
	for time.Now().Before(limit.Add(-quietTime)) && time.Since(quiet) < quietTime+g.settings.AddressMaxAge {
		time.Sleep(stopStep)
		if n := g.ingress.TotalRequests(); n != requests || g.ingress.InFlight() > 0 {
			requests, quiet = n, time.Now()
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := g.callers.http.Shutdown(ctx); err != nil {
		g.log.WithField("in_flight", g.ingress.InFlight()).Warn("the grace is over; requests in flight are cut")
		_ = g.callers.http.Close()
	}
	g.timeline.Record(event.HostStopped, event.F("drained_in", time.Since(started).Round(time.Millisecond)))
}
