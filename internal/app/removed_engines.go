package app

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
)

// maxRemovedEngines bounds the engines of removed services that are kept. The ones that were
// removed first are dropped first.
const maxRemovedEngines = 64

// removedEngines holds the closed engines of services that were removed from the configuration. If
// the service returns, its targets are mostly the same processes, and what they said of themselves
// must still hold.
type removedEngines map[ident.ServiceName]removedEngine

type removedEngine struct {
	engine    *engine.Service
	removedAt time.Time
}

func (r removedEngines) add(name ident.ServiceName, e *engine.Service, now time.Time) {
	r[name] = removedEngine{e, now}
	if len(r) <= maxRemovedEngines {
		return
	}
	oldest := name
	for other, removed := range r {
		if removed.removedAt.Before(r[oldest].removedAt) {
			oldest = other
		}
	}
	delete(r, oldest)
}

// take removes the engine of a service and returns it, or nil if there is none.
func (r removedEngines) take(name ident.ServiceName) *engine.Service {
	removed, ok := r[name]
	if !ok {
		return nil
	}
	delete(r, name)
	return removed.engine
}
