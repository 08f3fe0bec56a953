package app

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/timeline"
)

// ticketPeers connects the ticket tables of a test.
type ticketPeers struct {
	port.Peers
	hosts map[ident.HostID]*tickets
	// lose drops the acknowledgement of every second hand-over message.
	lose bool
	sent int
	// relayed is the host that got the last relayed request.
	relayed ident.HostID
}

func (p *ticketPeers) Handover(_ context.Context, to port.Host, m port.HandoverMessage) (bool, error) {
	complete, err := p.hosts[to.ID].take(m)
	p.sent++
	if p.lose && p.sent%2 == 1 {
		return false, errors.New("acknowledgement lost")
	}
	if err != nil {
		return false, &port.HandoverRefusedError{Reason: err.Error()}
	}
	return complete, nil
}

func (p *ticketPeers) Relay(_ context.Context, to port.Host, _ port.RelayedRequest) (port.RelayedResponse, error) {
	p.relayed = to.ID
	return port.RelayedResponse{Status: 200}, nil
}

// newTicketHosts returns tickets of hosts that know each other.
func newTicketHosts(ids ...ident.HostID) *ticketPeers {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &ticketPeers{hosts: map[ident.HostID]*tickets{}}
	for _, id := range ids {
		t := newTickets(time.Hour, id, 1)
		t.peers, t.log, t.timeline = p, log, timeline.New(id, log)
		self := member.Info{ID: id, Version: member.Version{Incarnation: 1}}
		t.fleet = &fleet{log: log, timeline: t.timeline, members: member.New(time.Now(), member.DefaultConfig(), self, 1)}
		p.hosts[id] = t
	}
	for _, t := range p.hosts {
		for _, id := range ids {
			t.learn(member.Info{ID: id, Version: member.Version{Incarnation: 1}}, member.Alive)
		}
	}
	return p
}

// learn tells a host about another one.
func (t *tickets) learn(about member.Info, state member.State) {
	from := member.Info{ID: "observer", Version: member.Version{Incarnation: 0}}
	t.fleet.members.Receive(time.Now(), member.Message{Kind: member.Ack, From: from, Updates: []member.Update{{Info: about, State: state}}})
}

func (t *tickets) issueOne(tb testing.TB) ticket.Ticket {
	tb.Helper()
	list, err := t.Issue(1)
	if err != nil {
		tb.Fatal(err)
	}
	return list[0]
}

// TestHandoverLostAcknowledgement guards against a ticket that is admitted twice,
// or lost, when acknowledgements of the hand-over are lost, and against the
// outcome of a request that ends after the callers' server was shut down.
func TestHandoverLostAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTicketHosts("a", "b")
		p.lose = true
		a, b := p.hosts["a"], p.hosts["b"]
		unused, running := a.issueOne(t), a.issueOne(t)
		run := a.Admit(running, ticket.Fingerprint{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go a.run(ctx)
		go b.run(ctx)
		a.handOver(ctx)
		if v := a.Admit(unused, ticket.Fingerprint{}); v.Verdict != ticket.OtherHost || v.Host != "b" {
			t.Fatalf("%+v", v)
		}
		if v := b.Admit(unused, ticket.Fingerprint{}); v.Verdict != ticket.Run {
			t.Fatalf("%+v", v)
		}
		if v := b.Admit(running, ticket.Fingerprint{}); v.Verdict != ticket.InProgress {
			t.Fatalf("%+v", v)
		}
		go func() {
			time.Sleep(5 * time.Second)
			a.End(running.ID, run.Run, ticket.Completion{Outcome: outcome.Answered, Response: &ticket.Response{Status: 201}})
		}()
		a.sendUpdates(ctx)
		if v := b.Admit(running, ticket.Fingerprint{}); v.Verdict != ticket.Stored || v.Response.Status != 201 {
			t.Fatalf("%+v", v)
		}
	})
}

// TestLeaverGone guards against a repeat that is told for ever that the first
// request runs at a host that has stopped.
func TestLeaverGone(t *testing.T) {
	p := newTicketHosts("a", "b")
	a, b := p.hosts["a"], p.hosts["b"]
	running := a.issueOne(t)
	a.Admit(running, ticket.Fingerprint{})
	a.handOver(t.Context())
	b.endLost()
	if v := b.Admit(running, ticket.Fingerprint{}); v.Verdict != ticket.InProgress {
		t.Fatalf("%+v", v)
	}
	b.learn(member.Info{ID: "a", Version: member.Version{Incarnation: 1, Epoch: 9}}, member.Left)
	b.endLost()
	if v := b.Admit(running, ticket.Fingerprint{}); v.Verdict != ticket.OutcomeUnknown {
		t.Fatalf("%+v", v)
	}
}

// TestRelayFollowsSuccessors guards against requests that go to a host which has
// handed its tickets over, while it still drains or after it has left, and
// against a chain without end.
func TestRelayFollowsSuccessors(t *testing.T) {
	p := newTicketHosts("a", "b", "c", "d")
	d := p.hosts["d"]
	relay := func() ident.HostID {
		p.relayed = ""
		if _, err := d.Relay(t.Context(), ticket.Ticket{}, ticket.Admission{Host: "a"}, port.RelayedRequest{}); err != nil {
			t.Fatal(err)
		}
		return p.relayed
	}
	if to := relay(); to != "a" {
		t.Fatalf("went to %q", to)
	}
	d.learn(member.Info{ID: "a", Version: member.Version{Incarnation: 1, Epoch: 1}, Leaving: true, Successor: "b"}, member.Alive)
	if to := relay(); to != "b" {
		t.Fatalf("went to %q", to)
	}
	d.learn(member.Info{ID: "b", Version: member.Version{Incarnation: 1, Epoch: 1}, Successor: "c"}, member.Left)
	if to := relay(); to != "c" {
		t.Fatalf("went to %q", to)
	}
	d.learn(member.Info{ID: "c", Version: member.Version{Incarnation: 1, Epoch: 1}, Successor: "a"}, member.Alive)
	relay()
	if _, err := d.Relay(t.Context(), ticket.Ticket{}, ticket.Admission{Host: "nobody"}, port.RelayedRequest{}); err == nil {
		t.Fatal("a host that nobody knows was asked")
	}
}
