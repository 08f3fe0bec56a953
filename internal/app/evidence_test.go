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

// recordingPeers records the addresses that evidence was sent to.
type recordingPeers struct {
	port.Peers
	mu     sync.Mutex
	called []string
}

func (p *recordingPeers) Exchange(_ context.Context, address string, _ []port.ServiceEvidence) ([]port.ServiceEvidence, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.called = append(p.called, address)
	return nil, nil
}

func (p *recordingPeers) takeCalled() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	called := p.called
	p.called = nil
	slices.Sort(called)
	return called
}

type noEvents struct{}

func (noEvents) Record(event.Kind, ...event.Field) {}

func newTestExchanger(t *testing.T) (*evidenceExchanger, *recordingPeers, *engine.Service) {
	hosts := staticHosts{
		{ID: "a", PeerAddress: "a", Location: testLocation},
		{ID: "b", PeerAddress: "b", Location: testLocation},
		{ID: "c", PeerAddress: "c", Location: testLocation},
		{ID: "0-far", PeerAddress: "0-far", Location: ident.Location{Region: "alex", Zone: "alex-raml"}},
		{ID: "z-far", PeerAddress: "z-far", Location: ident.Location{Region: "alex", Zone: "alex-raml"}},
	}
	cfg := dispatch.Config{Service: "errata-index", Classes: []dispatch.Class{{Name: "issue"}}}
	for _, id := range []ident.TargetID{"t1", "t2", "t3"} {
		cfg.Targets = append(cfg.Targets, dispatch.Target{ID: id, Location: testLocation, Slots: 6})
	}
	active := oneService(4)
	backend := active.Backends["errata-index"]
	backend.Engine = engine.NewService(cfg, dispatch.Self{Host: "b", Location: testLocation}, 1, &services{serves: func(ident.ServiceName) bool { return false }}, noEvents{})
	t.Cleanup(backend.Engine.Close)
	d := newDirectory(hosts, 1)
	d.configure(active)
	peers := &recordingPeers{}
	e := &evidenceExchanger{services: &services{active: active}, hosts: d, peers: peers, identity: &identity{host: "b"}, log: logrus.New()}
	return e, peers, backend.Engine
}

// TestEvidenceCalls guards against calls between regions without evidence, which would saturate the
// link, against evidence that is delayed or not sent to other regions, and against a pair of hosts
// in a region that never exchanges.
func TestEvidenceCalls(t *testing.T) {
	e, peers, service := newTestExchanger(t)
	e.exchangeAll(t.Context())
	first := peers.takeCalled()
	e.exchangeAll(t.Context())
	if second := peers.takeCalled(); !slices.Equal(append(first, second...), []string{"c"}) {
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
	if got := peers.takeCalled(); !slices.Equal(got, []string{"0-far", "a", "c", "z-far"}) {
		t.Errorf("with evidence, hosts %v were called, want all", got)
	}
	far := e.handleExchange("z-far", []port.ServiceEvidence{{Service: "errata-index"}})
	near := e.handleExchange("c", []port.ServiceEvidence{{Service: "errata-index"}})
	for _, reports := range [][]port.ServiceEvidence{far, near} {
		if len(reports) != 1 || reports[0].Evidence.Targets[0].Target != "t1" {
			t.Errorf("the reply is %+v, want evidence against t1", reports)
		}
	}
	e.hosts.configure(&ingress.ActiveConfig{})
	e.exchangeAll(t.Context())
	if got := peers.takeCalled(); len(got) != 0 {
		t.Errorf("hosts %v were called without shared services", got)
	}
}
