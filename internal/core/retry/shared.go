package retry

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Report is what a host tells the others about its retries.
type Report struct {
	// Own is what the host used since its last report.
	Own Usage
	// Fleet is what all hosts used, as far as the host knows. A host that takes over from
	// another learns from it what that one used.
	Fleet History
}

// SharedBudget is the retry budget of one host of a fleet. It limits the host's own retries,
// and those of all hosts as far as the host knows of them, so that the fleet keeps its
// budget while hosts replace each other.
type SharedBudget struct {
	own   *WindowBudget
	fleet *WindowBudget
	span  time.Duration
	// startedAt is the time of the first event, from which on the host knows of the others.
	startedAt time.Time
	// heard holds the hosts whose History was applied.
	heard map[ident.HostID]bool
	// unreported is what this host used since its last report.
	unreported Usage
}

// SharedLimits are the limits of a SharedBudget.
type SharedLimits struct {
	// Span is the length of the span to which the limits apply.
	Span time.Duration
	// Ratio is the number of retries of this host for each of its requests, Allowance the
	// number in addition to them.
	Ratio, Allowance float64
	// FleetRatio and FleetAllowance are the same for all hosts together; a FleetRatio of 0
	// means no limit.
	FleetRatio, FleetAllowance float64
}

// NewSharedBudget returns a budget that allows no retries until Configure is called.
func NewSharedBudget() *SharedBudget {
	return &SharedBudget{own: NewWindowBudget(), fleet: NewWindowBudget(), heard: map[ident.HostID]bool{}}
}

// Configure sets the limits.
func (b *SharedBudget) Configure(l SharedLimits) {
	b.span = l.Span
	b.own.Configure(l.Span, l.Ratio, l.Allowance)
	b.fleet.Configure(l.Span, l.FleetRatio, l.FleetAllowance)
}

// Request counts a request of this host.
func (b *SharedBudget) Request(now time.Time) { b.use(now, Usage{Requests: 1}) }

// Take counts a retry of this host if it is allowed and reports whether it is.
func (b *SharedBudget) Take(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.use(now, Usage{Retries: 1})
	return true
}

func (b *SharedBudget) use(now time.Time, u Usage) {
	b.start(now)
	b.own.used.add(now, u)
	b.fleet.used.add(now, u)
	b.unreported.add(u)
}

func (b *SharedBudget) start(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
}

// Remaining returns the number of retries that are allowed now.
func (b *SharedBudget) Remaining(now time.Time) float64 {
	left := b.own.Remaining(now)
	if b.fleet.ratio == 0 {
		return left
	}
	return min(left, b.fleet.Remaining(now))
}

// Observe applies the report of another host. In the first span after its start, a host
// completes what it knows of the time before with what each other one knows when it is first
// heard of. Later reports would return what this host told that one.
func (b *SharedBudget) Observe(now time.Time, from ident.HostID, r Report) {
	if r == (Report{}) {
		// Not every message has a report.
		return
	}
	b.start(now)
	b.fleet.used.add(now, r.Own)
	if now.Sub(b.startedAt) < b.span && !b.heard[from] {
		b.heard[from] = true
		b.complete(now, r.Fleet)
	}
}

// complete adds what another host knows of the latest span beyond what this one knows.
// Parts that differ because messages take time are balanced by the totals: missing retries
// are added to the latest parts first and missing requests to the earliest, so that neither
// allows more.
func (b *SharedBudget) complete(now time.Time, known History) {
	own := b.fleet.used.history(now)
	ownTotal, knownTotal := own.total(), known.total()
	requests, retries := knownTotal.Requests-ownTotal.Requests, knownTotal.Retries-ownTotal.Retries
	for latest := range known {
		earliest := len(known) - 1 - latest
		missing := min(max(0, retries), max(0, known[latest].Retries-own[latest].Retries))
		b.fleet.used.addAged(now, latest, Usage{Retries: missing})
		retries -= missing
		missing = min(max(0, requests), max(0, known[earliest].Requests-own[earliest].Requests))
		b.fleet.used.addAged(now, earliest, Usage{Requests: missing})
		requests -= missing
	}
}

// TakeReport returns the report for the other hosts and resets what is unreported.
func (b *SharedBudget) TakeReport(now time.Time) Report {
	r := Report{Own: b.unreported, Fleet: b.fleet.used.history(now)}
	b.unreported = Usage{}
	return r
}
