package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
)

// Dispatcher balances the requests for one service on one host. The actions
// that a method returns may concern requests other than the one in the event:
// a released slot starts a queued request, and an arrival may evict one from a
// full queue.
type Dispatcher struct {
	// periodicProbesDisabled is set while other hosts send the periodic probes.
	periodicProbesDisabled bool

	cfg    Config
	self   Self
	health *health.Tracker
	rng    *rand.Rand
	budget *retry.Budget
	queue  *limit.Queue[*request]
	timers timers

	targets map[ident.TargetID]*target
	// removedTargets holds removed targets that still have attempts in flight.
	removedTargets map[ident.TargetID]*target
	classes        map[ident.ClassName]*class
	// classList holds the classes in document order.
	classList   []*class
	uploadsOnly bool

	requests        map[ident.RequestID]*request
	attempts        map[ident.AttemptID]*runningAttempt
	lastAttemptID   ident.AttemptID
	uploadsInFlight int

	// dueTrials holds the ejected targets that a request may test now.
	dueTrials []*target
	// trialRound counts the calls of refreshTrials.
	trialRound     uint64
	nextHealthTick time.Time
	// now is the time of the last event.
	now         time.Time
	peerReports map[ident.HostID]peerReport

	// actions collects the actions of the event being handled.
	actions  []Action
	excluded []int
}

// New returns a dispatcher. The seed determines all random choices.
func New(now time.Time, cfg Config, self Self, seed uint64) *Dispatcher {
	d := &Dispatcher{
		self:           self,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		budget:         retry.NewBudget(now, 0),
		queue:          limit.NewQueue[*request](0),
		targets:        map[ident.TargetID]*target{},
		removedTargets: map[ident.TargetID]*target{},
		requests:       map[ident.RequestID]*request{},
		attempts:       map[ident.AttemptID]*runningAttempt{},
		peerReports:    map[ident.HostID]peerReport{},
		nextHealthTick: now.Add(firstHealthTickDelay),
	}
	d.health = health.New(now, healthConfig(withDefaults(cfg)), self.Host, seed)
	d.Configure(now, cfg)
	return d
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// finishEvent starts queued requests for which slots are free and returns the
// actions of the event.
func (d *Dispatcher) finishEvent(now time.Time) []Action {
	d.now = now
	d.serveQueue(now)
	actions := d.actions
	d.actions = nil
	return actions
}
