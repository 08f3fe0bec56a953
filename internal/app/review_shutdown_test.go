package app

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// lostSuccessor does not acknowledge a hand-over as long as this host accepts
// callers.
type lostSuccessor struct {
	port.Peers
	caller string
	// closed tells that callers are not accepted any more.
	closed bool
}

func (p *lostSuccessor) Handover(context.Context, port.Host, port.HandoverMessage) (bool, error) {
	c, err := net.Dial("tcp", p.caller)
	if err == nil {
		c.Close()
		return false, errors.New("no acknowledgement")
	}
	p.closed = true
	return false, &port.HandoverRefusedError{Reason: "the test is over"}
}

// startShutdownHost returns a host on loopback that knows no other host, with
// its HTTP servers.
func startShutdownHost(t *testing.T) (*Host, *listeners) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := DefaultSettings()
	settings.HostID, settings.Region, settings.Zone = "a", "r", "z"
	settings.CallerListen, settings.AdminListen, settings.PeerListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.LogURL, settings.HostsURL = "http://127.0.0.1:1", "http://127.0.0.1:1"
	settings.AddressMaxAge, settings.DrainLimit = 100*time.Millisecond, 20*time.Second
	settings.setAdvertised()
	h, err := New(settings, log)
	if err != nil {
		t.Fatal(err)
	}
	l, err := h.listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.peerSock.Close() })
	l.serve()
	return h, l
}

// TestLostSuccessorDoesNotHoldShutdown guards against a shutdown that waits for
// a lost successor until the drain limit while it still accepts callers, and
// then cuts their requests.
func TestLostSuccessorDoesNotHoldShutdown(t *testing.T) {
	h, l := startShutdownHost(t)
	h.tickets.learn(member.Info{ID: "b", Version: member.Version{Incarnation: 1}, PeerAddress: "127.0.0.1:1"}, member.Alive)
	successor := &lostSuccessor{caller: l.callerSock.Addr().String()}
	h.tickets.peers = successor
	h.shutDown(l)
	if !successor.closed {
		t.Fatal("the host accepted callers until the drain limit")
	}
}

// TestShutdownWaitsForRelayedRequest guards against a relayed request that is
// cut by a shutdown without a successor: there is no other live host, or the
// hand-over failed.
func TestShutdownWaitsForRelayedRequest(t *testing.T) {
	h, l := startShutdownHost(t)
	tk := h.tickets.issueOne(t)
	run := h.tickets.Admit(tk, ticket.Fingerprint{})
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		sleep(ctx, 5*time.Second)
		h.tickets.End(tk.ID, run.Run, ticket.Completion{})
		close(ended)
	}()
	h.shutDown(l)
	select {
	case <-ended:
	default:
		t.Fatal("the host stopped while a relayed request was running")
	}
}
