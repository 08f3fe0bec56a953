package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestReplacedHostsKeepBudget guards against hosts that are replaced one after the other and together retry more
// often than the fleet may: the count of the retries that a host has used ends with its process.
func TestReplacedHostsKeepBudget(t *testing.T) {
	for _, replacedFrom := range []int{0, 12, 14, 16} {
		t.Run(fmt.Sprintf("replaced from second %d", replacedFrom), func(t *testing.T) {
			f := newBudgetFleet()
			f.run(30*time.Second, 10*time.Second, time.Duration(replacedFrom)*time.Second)
			if excess := f.worstExcess(); excess > 0 {
				t.Errorf("%.0f retries in a window beyond what the fleet may use", excess)
			}
		})
	}
}

// Parameters of the fleet's budget: as many retries in a window as a share of the requests and an allowance. Hosts use
// parts of both (see usableRetryRatioFraction and activeAllowanceFraction of package app).
const (
	fleetWindow      = 10 * time.Second
	fleetRatio       = 0.2
	fleetAllowance   = 58
	hostRatio        = 0.9 * fleetRatio
	sharedAllowance  = 0.8 * fleetAllowance
	hostAllowance    = 0.6 * fleetAllowance / fleetHosts
	fleetHosts       = 4
	requestInterval  = time.Second / 30
	replacementDelay = 500 * time.Millisecond
	reportInterval   = 150 * time.Millisecond
	// Once targets fail, failing of failingOf attempts do.
	failing, failingOf = 2, 5
)

// budgetFleet counts the requests and retries of hosts that each have a budget of their own.
type budgetFleet struct {
	hosts [fleetHosts]*SharedBudget
	// names holds the name of each host; a host that takes over has a new one.
	names             [fleetHosts]ident.HostID
	requests, retries []time.Duration
	// rng decides which reports get lost, lossShare of them; nil means none.
	rng       *rand.Rand
	lossShare float64
}

func (f *budgetFleet) lost() bool { return f.rng != nil && f.rng.Float64() < f.lossShare }

func newBudgetFleet() *budgetFleet {
	f := &budgetFleet{}
	for i := range f.hosts {
		f.hosts[i], f.names[i] = newHostBudget(), ident.HostID(fmt.Sprint("host-", i))
	}
	return f
}

func newHostBudget() *SharedBudget {
	b := NewSharedBudget()
	b.Configure(SharedLimits{Span: fleetWindow, Ratio: hostRatio, Allowance: hostAllowance, FleetRatio: hostRatio, FleetAllowance: sharedAllowance})
	return b
}

// report lets each host tell the others what it used.
func (f *budgetFleet) report(now time.Time) {
	for i, from := range f.hosts {
		r := from.TakeReport(now)
		for _, to := range f.hosts {
			if to != from && !f.lost() {
				to.Observe(now, f.names[i], r)
			}
		}
	}
}

// run sends requests at a fixed rate to each host. Attempts fail from a time on, and the hosts are replaced one
// after the other from another time on, if that isn't 0.
func (f *budgetFleet) run(until, failFrom, replaceFrom time.Duration) {
	start := time.Unix(1_700_000_000, 0)
	attempts := 0
	reportAt := reportInterval
	for at := time.Duration(0); at < until; at += requestInterval {
		if at >= reportAt {
			f.report(start.Add(at))
			reportAt += reportInterval
		}
		for i := range f.hosts {
			if replacedAt := replaceFrom + time.Duration(i)*replacementDelay; replaceFrom > 0 && at >= replacedAt && at < replacedAt+requestInterval {
				f.hosts[i], f.names[i] = newHostBudget(), ident.HostID(fmt.Sprint("successor-", i))
			}
			now := start.Add(at)
			f.hosts[i].Request(now)
			f.requests = append(f.requests, at)
			for attempts++; at >= failFrom && attempts%failingOf < failing && f.hosts[i].Take(now); attempts++ {
				f.retries = append(f.retries, at)
			}
		}
	}
}

// worstExcess returns the highest number of retries in a window beyond what the fleet may use for the requests of
// that window, of the one before it or of the one half a window before it.
func (f *budgetFleet) worstExcess() float64 {
	worst := -float64(fleetAllowance)
	for _, from := range f.retries {
		requests := 0
		for _, shift := range []time.Duration{0, fleetWindow / 2, fleetWindow} {
			requests = max(requests, countIn(f.requests, from-shift, fleetWindow))
		}
		worst = max(worst, float64(countIn(f.retries, from, fleetWindow))-fleetRatio*float64(requests)-fleetAllowance)
	}
	return worst
}

func countIn(times []time.Duration, from, length time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+length {
			n++
		}
	}
	return n
}

// TestReplacedHostsWithLostReports guards against a fleet that exceeds its budget because some of the reports get
// lost while hosts replace each other at random times.
func TestReplacedHostsWithLostReports(t *testing.T) {
	for seed := range uint64(40) {
		f := newBudgetFleet()
		f.rng = rand.New(rand.NewPCG(seed, 31))
		f.lossShare = 0.05
		f.run(40*time.Second, time.Duration(5+f.rng.IntN(10))*time.Second, time.Duration(10+f.rng.IntN(20))*time.Second)
		if excess := f.worstExcess(); excess > 0 {
			t.Errorf("seed %d: %.0f retries in a window beyond what the fleet may use", seed, excess)
		}
	}
}
