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

// unresponsiveSuccessor does not acknowledge a hand-over as long as this host accepts connections from
// callers.
type unresponsiveSuccessor struct {
	port.Peers
	callerAddress string
	// callersClosed reports that connections from callers are no longer accepted.
	callersClosed bool
}

func (p *unresponsiveSuccessor) Handover(context.Context, port.Host, port.HandoverMessage) (bool, error) {
	c, err := net.Dial("tcp", p.callerAddress)
	if err == nil {
		c.Close()
		return false, errors.New("no acknowledgement")
	}
	p.callersClosed = true
	return false, &port.HandoverRefusedError{Reason: "the test is over"}
}

// startShutdownHost starts the HTTP servers of a host on loopback that knows no other host.
func startShutdownHost(t *testing.T) (*Host, *listeners) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := DefaultSettings()
	settings.HostID, settings.Region, settings.Zone = "a", "r", "z"
	settings.CallerListen, settings.AdminListen, settings.PeerListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.LogURL, settings.HostsURL = "http://127.0.0.1:1", "http://127.0.0.1:1"
	settings.AddressMaxAge, settings.DrainLimit = 100*time.Millisecond, 20*time.Second
	settings.setAdvertiseDefaults()
	h, err := New(settings, log)
	if err != nil {
		t.Fatal(err)
	}
	l, err := h.listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.peerListener.Close() })
	l.serve()
	return h, l
}

// TestUnresponsiveSuccessorDoesNotDelayShutdown guards against a shutdown that waits for an
// unresponsive successor until the drain limit while the host still accepts connections from callers,
// and then aborts their requests.
func TestUnresponsiveSuccessorDoesNotDelayShutdown(t *testing.T) {
	h, l := startShutdownHost(t)
	h.tickets.receiveMember(member.Info{ID: "b", Version: member.Version{Incarnation: 1}, PeerAddress: "127.0.0.1:1"}, member.Alive)
	successor := &unresponsiveSuccessor{callerAddress: l.callerListener.Addr().String()}
	h.tickets.peers = successor
	h.shutDown(l, time.Now())
	if !successor.callersClosed {
		t.Fatal("the host accepted connections from callers until the drain limit")
	}
}

// TestShutdownWaitsForRelayedRequest guards against a relayed request that is aborted by a shutdown
// without a successor, either because no other host is live or because the hand-over failed.
func TestShutdownWaitsForRelayedRequest(t *testing.T) {
	h, l := startShutdownHost(t)
	tk := h.tickets.issueTicket(t)
	run := h.tickets.Admit(tk, ticket.Fingerprint{})
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		sleep(ctx, 5*time.Second)
		h.tickets.End(tk.ID, run.Run, ticket.Completion{})
		close(ended)
	}()
	h.shutDown(l, time.Now())
	select {
	case <-ended:
	default:
		t.Fatal("the host stopped while a relayed request was running")
	}
}
