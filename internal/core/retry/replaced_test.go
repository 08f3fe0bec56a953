package retry

import (
	"fmt"
	"testing"
	"time"
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
	hostAllowance    = 0.6 * fleetAllowance / fleetHosts
	fleetHosts       = 4
	requestInterval  = time.Second / 30
	replacementDelay = 500 * time.Millisecond
	// Once targets fail, failing of failingOf attempts do.
	failing, failingOf = 2, 5
)

// budgetFleet counts the requests and retries of hosts that each have a budget of their own.
type budgetFleet struct {
	hosts             [fleetHosts]*WindowBudget
	requests, retries []time.Duration
}

func newBudgetFleet() *budgetFleet {
	f := &budgetFleet{}
	for i := range f.hosts {
		f.hosts[i] = newHostBudget()
	}
	return f
}

func newHostBudget() *WindowBudget {
	w := NewWindowBudget()
	w.Configure(fleetWindow, hostRatio, hostAllowance)
	return w
}

// run sends requests at a fixed rate to each host. Attempts fail from a time on, and the hosts are replaced one
// after the other from another time on, if that isn't 0.
func (f *budgetFleet) run(until, failFrom, replaceFrom time.Duration) {
	start := time.Unix(1_700_000_000, 0)
	attempts := 0
	for n, at := 0, time.Duration(0); at < until; n, at = n+1, at+requestInterval {
		for i := range f.hosts {
			if replacedAt := replaceFrom + time.Duration(i)*replacementDelay; replaceFrom > 0 && at >= replacedAt && at < replacedAt+requestInterval {
				f.hosts[i] = newHostBudget()
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
