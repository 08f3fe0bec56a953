package app

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// calledPeers notes which addresses evidence was sent to.
type calledPeers struct {
	port.Peers
	mu     sync.Mutex
	called []string
}

func (p *calledPeers) Exchange(_ context.Context, address string, _ []port.ServiceEvidence) ([]port.ServiceEvidence, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.called = append(p.called, address)
	return nil, nil
}

func (p *calledPeers) take() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	called := p.called
	p.called = nil
	slices.Sort(called)
	return called
}

type noEvents struct{}

func (noEvents) Record(event.Kind, ...event.Field) {}

func testEvidence(t *testing.T) (*evidence, *calledPeers, *engine.Service) {
	hosts := fixedHosts{
		{ID: "a", PeerAddress: "a", Location: here},
		{ID: "b", PeerAddress: "b", Location: here},
		{ID: "c", PeerAddress: "c", Location: here},
		{ID: "0-far", PeerAddress: "0-far", Location: ident.Location{Region: "alex", Zone: "alex-raml"}},
		{ID: "z-far", PeerAddress: "z-far", Location: ident.Location{Region: "alex", Zone: "alex-raml"}},
	}
	cfg := dispatch.Config{Service: "errata-index", Classes: []dispatch.Class{{Name: "issue"}}}
	for _, id := range []ident.TargetID{"t1", "t2", "t3"} {
		cfg.Targets = append(cfg.Targets, dispatch.Target{ID: id, Location: here, Slots: 6})
	}
	active := oneService(4)
	backend := active.Backends["errata-index"]
	backend.Engine = engine.NewService(cfg, dispatch.Self{Host: "b", Location: here}, 1, &services{serves: func(ident.ServiceName) bool { return false }}, noEvents{})
	t.Cleanup(backend.Engine.Close)
	d := newDirectory(hosts, 1)
	d.configure(active)
	peers := &calledPeers{}
	e := &evidence{services: &services{active: active}, hosts: d, peers: peers, identity: &identity{host: "b"}, log: logrus.New()}
	return e, peers, backend.Engine
}

// TestEvidenceCalls guards against exchanges that fill the link between regions
// without evidence, against evidence that waits or does not cross the link, and
// against a pair of hosts in a region that is never called.
func TestEvidenceCalls(t *testing.T) {
	e, peers, service := testEvidence(t)
	e.exchangeAll(t.Context())
	first := peers.take()
	e.exchangeAll(t.Context())
	if second := peers.take(); !slices.Equal(append(first, second...), []string{"c"}) {
		t.Errorf("without evidence, hosts %v and %v were called in two intervals, want c once", first, second)
	}
	for id := range ident.RequestID(60) {
		call := service.Arrive(dispatch.Request{ID: id + 1, Class: "issue", Deadline: time.Now().Add(time.Minute)})
		step, err := call.Next(t.Context())
		start, ok := step.(dispatch.Start)
		if err != nil || !ok {
			t.Fatal(step, err)
		}
		kind := attempt.Answered
		if start.Target == "t1" {
			kind = attempt.ServerError
		}
		service.Finish(start.Attempt, dispatch.Result{Kind: kind, FirstByte: time.Millisecond})
	}
	e.exchangeAll(t.Context())
	if got := peers.take(); !slices.Equal(got, []string{"0-far", "a", "c", "z-far"}) {
		t.Errorf("with evidence, hosts %v were called, want all", got)
	}
	far := e.answer("z-far", []port.ServiceEvidence{{Service: "errata-index"}})
	near := e.answer("c", []port.ServiceEvidence{{Service: "errata-index"}})
	for _, reports := range [][]port.ServiceEvidence{far, near} {
		if len(reports) != 1 || reports[0].Evidence.Targets[0].Target != "t1" {
			t.Errorf("the reply is %+v, want evidence against t1", reports)
		}
	}
	e.hosts.configure(&ingress.ActiveConfig{})
	e.exchangeAll(t.Context())
	if got := peers.take(); len(got) != 0 {
		t.Errorf("hosts %v were called without shared services", got)
	}
}
