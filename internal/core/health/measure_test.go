package health

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

var balances = []float64{0, 0.5, 1}

// TestFalseEjectionRate guards against false ejections caused by long-tailed latency
// and background errors.
func TestFalseEjectionRate(t *testing.T) {
	// limits are the allowed false ejections per 1,000 target-hours for each of balances.
	limits := []float64{1, 5, 10}
	for i, balance := range balances {
		t.Run(fmt.Sprint(balance), func(t *testing.T) {
			t.Parallel()
			n, hours := healthyRun(balance, 2*time.Hour)
			rate := float64(n) / hours * 1000
			t.Logf("balance %v: %d false ejections in %.0f target-hours, %.2f per 1,000", balance, n, hours, rate)
			if rate > limits[i] {
				t.Errorf("false ejections per 1,000 target-hours: %.2f, want at most %v", rate, limits[i])
			}
		})
	}
}

// healthyLoads are loads with lognormal latency (median in seconds). The last one has a
// share of answers that miss a cache. share is the fraction of the simulated time.
var healthyLoads = []struct{ rps, median, sigma, misses, share float64 }{
	{1, 0.02, 1, 0, 1},
	{2, 0.6, 1, 0, 1},
	{5, 0.02, 1, 0, 0.5},
	{5, 0.02, 0.3, 0.1, 0.3},
}

// healthyRun returns the false ejections and target-hours of simulated services without
// faults.
func healthyRun(balance float64, d time.Duration) (int, float64) {
	n, hours := 0, 0.0
	for i, load := range healthyLoads {
		s := newSim(simConfig(balance, 40, 4), uint64(i+1))
		s.rps, s.median, s.sigma, s.misses = load.rps, load.median, load.sigma, load.misses
		s.run(seconds(d.Seconds() * load.share))
		n += s.ejections()
		hours += 40 * s.now.Sub(s.start).Hours()
	}
	return n, hours
}

func BenchmarkFalseEjections(b *testing.B) {
	for _, balance := range balances {
		b.Run(fmt.Sprint("balance=", balance), func(b *testing.B) {
			n, hours := 0, 0.0
			for b.Loop() {
				n, hours = healthyRun(balance, 24*time.Hour)
			}
			b.ReportMetric(float64(n), "ejections")
			b.ReportMetric(hours, "target-hours")
		})
	}
}

var faults = []struct {
	name    string
	fault   targetBehaviour
	regular bool // arrivals are evenly spaced
	limit   [3]time.Duration
}{
	{"blackout", targetBehaviour{slow: 1, silent: true}, true, [3]time.Duration{2 * time.Second, time.Second, time.Second}},
	{"blackout-poisson", targetBehaviour{slow: 1, silent: true}, false, [3]time.Duration{2 * time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond}},
	{"errors30", targetBehaviour{slow: 1, errors: 0.3}, false, [3]time.Duration{10 * time.Second, 7 * time.Second, 5 * time.Second}},
	{"errors5", targetBehaviour{slow: 1, errors: 0.05}, false, [3]time.Duration{2 * time.Minute, time.Minute, time.Minute}},
	{"slow3", targetBehaviour{slow: 3}, false, [3]time.Duration{30 * time.Second, 20 * time.Second, 20 * time.Second}},
	{"slow10", targetBehaviour{slow: 10}, false, [3]time.Duration{10 * time.Second, 5 * time.Second, 5 * time.Second}},
	{"hang30", targetBehaviour{slow: 1, hang: 0.3}, false, [3]time.Duration{10 * time.Second, 6 * time.Second, 6 * time.Second}},
}

// detection returns the sorted times to the ejection of one faulty target out of 10 in
// 4 zones at 5 requests/s, and the number of state changes of the others.
func detection(balance float64, fault targetBehaviour, regular bool, runs int) (times []time.Duration, others int) {
	const onset, limit = time.Minute, 10 * time.Minute
	for seed := range runs {
		s := newSim(simConfig(balance, 10, 4), uint64(seed+100))
		s.regular = regular
		s.run(onset)
		f := fault
		s.targets["t3"] = &f
		d := limit
		for s.now.Sub(s.start) < onset+limit {
			s.run(100 * time.Millisecond)
			if found, ok := s.firstEjection("t3", onset); ok {
				d = found
				break
			}
		}
		times = append(times, d)
		for _, c := range s.changes {
			if c.Target != "t3" {
				others++
			}
		}
	}
	slices.Sort(times)
	return times, others
}

// TestDetectionTime guards against slow detection of each kind of fault and against
// state changes of healthy targets.
func TestDetectionTime(t *testing.T) {
	const runs = 15
	for _, f := range faults {
		for i, balance := range balances {
			times, others := detection(balance, f.fault, f.regular, runs)
			t.Logf("%s balance %v: median %v, highest %v", f.name, balance, times[runs/2], times[runs-1])
			if times[runs/2] > f.limit[i] {
				t.Errorf("%s balance %v: median %v, want at most %v", f.name, balance, times[runs/2], f.limit[i])
			}
			if others > 0 {
				t.Errorf("%s balance %v: %d changes of healthy targets", f.name, balance, others)
			}
		}
	}
}

// multiHostDetection returns the median over all hosts of the time to the removal of a
// target with 30% errors, at 1 request/s from each host, and the number of state changes
// of the other targets. The hosts exchange evidence if exchange is set.
func multiHostDetection(hosts, runs int, exchange bool) (time.Duration, int) {
	const onset, limit = time.Minute, 3 * time.Minute
	var times []time.Duration
	others := 0
	for run := range runs {
		sims := make([]*sim, hosts)
		for i := range sims {
			sims[i] = newSim(simConfig(0.5, 10, 4), uint64(run*hosts+i))
			sims[i].rps = 1
			sims[i].t.self = ident.HostID(fmt.Sprint("host", i))
		}
		for at := time.Duration(0); at < limit; at += time.Second {
			for _, s := range sims {
				if at == onset {
					s.targets["t3"].errors = 0.3
				}
				s.run(time.Second)
			}
			for i, s := range sims {
				e := s.t.Evidence(s.now)
				for j, other := range sims {
					if exchange && i != j {
						other.recordChanges(other.t.Merge(other.now, e))
					}
				}
			}
		}
		for _, s := range sims {
			d, ok := s.firstEjection("t3", onset)
			if !ok {
				d = limit
			}
			times = append(times, d)
			for _, c := range s.changes {
				if c.Target != "t3" {
					others++
				}
			}
		}
	}
	slices.Sort(times)
	return times[len(times)/2], others
}

// TestMultiHostDetection guards against evidence of other hosts that does not shorten
// detection or that removes healthy targets.
func TestMultiHostDetection(t *testing.T) {
	alone, _ := multiHostDetection(4, 10, false)
	fused, others := multiHostDetection(4, 10, true)
	t.Logf("alone %v, with evidence of 3 other hosts %v", alone, fused)
	if fused >= alone*9/10 || others > 0 {
		t.Errorf("alone %v, with evidence of 3 other hosts %v, changes of healthy targets %d", alone, fused, others)
	}
}

// sharedFaults are faults that affect all targets, or all targets of one zone.
var sharedFaults = []struct {
	name  string
	zone  bool
	fault targetBehaviour
}{
	{"slow3", false, targetBehaviour{slow: 3}},
	{"slow10", false, targetBehaviour{slow: 10}},
	{"errors20", false, targetBehaviour{slow: 1, errors: 0.2}},
	{"errors50", false, targetBehaviour{slow: 1, errors: 0.5}},
	{"errors100", false, targetBehaviour{slow: 1, errors: 1}},
	{"stall", false, targetBehaviour{slow: 1, silent: true}},
	{"link-slow3", true, targetBehaviour{slow: 3}},
	{"link-slow10", true, targetBehaviour{slow: 10}},
}

// sharedRun returns the ejections among 10 targets in 4 zones during a shared fault that
// lasts 40 s, ends and recurs once.
func sharedRun(balance float64, zone bool, fault targetBehaviour, seed uint64) int {
	s := newSim(simConfig(balance, 10, 4), seed)
	s.run(time.Minute)
	for range 2 {
		for _, target := range s.t.cfg.Targets {
			if f := fault; !zone || target.Location.Zone == "z1" {
				*s.targets[target.ID] = f
			}
		}
		s.run(40 * time.Second)
		for _, b := range s.targets {
			*b = targetBehaviour{slow: 1}
		}
		s.run(30 * time.Second)
	}
	return s.ejections()
}

// TestSharedFaults guards against ejections caused by a fault that the targets share. It
// must not eject any target at any balance.
func TestSharedFaults(t *testing.T) {
	const seeds = 5
	for _, f := range sharedFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for _, balance := range balances {
				n := 0
				for seed := range uint64(seeds) {
					n += sharedRun(balance, f.zone, f.fault, seed)
				}
				t.Logf("balance %v: %d ejections", balance, n)
				if n > 0 {
					t.Errorf("balance %v: %d ejections, want none", balance, n)
				}
			}
		})
	}
}

func BenchmarkSharedFaults(b *testing.B) {
	for _, f := range sharedFaults {
		for _, balance := range balances {
			b.Run(fmt.Sprintf("%s/balance=%v", f.name, balance), func(b *testing.B) {
				n := 0
				for b.Loop() {
					n = 0
					for seed := range uint64(50) {
						n += sharedRun(balance, f.zone, f.fault, seed)
					}
				}
				b.ReportMetric(float64(n)/10, "ejections/100-onsets")
			})
		}
	}
}

func BenchmarkDetection(b *testing.B) {
	for _, f := range faults {
		for _, balance := range balances {
			b.Run(fmt.Sprintf("%s/balance=%v", f.name, balance), func(b *testing.B) {
				var times []time.Duration
				others := 0
				for b.Loop() {
					times, others = detection(balance, f.fault, f.regular, 101)
				}
				b.ReportMetric(times[50].Seconds(), "median-s")
				b.ReportMetric(times[95].Seconds(), "p95-s")
				b.ReportMetric(float64(others), "others")
			})
		}
	}
}

var sizes = []int{10, 100, 1000, 10000}

func BenchmarkFinished(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint("targets=", size), func(b *testing.B) {
			cfg := simConfig(0.5, size, 4)
			now := time.Unix(1_000_000, 0)
			t := New(now, cfg, "self", 1)
			b.ReportAllocs()
			id := ident.AttemptID(0)
			for b.Loop() {
				id++
				now = now.Add(time.Millisecond)
				t.AttemptStarted(now, Attempt{ID: id, Target: cfg.Targets[int(id)%size].ID, Class: "lookup"})
				t.AttemptFinished(now.Add(time.Duration(20+id%50)*time.Millisecond), id, attempt.Result{})
			}
		})
	}
}

// BenchmarkTick measures a tick while a tenth of the targets have overdue attempts.
func BenchmarkTick(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint("targets=", size), func(b *testing.B) {
			cfg := simConfig(0.5, size, 4)
			now := time.Unix(1_000_000, 0)
			t := New(now, cfg, "self", 1)
			for i := range 10 * max(size, 1000) {
				id := ident.AttemptID(i)
				t.AttemptStarted(now, Attempt{ID: id, Target: cfg.Targets[i%size].ID, Class: "lookup"})
				t.AttemptFinished(now.Add(time.Duration(20+i%50)*time.Millisecond), id, attempt.Result{})
			}
			for i := range max(size/10, 1) {
				t.AttemptStarted(now, Attempt{ID: ident.AttemptID(1<<30 + i), Target: cfg.Targets[i].ID, Class: "lookup"})
			}
			now = now.Add(time.Second)
			for b.Loop() {
				t.Tick(now)
			}
		})
	}
}

func BenchmarkRotation(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint("targets=", size), func(b *testing.B) {
			t := New(time.Unix(1_000_000, 0), simConfig(0.5, size, 4), "self", 1)
			b.Run("cached", func(b *testing.B) {
				for b.Loop() {
					t.Rotation("lookup")
				}
			})
			b.Run("rebuild", func(b *testing.B) {
				for b.Loop() {
					t.dirty = true
					t.rebuildIfDirty()
				}
			})
		})
	}
}

// BenchmarkMemory reports the heap bytes of a Tracker per target.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint("targets=", size), func(b *testing.B) {
			cfg := simConfig(0.5, size, 4)
			var before, after runtime.MemStats
			var t *Tracker
			for b.Loop() {
				t = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				t = New(time.Unix(1_000_000, 0), cfg, "self", 1)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(size), "B/target")
			runtime.KeepAlive(t)
		})
	}
}
