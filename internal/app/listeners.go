package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
)

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	// departureSpread is the time until every host leaves a departing host out
	// of its address answers; the last such answer is kept for AddressMaxAge.
	departureSpread = 3 * time.Second
)

// listeners are the HTTP servers of a host.
type listeners struct {
	caller, admin         *http.Server
	callerSock, adminSock net.Listener
	peerSock              net.Listener
	host                  *Host
}

func (h *Host) listen() (*listeners, error) {
	l := &listeners{
		host:   h,
		caller: &http.Server{Handler: h.ingress, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: h.settings.MaxHeaderBytes, ConnState: h.ingress.ConnState},
		admin:  &http.Server{Handler: h.admin, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout},
	}
	var err error
	if l.callerSock, err = net.Listen("tcp", h.settings.CallerListen); err != nil {
		return nil, errors.Wrap(err, "-caller-listen")
	}
	if l.adminSock, err = net.Listen("tcp", h.settings.AdminListen); err != nil {
		l.callerSock.Close()
		return nil, errors.Wrap(err, "-admin-listen")
	}
	if l.peerSock, err = net.Listen("tcp", h.settings.PeerListen); err != nil {
		l.callerSock.Close()
		l.adminSock.Close()
		return nil, errors.Wrap(err, "-peer-listen")
	}
	return l, nil
}

// serve starts the servers; the channel gets the first failure.
func (l *listeners) serve() <-chan error {
	failed := make(chan error, 2)
	for _, s := range []struct {
		server *http.Server
		sock   net.Listener
	}{{l.caller, l.callerSock}, {l.admin, l.adminSock}} {
		go func() {
			if err := s.server.Serve(s.sock); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return failed
}

// servePeers serves the calls of other hosts until ctx ends.
func (l *listeners) servePeers(ctx context.Context) {
	if err := peer.Serve(ctx, l.peerSock, l.host.identity, &peerHandler{l.host}); err != nil && ctx.Err() == nil {
		l.host.log.WithError(err).Error("calls of other hosts are not served any more")
	}
}

// shutDown stops the host gracefully: it leaves the address answers, serves
// until every kept answer has run out, then closes idle connections and waits
// for the requests in flight, up to the drain limit.
func (h *Host) shutDown(l *listeners) {
	started := time.Now()
	h.draining.Store(true)
	h.ingress.Drain()
	h.fleet.leave()
	h.timeline.Record(event.HostDraining, event.F("in_flight", h.ingress.InFlight()))
	time.Sleep(min(h.settings.AddressMaxAge+departureSpread, h.settings.DrainLimit))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(h.settings.DrainLimit))
	defer cancel()
	// A successor that does not answer is tried until the drain limit. The
	// server must not accept requests for as long and then cut them.
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		h.tickets.handOver(ctx)
	}()
	if err := l.caller.Shutdown(ctx); err != nil {
		h.log.WithField("in_flight", h.ingress.InFlight()).Warn("the drain limit was reached; requests in flight are cut")
		_ = l.caller.Close()
	}
	<-handedOver
	h.tickets.sendUpdates(ctx)
	h.timeline.Record(event.HostStopped, event.F("drained_in", time.Since(started).Round(time.Millisecond)))
	h.fleet.stop()
	_ = l.admin.Close()
	h.fleet.datagrams.Close()
}
