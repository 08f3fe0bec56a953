package schedule

import (
	"maps"
	"slices"

	"github.com/sapphirehaven/sapphirehaven/internal/core/gray"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// clone returns a copy that shares no changing state with the scheduler, so that a decision can be
// made on the copy by the same code and without an effect. The configuration is never changed in
// place and is shared.
func (s *Scheduler) clone() *Scheduler {
	c := cloner{
		targets: map[*target]*target{}, processes: map[*processState]*processState{},
		classes: map[*class]*class{}, requests: map[*request]*request{},
	}
	model := *s.model
	c.model = &model
	out := *s
	out.model, out.budget, out.admission, out.shares = &model, s.budget.Clone(), s.admission.Clone(), s.shares.Clone()
	out.zones, out.actions = slices.Clone(s.zones), slices.Clone(s.actions)
	out.targets, out.order = cloneValues(s.targets, c.target), cloneList(s.order, c.target)
	out.processes.states = cloneValues(s.processes.states, c.process)
	out.pauses, out.leavingToReport = cloneList(s.pauses, c.process), cloneList(s.leavingToReport, c.process)
	out.classes, out.removedClasses = cloneValues(s.classes, c.class), cloneValues(s.removedClasses, c.class)
	out.requests, out.waiting = cloneValues(s.requests, c.request), cloneList(s.waiting, c.request)
	out.attempts = make(map[ident.AttemptID]*runningAttempt, len(s.attempts))
	for id, a := range s.attempts {
		copied := *a
		copied.request, copied.target = c.request(a.request), c.target(a.target)
		out.attempts[id] = &copied
	}
	return &out
}

func cloneValues[K comparable, V any](m map[K]V, clone func(V) V) map[K]V {
	out := maps.Clone(m)
	for k, v := range out {
		out[k] = clone(v)
	}
	return out
}

func cloneList[V any](list []V, clone func(V) V) []V {
	out := slices.Clone(list)
	for i, v := range out {
		out[i] = clone(v)
	}
	return out
}

// cloner copies what a scheduler refers to, each object once.
type cloner struct {
	model     *gray.Model
	targets   map[*target]*target
	processes map[*processState]*processState
	classes   map[*class]*class
	requests  map[*request]*request
}

// once returns the copy of an object, which fill completes when the object is met for the first
// time.
func once[V any](known map[*V]*V, v *V, fill func(*V)) *V {
	if v == nil {
		return nil
	}
	if out := known[v]; out != nil {
		return out
	}
	out := *v
	known[v] = &out
	fill(&out)
	return &out
}

func (c *cloner) target(t *target) *target {
	return once(c.targets, t, func(out *target) {
		out.process = c.process(t.process)
		out.belief = t.belief.WithModel(c.model)
		out.rate, out.otherLoad = t.rate.Clone(), t.otherLoad.Clone()
		out.idleSince = slices.Clone(t.idleSince)
	})
}

func (c *cloner) process(p *processState) *processState {
	return once(c.processes, p, func(*processState) {})
}

func (c *cloner) class(k *class) *class {
	return once(c.classes, k, func(out *class) { out.distanceCosts = slices.Clone(k.distanceCosts) })
}

func (c *cloner) request(r *request) *request {
	return once(c.requests, r, func(out *request) {
		out.class, out.tried = c.class(r.class), slices.Clone(r.tried)
	})
}
