package replay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// cancelAttempt schedules the end of an attempt as canceled, after the current
// event.
func (sim *simulation) cancelAttempt(att *attemptState) {
	if att != nil {
		sim.queue.push(sim.now, attemptCanceledEvent{att})
	}
}

type attemptCanceledEvent struct{ attempt *attemptState }

func (e attemptCanceledEvent) apply(sim *simulation) {
	if !e.attempt.ended {
		sim.finishAttempt(e.attempt, dispatch.Result{Kind: attempt.Canceled, FreshConnection: e.attempt.freshConn})
	}
}

// callerCancelEvent is the cancellation of a request by its caller.
type callerCancelEvent struct {
	host    *host
	request *request
}

func (e *callerCancelEvent) apply(sim *simulation) {
	if e.request.ended || e.host.killed {
		return
	}
	sim.endRequest(e.host, e.request, outcomeCanceled)
	for _, id := range sortedKeys(e.host.attempts) {
		if e.host.attempts[id].request == e.request {
			sim.cancelAttempt(e.host.attempts[id])
		}
	}
	sim.applyActions(e.host, e.host.decider.Cancel(sim.clock(), e.request.id))
}

// sortedKeys returns the keys of a map in ascending order, so that an iteration is
// deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
