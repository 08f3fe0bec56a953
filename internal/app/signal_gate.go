package app

import (
	"sync/atomic"
	"time"
)

const (
	// settleTime is the time after a stall in which the process handles the signals that arrived meanwhile.
	settleTime = 20 * time.Millisecond
	// settlePollInterval is the time between two checks of a request that waits for that, maxSettleWait the
	// longest wait.
	settlePollInterval = 2 * time.Millisecond
	maxSettleWait      = 200 * time.Millisecond
)

// signalGate holds requests back after a stall of the process until it has handled the signals that arrived
// meanwhile. Otherwise the requests that arrived as well are passed on, although the stop that has been
// requested leaves no time for them. It is safe for concurrent use. The zero value holds nothing back.
type signalGate struct {
	// checkedAt is the time of the latest check, settledAt the end of settleTime after the latest stall, both
	// since the start of the process; 0: none.
	checkedAt, settledAt atomic.Int64
}

// processStart is the origin of the times of a signalGate; it has a monotonic clock reading.
var processStart = time.Now()

// check is called at least every stallCheckInterval until open is called.
func (g *signalGate) check(now time.Time) {
	at := now.Sub(processStart)
	if last := time.Duration(g.checkedAt.Load()); last > 0 && at-last >= stallThreshold {
		g.settledAt.Store(int64(at + settleTime))
	}
	g.checkedAt.Store(int64(at))
}

// open ends the effect of the gate.
func (g *signalGate) open() {
	g.settledAt.Store(0)
	g.checkedAt.Store(0)
}

// holds reports whether the process may not have handled all signals that arrived before now.
func (g *signalGate) holds(now time.Time) bool {
	at := now.Sub(processStart)
	last := time.Duration(g.checkedAt.Load())
	return last > 0 && (at-last >= stallThreshold || at < time.Duration(g.settledAt.Load()))
}

// await waits while the gate holds requests back.
func (g *signalGate) await() {
	start := time.Now()
	for now := start; g.holds(now) && now.Sub(start) < maxSettleWait; now = time.Now() {
		time.Sleep(settlePollInterval)
	}
}
