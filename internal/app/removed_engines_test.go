package app

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestEngineOfReturningService guards against a service that is removed from the configuration and
// returns with an engine that has forgotten what its targets said of themselves.
func TestEngineOfReturningService(t *testing.T) {
	transport := target.New(target.DefaultConfig())
	defer transport.Close()
	s := newServices(dispatch.Self{Host: "h"}, transport, nil)
	defer s.close()
	class := document.Class{Name: "c"}
	with := &document.Document{Services: []document.Service{{Name: "s", Classes: []document.Class{class}}}}
	before := s.apply(1, with).Backends["s"].Engine
	s.apply(2, &document.Document{})
	after := s.apply(3, with).Backends["s"].Engine
	if after != before {
		t.Fatal("the returning service has a new engine")
	}
}

// TestRemovedEnginesAreBounded guards against engines that pile up while a configuration with ever
// new services is in use.
func TestRemovedEnginesAreBounded(t *testing.T) {
	start := time.Unix(1000, 0)
	r := removedEngines{}
	for i := range maxRemovedEngines + 3 {
		r.add(ident.ServiceName(fmt.Sprint(i)), nil, start.Add(time.Duration(i)*time.Second))
	}
	if _, kept := r["2"]; kept || len(r) != maxRemovedEngines {
		t.Errorf("%d engines are kept, the third one: %t", len(r), kept)
	}
	if _, kept := r["3"]; !kept {
		t.Error("an engine was dropped although older ones were to be dropped first")
	}
}
