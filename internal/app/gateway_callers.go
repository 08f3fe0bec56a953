package app

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/httpserver"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Limits on connections from callers. A configuration can lower those of headers and replace the idle
// timeout.
const (
	gatewayHeaderTimeout = 10 * time.Second
	gatewayHeaderBytes   = 64 << 10
	gatewayIdleTimeout   = time.Minute
)

func newCallerServer(handler *ingress.Server, limits *ClientLimits) *httpserver.Server {
	return httpserver.New(httpserver.Config{
		Handler:           handler,
		ReadHeaderTimeout: gatewayHeaderTimeout,
		MaxHeaderBytes:    gatewayHeaderBytes,
		IdleTimeout:       gatewayIdleTimeout,
		ConnState:         handler.ConnState,
		Concurrent:        handler.ServesConcurrently,
		Limits:            limits.callers(handler.Memory()),
	})
}

// applyCallerLimits applies the limits of a configuration, if it sets any. Open connections get them when
// they next become idle.
func (g *Gateway) applyCallerLimits(l registry.CallerLimits) {
	g.callers.SetHeaderLimits(l.MaxHeaderBytes, l.HeaderTimeout)
	if l.IdleTimeout > 0 {
		g.callers.SetIdleTimeout(l.IdleTimeout)
	}
}

// Parameters of a graceful stop.
const (
	// forcedCloseMargin is the time before the end of the grace period at which a stopping host
	// closes the remaining connections.
	forcedCloseMargin = 400 * time.Millisecond
	// responseMargin is the time before the forced close by which all requests should be answered.
	responseMargin = 100 * time.Millisecond
	// cutRequestTime limits the wait for the requests that the forced close cuts, whose attempts are logged
	// when they end. It leaves forcedCloseMargin time for the rest of the stop.
	cutRequestTime = 200 * time.Millisecond
	// quietTime is the time without requests, on top of AddressMaxAge, after which a stopping host no
	// longer accepts connections.
	quietTime = 1200 * time.Millisecond
	// drainPollInterval is the time between two checks for requests while a host stops.
	drainPollInterval = 50 * time.Millisecond
	// cutRequestPollInterval is the time between two checks for requests that were cut.
	cutRequestPollInterval = 5 * time.Millisecond
)

// Reasons for which a stopping host no longer accepts connections.
const (
	callersGone    = "no requests"
	nothingToAdmit = "no request could be answered in time"
)

// shutDown stops the host gracefully. The host withdraws from address responses and serves the requests
// that it can answer in time. When callers have left, or nothing can be answered in time any more, it
// stops accepting connections and waits for the requests in flight. All of this ends forcedCloseMargin
// before the end of the grace period. The grace period may have started at the given time: requests are
// accepted according to that, but those in flight are not cut earlier than the platform may do.
func (g *Gateway) shutDown(since time.Time) {
	started := time.Now()
	period := g.settings.GracePeriod - forcedCloseMargin
	deadline := started.Add(period)
	g.draining.Store(true)
	g.ingress.Drain(since.Add(period - responseMargin))
	g.signals.open()
	g.announceLeaving()
	g.timeline.Record(event.HostDraining, event.F("in_flight", g.ingress.InFlight()), event.F("stalled_ms", started.Sub(since).Milliseconds()))
	reason := g.awaitCallersLeaving(started)
	logConnections(g.log, g.callers, g.ingress).WithFields(logrus.Fields{"reason": reason, "after": time.Since(started).Round(time.Millisecond)}).Info("no longer accepting connections from callers")
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.callers.Shutdown(ctx); err != nil {
		logConnections(g.log, g.callers, g.ingress).WithError(err).Warn("drain deadline reached; closing the remaining connections")
		_ = g.callers.Close()
		awaitCutRequests(g.ingress)
	}
	awaitBodies(ctx, g.transport)
	g.timeline.Record(event.HostStopped, event.F("in_flight", g.ingress.InFlight()), event.F("drained_in", time.Since(started).Round(time.Millisecond)))
}

// awaitCallersLeaving waits until callers send no more requests or none could be answered in time, and
// returns which of the two it is.
func (g *Gateway) awaitCallersLeaving(started time.Time) (reason string) {
	lastActivity := started
	requests := g.ingress.TotalRequests()
	for g.ingress.AdmitsRequests(time.Now()) {
		if time.Since(lastActivity) >= quietTime+g.settings.AddressMaxAge {
			return callersGone
		}
		time.Sleep(drainPollInterval)
		if n := g.ingress.TotalRequests(); n != requests || g.ingress.InFlight() > 0 {
			requests, lastActivity = n, time.Now()
		}
	}
	return nothingToAdmit
}

// awaitCutRequests waits until the handlers of requests whose connections were closed have ended.
func awaitCutRequests(server *ingress.Server) {
	for end := time.Now().Add(cutRequestTime); server.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(cutRequestPollInterval)
	}
}

// awaitBodies waits until targets that have answered early have got the whole bodies of their
// requests, or until ctx ends.
func awaitBodies(ctx context.Context, transport *target.Transport) {
	for transport.UnfinishedBodies() > 0 && ctx.Err() == nil {
		time.Sleep(cutRequestPollInterval)
	}
}

// logConnections returns a logger with the requests in flight and the callers' connections by what they
// are used for.
func logConnections(log logrus.FieldLogger, callers *httpserver.Server, server *ingress.Server) logrus.FieldLogger {
	open := callers.Connections()
	return log.WithFields(logrus.Fields{
		"in_flight": server.InFlight(),
		"new":       open.New,
		"idle":      open.Idle,
		"reading":   open.Reading,
		"serving":   open.Serving,
	})
}
