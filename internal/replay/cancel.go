package replay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// cancelTry ends an attempt as canceled after the current event.
func (p *player) cancelTry(y *try) {
	if y != nil {
		p.queue.push(p.now, canceledEvent{y})
	}
}

type canceledEvent struct{ y *try }

func (e canceledEvent) happen(p *player) {
	if !e.y.ended {
		p.finish(e.y, dispatch.Result{Kind: attempt.Canceled, FreshConnection: e.y.fresh})
	}
}

// callerGone is the cancellation of a request by its caller.
type callerGone struct {
	h *host
	r *request
}

func (e *callerGone) happen(p *player) {
	if e.r.ended || e.h.dead {
		return
	}
	p.endRequest(e.h, e.r, outcomeCanceled)
	for _, id := range sortedKeys(e.h.tries) {
		if e.h.tries[id].req == e.r {
			p.cancelTry(e.h.tries[id])
		}
	}
	p.drive(e.h, e.h.decider.Cancel(p.clock(), e.r.id))
}

// sortedKeys fixes the order of a walk over a map.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
