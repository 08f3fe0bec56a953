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

// TestLostSuccessorDoesNotHoldShutdown guards against a shutdown that waits for
// a lost successor until the drain limit while it still accepts callers, and
// then cuts their requests.
func TestLostSuccessorDoesNotHoldShutdown(t *testing.T) {
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
	h.tickets.learn(member.Info{ID: "b", Version: member.Version{Incarnation: 1}, PeerAddress: "127.0.0.1:1"}, member.Alive)
	l, err := h.listen()
	if err != nil {
		t.Fatal(err)
	}
	defer l.peerSock.Close()
	l.serve()
	successor := &lostSuccessor{caller: l.callerSock.Addr().String()}
	h.tickets.peers = successor
	h.shutDown(l)
	if !successor.closed {
		t.Fatal("the host accepted callers until the drain limit")
	}
}
