package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// failureModel simulates the targets of a service: each repeatedly fails a share of
// its requests for a period, as in the recorded request traces of deployments. The test
// bounds follow from the unavoidable losses: requests that fail at random, and one
// request for each target that starts to fail.
type failureModel struct {
	rng *rand.Rand
	// failing holds for each target whether it fails in each period.
	failing     [][]bool
	period      time.Duration
	failureRate float64
}

func newFailureModel(targets int, period time.Duration, failingShare, failureRate float64) *failureModel {
	m := &failureModel{rng: rand.New(rand.NewPCG(7, 8)), period: period, failureRate: failureRate}
	for range targets {
		var periods []bool
		for range 32 {
			periods = append(periods, m.rng.Float64() < failingShare)
		}
		m.failing = append(m.failing, periods)
	}
	return m
}

func (m *failureModel) fail(target int, at time.Duration) bool {
	rate := 0.012
	if m.failing[target][int(at/m.period)%32] {
		rate = m.failureRate
	}
	return m.rng.Float64() < rate
}

// simulateTargets submits Poisson arrivals of a class for a minute and returns the
// number of requests and of those that were not served.
func simulateTargets(t *testing.T, m *failureModel, class ident.ClassName, perSecond float64, service time.Duration) (requests, unserved int) {
	places := make([]ident.Location, len(m.failing))
	for i := range places {
		places[i] = hostZone
	}
	s := New(epoch, config(places...), dispatch.Self{Host: "h", Location: hostZone})
	type running struct {
		start dispatch.Start
		ends  time.Time
		res   dispatch.Result
	}
	var open []running
	now := epoch
	apply := func(actions []dispatch.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case dispatch.Start:
				at := now.Sub(epoch)
				end := running{a, now.Add(time.Duration(m.rng.ExpFloat64() * float64(service))), answered}
				if index := int(a.Target[1] - '0'); len(a.Target) == 2 && m.fail(index, at) || len(a.Target) == 3 && m.fail(10+int(a.Target[2]-'0'), at) {
					end.ends, end.res = now.Add(time.Millisecond), dispatch.Result{Kind: attempt.ServerError}
				}
				open = append(open, end)
			case dispatch.Fail, dispatch.Refuse:
				unserved++
			}
		}
	}
	next := now
	for step := range 60_000 {
		now = epoch.Add(time.Duration(step) * time.Millisecond)
		for i := 0; i < len(open); {
			if open[i].ends.After(now) {
				i++
				continue
			}
			done := open[i]
			open = append(open[:i], open[i+1:]...)
			apply(s.Finish(now, done.start.Attempt, done.res))
		}
		for !next.After(now) {
			next = next.Add(time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second)))
			requests++
			apply(s.Arrive(now, dispatch.Request{ID: ident.RequestID(requests), Class: class}))
		}
		if step%25 == 0 {
			apply(s.Tick(now))
		}
	}
	return requests, unserved
}

// TestOrdersAmongFailingTargets guards against repeatedly sending orders to targets
// that are still failing. As in all recorded traces of one deployment, about a third
// of twelve targets fail nine of ten orders within a millisecond for 12 s, and orders
// cannot be retried. Random selection loses 0.3; unavoidable are the 0.012 that fail at
// random and one order for each of about 18 onsets.
func TestOrdersAmongFailingTargets(t *testing.T) {
	requests, unserved := simulateTargets(t, newFailureModel(12, 12*time.Second, 0.3, 0.9), "order", 30, 160*time.Millisecond)
	if share := float64(unserved) / float64(requests); share > 0.045 {
		t.Errorf("%d of %d orders were not served (%.3f), want at most 0.045", unserved, requests, share)
	}
}

// TestLookupsAmongFailingTargets is the same test for requests that may be retried
// once: nearly all of them are served.
func TestLookupsAmongFailingTargets(t *testing.T) {
	requests, unserved := simulateTargets(t, newFailureModel(9, 12*time.Second, 0.3, 0.9), "lookup", 25, 210*time.Millisecond)
	if share := float64(unserved) / float64(requests); share > 0.02 {
		t.Errorf("%d of %d lookups were not served (%.3f), want at most 0.02", unserved, requests, share)
	}
}

// TestFloorWhileMostTargetsFail guards against sending all requests to a few
// targets while a tenth or more fail, as with several overlapping faults, so that
// recovered targets stay unused.
func TestFloorWhileMostTargetsFail(t *testing.T) {
	f := newFixture(t, config(hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone))
	rng := rand.New(rand.NewPCG(9, 9))
	usedAt := map[ident.TargetID]time.Time{}
	for f.now.Before(epoch.Add(20 * time.Second)) {
		r := f.arrive("order")
		at := f.runningTarget(r)
		usedAt[at] = f.now
		res := answered
		if rng.Float64() < 0.3 {
			res = serverError
		}
		f.advance(40 * time.Millisecond)
		f.finish(r, res)
		if f.now.Before(epoch.Add(5 * time.Second)) {
			continue
		}
		used := 0
		for _, last := range usedAt {
			if f.now.Sub(last) < 2*time.Second {
				used++
			}
		}
		if used < 7 {
			t.Fatalf("%d of 10 targets were used in the last 2 s while 0.3 of the requests fail, want 7", used)
		}
	}
}

// TestFloorCountsHealthyTargets guards against a floor that counts targets that
// have just failed instead of healthy targets that are avoided. This occurs when
// some targets start to fail while others recover; here three of ten do each, and
// every fifth caller disconnects.
func TestFloorCountsHealthyTargets(t *testing.T) {
	f := newFixture(t, config(hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone))
	failing := map[ident.TargetID]bool{"t0": true, "t1": true, "t2": true}
	usedAt := map[ident.TargetID]time.Time{}
	requests := 0
	serve := func(until time.Duration, callerDisconnects bool) {
		for f.now.Before(epoch.Add(until)) {
			r := f.arrive("order")
			at := f.runningTarget(r)
			usedAt[at] = f.now
			if requests++; callerDisconnects && requests%5 == 0 {
				// The caller disconnects: the request is not served, which says
				// nothing about the target.
				f.apply(f.Cancel(f.now, r))
				f.finish(r, dispatch.Result{Kind: attempt.Canceled})
				continue
			}
			res := answered
			if failing[at] {
				res = serverError
			}
			f.advance(25 * time.Millisecond)
			f.finish(r, res)
		}
	}
	serve(12*time.Second, false)
	failing = map[ident.TargetID]bool{"t7": true, "t8": true, "t9": true}
	serve(15*time.Second, true)
	used := 0
	for i := range 7 {
		if f.now.Sub(usedAt[id(i)]) < 2*time.Second {
			used++
		}
	}
	if used < 5 {
		t.Errorf("%d of the 7 healthy targets were used in the last 2 s, want 5", used)
	}
}
