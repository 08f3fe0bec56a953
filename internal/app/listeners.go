package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/httpserver"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
)

// Timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	// adminRequestTimeout and adminResponseTimeout limit the time for a document that an operator sends, and
	// for a response.
	adminRequestTimeout  = 30 * time.Second
	adminResponseTimeout = time.Minute
	// adminStopTimeout limits how long a stopping host waits for requests to its admin API.
	adminStopTimeout = 100 * time.Millisecond
	// departurePropagationTime is the time until all hosts omit a departing host from their address
	// responses. Callers cache the last response that contains it for AddressMaxAge.
	departurePropagationTime = 3 * time.Second
)

// adminHeaderBytes limits the request heads of the admin API. A head takes about twenty times its size in memory.
const adminHeaderBytes = 16 << 10

// listeners holds the listeners and HTTP servers of a host.
type listeners struct {
	caller, admin                 *httpserver.Server
	callerListener, adminListener net.Listener
	peerListener                  net.Listener
	host                          *Host
}

func (h *Host) listen() (*listeners, error) {
	l := &listeners{
		host:   h,
		caller: httpserver.New(httpserver.Config{Handler: h.ingress, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: h.settings.MaxHeaderBytes, ConnState: h.ingress.ConnState}),
		admin:  newAdminServer(h.admin, httpserver.Limits{}),
	}
	var err error
	if l.callerListener, err = net.Listen("tcp", h.settings.CallerListen); err != nil {
		return nil, errors.Wrap(err, "-caller-listen")
	}
	if l.adminListener, err = net.Listen("tcp", h.settings.AdminListen); err != nil {
		l.callerListener.Close()
		return nil, errors.Wrap(err, "-admin-listen")
	}
	if l.peerListener, err = net.Listen("tcp", h.settings.PeerListen); err != nil {
		l.callerListener.Close()
		l.adminListener.Close()
		return nil, errors.Wrap(err, "-peer-listen")
	}
	return l, nil
}

// newAdminServer returns the server of the admin API.
func newAdminServer(handler http.Handler, limits httpserver.Limits) *httpserver.Server {
	return httpserver.New(httpserver.Config{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: adminHeaderBytes, IdleTimeout: idleTimeout,
		RequestTimeout: adminRequestTimeout, ResponseTimeout: adminResponseTimeout, Limits: limits,
	})
}

// serve starts the servers and returns a channel that receives their failures.
func (l *listeners) serve() <-chan error {
	failed := make(chan error, 2)
	for _, s := range []struct {
		server   *httpserver.Server
		listener net.Listener
	}{{l.caller, l.callerListener}, {l.admin, l.adminListener}} {
		go func() {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return failed
}

// servePeers serves calls from other hosts until ctx ends.
func (l *listeners) servePeers(ctx context.Context) {
	if err := peer.Serve(ctx, l.peerListener, l.host.identity, &peerHandler{l.host}, l.host.log); err != nil && ctx.Err() == nil {
		l.host.log.WithError(err).Error("peer server stopped; calls from other hosts are no longer served")
	}
}

// shutDown stops the host gracefully. The host withdraws from address responses, serves until all
// cached responses have expired, then closes idle connections and waits for requests in flight, up to
// the drain limit. Requests are accepted according to a drain limit that starts at the given time.
func (h *Host) shutDown(l *listeners, since time.Time) {
	started := time.Now()
	h.draining.Store(true)
	h.ingress.Drain(since.Add(h.settings.DrainLimit - responseMargin))
	h.signals.open()
	h.membership.announceLeaving()
	h.timeline.Record(event.HostDraining, event.F("in_flight", h.ingress.InFlight()), event.F("stalled_ms", started.Sub(since).Milliseconds()))
	time.Sleep(min(h.settings.AddressMaxAge+departurePropagationTime, h.settings.DrainLimit))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(h.settings.DrainLimit))
	defer cancel()
	// The hand-over runs concurrently with the server shutdown because it retries an unresponsive
	// successor until the drain limit. Requests accepted during that time would be aborted.
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		h.tickets.handOver(ctx)
	}()
	if err := l.caller.Shutdown(ctx); err != nil {
		logConnections(h.log, l.caller, h.ingress).WithError(err).Warn("drain limit reached; closing the remaining connections")
		_ = l.caller.Close()
		awaitCutRequests(h.ingress)
	}
	<-handedOver
	h.tickets.sendUpdates(ctx)
	h.timeline.Record(event.HostStopped, event.F("drained_in", time.Since(started).Round(time.Millisecond)))
	h.membership.announceStopped()
	l.admin.Stop(adminStopTimeout)
	h.membership.datagrams.Close()
}
