package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
)

// Dispatcher decides for one service on one host. The actions that a method
// returns may concern other requests than the one in the event: a slot that
// becomes free starts a waiting request, and a full queue refuses one.
type Dispatcher struct {
	// noRegularProbes tells that other hosts send the probes of every interval.
	noRegularProbes bool

	cfg    Config
	self   Self
	health *health.Tracker
	rng    *rand.Rand
	budget *retry.Budget
	queue  *limit.Queue[*request]
	timers timers

	targets map[ident.TargetID]*target
	// leaving holds removed targets that still have attempts in flight.
	leaving map[ident.TargetID]*target
	classes map[ident.ClassName]*class
	// order holds the classes in document order.
	order       []*class
	uploadsOnly bool

	requests map[ident.RequestID]*request
	attempts map[ident.AttemptID]*openAttempt
	lastID   ident.AttemptID
	uploads  int

	// trials holds the ejected targets that a request may test now.
	trials     []*target
	trialRound uint64
	healthDue  time.Time
	// now is the time of the last event.
	now   time.Time
	peers map[ident.HostID]peerReport

	// actions collects the actions of the event being handled.
	actions  []Action
	excluded []int
}

// New returns a dispatcher. The seed fixes every random choice.
func New(now time.Time, cfg Config, self Self, seed uint64) *Dispatcher {
	d := &Dispatcher{
		self:      self,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		budget:    retry.NewBudget(now, 0),
		queue:     limit.NewQueue[*request](0),
		targets:   map[ident.TargetID]*target{},
		leaving:   map[ident.TargetID]*target{},
		requests:  map[ident.RequestID]*request{},
		attempts:  map[ident.AttemptID]*openAttempt{},
		peers:     map[ident.HostID]peerReport{},
		healthDue: now.Add(idleHealthInterval),
	}
	d.health = health.New(now, healthConfig(withDefaults(cfg)), self.Host, seed)
	d.Configure(now, cfg)
	return d
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// settle starts what can be started after an event and returns the actions.
func (d *Dispatcher) settle(now time.Time) []Action {
	d.now = now
	d.pump(now)
	actions := d.actions
	d.actions = nil
	return actions
}
