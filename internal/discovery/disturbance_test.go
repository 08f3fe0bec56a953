package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the platform adapter and of the network that a disturbance applies.
const (
	// storeCallTimeout is the timeout of a call to the store, in addition to the time for
	// which the store may wait.
	storeCallTimeout = 900 * time.Millisecond
	// nearStoreTime and farStoreTime are the round trip and response times of the store for
	// the two regions.
	nearStoreTime = 5 * time.Millisecond
	farStoreTime  = 64 * time.Millisecond
	// maxPullTime is the longest time that a small host takes to fetch a large configuration.
	maxPullTime = 300 * time.Millisecond
	// datagramLoss is the share of datagrams that are lost.
	datagramLoss = 0.01
)

// storeMode is how the store responds to a call.
type storeMode int

const (
	storeOK storeMode = iota
	// storeRefusing answers a call with an error at once, storeSilent not at all.
	storeRefusing
	storeSilent
)

// disturbance holds the faults of a fleet and the times at which they ended. It is safe for
// concurrent use.
type disturbance struct {
	mu     sync.Mutex
	random *rand.Rand
	// mode applies to all hosts, modes to single ones.
	mode  storeMode
	modes map[int]storeMode
	// slow is the additional time of each call to the store.
	slow time.Duration
	// frozenUntil holds the times at which hosts, by address, run again.
	frozenUntil map[string]time.Time
	// storeDisturbedAt and storeAwayAt are the latest times at which the store turned hosts
	// away or forgot records, and at which it was down or slow for all.
	storeDisturbedAt, storeAwayAt time.Time
	// hostDisturbedAt holds the latest times at which hosts did not run or did not reach the
	// store.
	hostDisturbedAt map[int]time.Time
}

func newDisturbance(seed uint64) *disturbance {
	return &disturbance{
		random:          rand.New(rand.NewPCG(seed, 1)),
		modes:           map[int]storeMode{},
		frozenUntil:     map[string]time.Time{},
		hostDisturbedAt: map[int]time.Time{},
	}
}

// passCall waits until a call of a host reaches the store, and returns an error if it does not.
func (d *disturbance) passCall(ctx context.Context, host int, wait time.Duration) error {
	d.awaitThaw(fmt.Sprint("h", host))
	d.mu.Lock()
	mode := max(d.mode, d.modes[host])
	took := nearStoreTime + d.slow
	if host%2 == 1 {
		took = farStoreTime + d.slow
	}
	d.mu.Unlock()
	if mode == storeSilent || took > storeCallTimeout {
		took = storeCallTimeout + wait
	}
	if !sleep(ctx, took) {
		return ctx.Err()
	}
	d.awaitThaw(fmt.Sprint("h", host))
	if mode != storeOK {
		return errDown
	}
	return nil
}

// passPull waits for the time that a pull takes, and returns an error if one of the hosts is
// frozen for too long.
func (d *disturbance) passPull(ctx context.Context, from, to string) error {
	d.awaitThaw(from)
	d.mu.Lock()
	took := max(0, time.Until(d.frozenUntil[to])) + time.Duration(d.random.Float64()*float64(maxPullTime))
	d.mu.Unlock()
	if !sleep(ctx, took) {
		return ctx.Err()
	}
	return nil
}

// datagram returns the time that a datagram to an address takes, and whether it is lost.
func (d *disturbance) datagram(address string) (delay time.Duration, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(messageDelay, time.Until(d.frozenUntil[address])), d.random.Float64() < datagramLoss
}

// awaitThaw waits while the host at an address is frozen.
func (d *disturbance) awaitThaw(address string) {
	d.mu.Lock()
	left := time.Until(d.frozenUntil[address])
	d.mu.Unlock()
	time.Sleep(left)
}

// freeze stops a host for a time.
func (d *disturbance) freeze(host int, span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := time.Now().Add(span)
	d.frozenUntil[fmt.Sprint("h", host)] = until
	d.markHost(host, until)
}

// markHost records that a host is disturbed until a time. The caller holds the lock.
func (d *disturbance) markHost(host int, until time.Time) {
	d.hostDisturbedAt[host] = latest(d.hostDisturbedAt[host], until)
}

// hostDown records that a host does not run until a time.
func (d *disturbance) hostDown(host int, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markHost(host, until)
}

// cutOff cuts hosts off from the store for a time. Other hosts still reach them.
func (d *disturbance) cutOff(hosts []int, span time.Duration) {
	d.setModes(hosts, storeSilent, time.Now().Add(span), true)
	time.AfterFunc(span, func() { d.setModes(hosts, storeOK, time.Now(), true) })
}

// turnAway makes the store turn hosts away for a time.
func (d *disturbance) turnAway(hosts []int, mode storeMode, span time.Duration) {
	d.setModes(hosts, mode, time.Now().Add(span), false)
	time.AfterFunc(span, func() { d.setModes(hosts, storeOK, time.Now(), false) })
}

func (d *disturbance) setModes(hosts []int, mode storeMode, until time.Time, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range hosts {
		d.modes[h] = mode
		if cut {
			d.markHost(h, until)
		}
	}
	if !cut {
		d.storeDisturbedAt = latest(d.storeDisturbedAt, until)
	}
}

// disturbStore makes the store answer all hosts in a mode, and later, for a time.
func (d *disturbance) disturbStore(mode storeMode, slow, span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode, d.slow = mode, slow
	until := time.Now().Add(span)
	d.storeDisturbedAt, d.storeAwayAt = latest(d.storeDisturbedAt, until), latest(d.storeAwayAt, until)
	time.AfterFunc(span, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !time.Now().Before(d.storeAwayAt) {
			d.mode, d.slow = storeOK, 0
		}
	})
}

// storeAway reports whether the store answers nobody, operators included.
func (d *disturbance) storeAway() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode != storeOK
}

// bound returns the time within which a host must have a version now, and false if there is
// no bound.
func (d *disturbance) bound(host int, now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case now.Sub(d.hostDisturbedAt[host]) < stabilityWindow:
		return 0, false
	case now.Sub(d.storeDisturbedAt) >= stabilityWindow:
		return configApply, true
	case now.Sub(d.storeAwayAt) >= configApply+maxStretch:
		return configApply + maxStretch, true
	}
	return 0, false
}
