package main

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"
)

// signalBacklog is the number of received signals that can wait to be handled.
const signalBacklog = 16

// signals owns the signals that would end the process by default. It is created before anything
// else and never gives a signal back to the runtime: a signal with its default action ends the
// process and all requests in flight, also while the host stops.
type signals struct {
	received chan os.Signal
	serving  atomic.Bool
	// hangups receives a value on SIGHUP while the host serves.
	hangups chan struct{}
}

// receiveSignals starts to receive signals. They wait until handle is called.
func receiveSignals() *signals {
	s := &signals{received: make(chan os.Signal, signalBacklog), hangups: make(chan struct{}, 1)}
	signal.Notify(s.received, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	// The runtime ends the process if a write to standard output fails with SIGPIPE. A host that can
	// no longer write its log still serves.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// handle handles signals until the process ends. The returned context is canceled by the first
// SIGINT or SIGTERM; later ones do not shorten the stop.
func (s *signals) handle(log logrus.FieldLogger) context.Context {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for received := range s.received {
			log.WithField("signal", received).WithField("state", s.state(ctx)).Info("signal received")
			if received != syscall.SIGHUP {
				stop()
			} else if s.serving.Load() && ctx.Err() == nil {
				s.notifyHangup()
			}
		}
	}()
	return ctx
}

// state returns the state of the host when a signal is handled.
func (s *signals) state(ctx context.Context) string {
	switch {
	case ctx.Err() != nil:
		return "stopping"
	case s.serving.Load():
		return "serving"
	}
	return "starting"
}

// notifyHangup does not wait for the receiver, so that a slow one delays no signal.
func (s *signals) notifyHangup() {
	select {
	case s.hangups <- struct{}{}:
	default:
	}
}
