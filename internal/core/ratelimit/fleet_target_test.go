package ratelimit_test

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/schedule"
)

// target is the model of a target that states a rate: it states it in each response, for
// as long as it is set.
type target struct {
	dispatch.Target
	stated      string
	statedSince time.Duration
	arrivals    []arrival
}

type arrival struct {
	at time.Duration
	// told is set if the host had heard the target state a rate half a second before.
	told bool
}

// attempt sends a request to a target and returns its response, which states the rate of
// the time at which it is written.
func (f *fleet) attempt(h *host, start dispatch.Start) {
	var t *target
	for _, candidate := range f.targets {
		if candidate.ID == start.Target {
			t = candidate
		}
	}
	proc := h.proc
	sentAt := f.clock(h)
	delay := linkDelay
	if t.Location.Region != h.Location.Region {
		delay = regionDelay
	}
	f.after(delay, func() {
		toldAt, told := proc.toldAt[t]
		t.arrivals = append(t.arrivals, arrival{f.now, told && f.now-toldAt >= 500*time.Millisecond})
		f.after(time.Duration((0.02+0.02*f.rng.Float64())*float64(time.Second)), func() {
			var values []string
			if t.stated != "" {
				values = []string{t.stated}
			}
			f.onHost(h, delay, func() {
				if _, known := proc.toldAt[t]; !known && len(values) > 0 {
					proc.toldAt[t] = f.now
				}
				now := f.clock(h)
				f.execute(h, proc.scheduler.ReportLimit(now, schedule.LimitReport{Process: proc.scheduler.ProcessOf(start.Attempt), Statement: ratelimit.ParseStatement(values), SentAt: sentAt}))
				f.execute(h, proc.scheduler.Finish(now, start.Attempt, dispatch.Result{Kind: attempt.Answered, FirstByte: time.Millisecond}))
			})
		})
	})
}

// state changes what a target states from now on.
func (f *fleet) state(t *target, value string) { t.stated, t.statedSince = value, f.now }

// hostsThatLimit returns the number of hosts that take a target for limited.
func (f *fleet) hostsThatLimit(t *target) int {
	n := 0
	for _, h := range f.hosts {
		for _, e := range h.proc.scheduler.Limits(f.clock(h)) {
			if e.Target == t.ID && e.Limit.Limited {
				n++
			}
		}
	}
	return n
}

// arrived returns the number of requests that arrived at a target in an interval.
func (t *target) arrived(from, to time.Duration) int {
	n := 0
	for _, a := range t.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

// mostTold returns the highest number of requests in a window of 4 s between two times
// from hosts that had been told the rate, and the start of that window.
func (t *target) mostTold(from, to time.Duration) (most int, at time.Duration) {
	var window []time.Duration
	for _, a := range t.arrivals {
		if a.at < from || a.at >= to || !a.told {
			continue
		}
		window = append(window, a.at)
		for a.at-window[0] >= rateWindow {
			window = window[1:]
		}
		if len(window) > most {
			most, at = len(window), window[0]
		}
	}
	return most, at
}
