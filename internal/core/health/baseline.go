package health

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Parameters of the baselines.
const (
	// baselineHalfLife is the memory of the long baseline.
	baselineHalfLife = time.Minute
	// maxDecayExponent bounds the forward-decay weights before they are rescaled.
	maxDecayExponent = 40
	// recentWindow bounds the age of results in the short baseline.
	recentWindow = 10 * time.Second
	// recentOutcomes and recentLatencies are the sizes of the rings that hold
	// the newest results of the service and of a group.
	recentOutcomes  = 64
	recentLatencies = 32
	// minPeerLatencies is the weight of peers' answers below which latencies are
	// not compared.
	minPeerLatencies = 30
	// shortLatencies is the number of peers' answers in the short latency
	// baseline; minShortLatencies is the least that is used.
	shortLatencies    = 12
	minShortLatencies = 4
	// minShortOutcomes is the least number of peers' results for the short
	// failure baseline.
	minShortOutcomes = 8
	// newestOutcomes is the number of the newest results that show an error burst
	// at its start, if at least newestFailures of them failed at several targets.
	newestOutcomes = 8
	newestFailures = 3
	// burstFailures is the number of recent failures from which a standard error
	// is added. At high rates the tests' alternative is close to the baseline, and
	// a low estimate made healthy targets drift upwards in a long error burst.
	burstFailures = 4
	// locationAllowance is added to latencies in a group of several zones, whose
	// targets differ by the latency between zones (seconds).
	locationAllowance = 0.001
	// maxProfiles bounds the classes whose latencies are centered separately.
	maxProfiles = 16
	// centerGain is the smallest gain of a profile's mean.
	centerGain = 0.01
)

// sums are forward-decayed sums over results: weights grow with time, so that
// a target's share can be subtracted exactly from the total.
type sums struct {
	n, failed, latencies, log, log2 float64
}

func (s *sums) add(o sums) {
	s.n += o.n
	s.failed += o.failed
	s.latencies += o.latencies
	s.log += o.log
	s.log2 += o.log2
}

func (s sums) minus(o sums) sums {
	return sums{
		n: max(s.n-o.n, 0), failed: max(s.failed-o.failed, 0),
		latencies: max(s.latencies-o.latencies, 0), log: s.log - o.log, log2: s.log2 - o.log2,
	}
}

func (s *sums) scale(f float64) {
	*s = sums{n: s.n * f, failed: s.failed * f, latencies: s.latencies * f, log: s.log * f, log2: s.log2 * f}
}

// sample is one recent result.
type sample struct {
	target  *target
	started int64
	ended   int64
	// excess is the log latency above the profile's center.
	excess float32
	failed bool
}

// ring keeps the newest samples.
type ring struct {
	samples []sample
	next    int
}

func newRing(size int) ring { return ring{samples: make([]sample, size)} }

func (r *ring) add(s sample) {
	r.samples[r.next] = s
	r.next = (r.next + 1) % len(r.samples)
}

// peers yields the samples of other targets in rotation that ended after since,
// newest first.
func (r *ring) peers(t *target, since int64) func(func(*sample) bool) {
	return func(yield func(*sample) bool) {
		i := r.next
		for range r.samples {
			if i == 0 {
				i = len(r.samples)
			}
			i--
			s := &r.samples[i]
			if s.ended < since {
				return
			}
			if s.target != t && s.target != nil && s.target.state.inRotation() && !yield(s) {
				return
			}
		}
	}
}

// group is a set of targets at the same distance from this host: those of one
// zone, or of one region for zones with a single target.
type group struct {
	key    ident.Location
	size   int
	total  sums
	tail   tail
	recent ring
	starts startLog
	// overdue is the number of targets with overdue attempts at the last tick.
	overdue int
	// centers holds the mean log latency of each class, on reused and on new
	// connections, so that a different mix of requests is no evidence.
	centers [2 * maxProfiles]center
}

type center struct {
	mean float64
	n    float64
}

func (c *center) add(x float64) {
	c.n++
	c.mean += (x - c.mean) * max(1/c.n, centerGain)
}

// logSeconds returns the log of a latency, corrected for the group's spread of
// locations.
func (g *group) logSeconds(d time.Duration) float64 {
	s := d.Seconds()
	if g.key.Zone == "" {
		s += locationAllowance
	}
	return math.Log(max(s, 1e-6))
}

// latencyBaseline describes the peers' log latency above the centers.
type latencyBaseline struct {
	mean, sigma float64
	known       bool
}

// longBaseline leaves t out. Only in a group of one, where only the age of
// attempts is judged, it is the target's own.
func (g *group) longBaseline(t *target, weight float64) latencyBaseline {
	rest := g.total.minus(t.sums)
	if g.size == 1 {
		rest = t.sums
	}
	if rest.latencies < minPeerLatencies*weight {
		return latencyBaseline{}
	}
	mean := rest.log / rest.latencies
	variance := rest.log2/rest.latencies - mean*mean
	return latencyBaseline{mean: mean, sigma: max(math.Sqrt(max(variance, 0)), minLogSigma), known: true}
}

// withRecent raises the mean to that of the peers' newest answers if that is
// higher: a slowdown of the group shows in it at once.
func (b latencyBaseline) withRecent(t *target, now int64) latencyBaseline {
	newest, many, known := newestMeans(&t.group.recent, t, now, shortLatencies)
	if !known {
		return b
	}
	b.mean = max(b.mean, many, newest-b.newestMargin())
	return b
}

// withNewest does the same with the few newest answers in a ring.
func (b latencyBaseline) withNewest(r *ring, t *target, now int64) latencyBaseline {
	if newest, _, known := newestMeans(r, t, now, minShortLatencies); known {
		b.mean = max(b.mean, newest-b.newestMargin())
	}
	return b
}

// newestMargin is a standard error of the mean of the few newest answers, which
// is taken off because they scatter.
func (b latencyBaseline) newestMargin() float64 {
	return b.sigma / math.Sqrt(minShortLatencies)
}

// newestMeans returns the mean log latencies of the minShortLatencies and of up
// to limit newest answers of the peers, if there are enough.
func newestMeans(r *ring, t *target, now int64, limit int) (newest, many float64, known bool) {
	sum, n := 0.0, 0
	for s := range r.peers(t, now-int64(recentWindow)) {
		if s.failed {
			continue
		}
		sum += float64(s.excess)
		n++
		if n == minShortLatencies {
			newest = sum / float64(n)
		}
		if n == limit {
			break
		}
	}
	return newest, sum / float64(max(n, 1)), n >= minShortLatencies
}

// failureBaseline returns the failure rate of the other targets: the highest of
// the long sums, the recent results and the newest results.
func failureBaseline(t *target, total sums, recent *ring, now int64) float64 {
	rate := 0.0
	rest := total.minus(t.sums)
	if rest.n > 0 {
		rate = rest.failed / rest.n
	}
	n, failed := 0, 0
	var failing *target
	several := false
	for s := range recent.peers(t, now-int64(recentWindow)) {
		n++
		if s.failed {
			failed++
			if failing == nil {
				failing = s.target
			}
		}
		several = several || s.failed && s.target != failing
		if n == newestOutcomes && several && failed >= newestFailures {
			rate = max(rate, float64(failed-1)/newestOutcomes)
		}
	}
	// One recent failure is left out: it would hide a failing target behind a
	// background error of a peer.
	if n >= minShortOutcomes && failed > 1 {
		share := float64(failed-1) / float64(n)
		if failed >= burstFailures {
			share += math.Sqrt(share * (1 - share) / float64(n))
		}
		rate = max(rate, share)
	}
	return rate
}

// weight is the forward-decay weight of a result at now.
func (t *Tracker) weight(now int64) float64 {
	exponent := float64(now-t.landmark) / float64(baselineHalfLife)
	if exponent > maxDecayExponent {
		t.rescale(now, math.Exp2(-exponent))
		return 1
	}
	return math.Exp2(exponent)
}

// rescale moves the landmark of the forward decay.
func (t *Tracker) rescale(now int64, f float64) {
	t.landmark = now
	for _, target := range t.order {
		target.sums.scale(f)
	}
	for _, g := range t.groups {
		g.tail.scale(f)
	}
	t.sumUp()
}

// sumUp recomputes the totals from the targets in rotation.
func (t *Tracker) sumUp() {
	t.total = sums{}
	for _, g := range t.groups {
		g.total = sums{}
	}
	for _, target := range t.order {
		t.total.add(target.sums)
		target.group.total.add(target.sums)
	}
}

// learn adds a result to the baselines. Only targets in rotation count.
func (t *Tracker) learn(target *target, s sample, answered bool, weight float64) {
	if !target.state.inRotation() {
		return
	}
	add := sums{n: weight}
	if s.failed {
		add.failed = weight
	}
	if answered {
		t.starts.add(s.started)
		target.group.starts.add(s.started)
		x := float64(s.excess)
		add.latencies, add.log, add.log2 = weight, weight*x, weight*x*x
	}
	target.sums.add(add)
	target.group.total.add(add)
	t.total.add(add)
	t.recent.add(s)
	if answered || s.failed {
		target.group.recent.add(s)
	}
}

// forget removes a target's results from the baselines.
func (t *Tracker) forget(target *target) {
	target.group.total = target.group.total.minus(target.sums)
	t.total = t.total.minus(target.sums)
	target.sums = sums{}
}

// profile returns the index of a class in the centers of a group.
func (t *Tracker) profile(class ident.ClassName, fresh bool) int {
	i, ok := t.profiles[class]
	if !ok {
		i = min(len(t.profiles), maxProfiles-1)
		if len(t.profiles) < maxProfiles {
			t.profiles[class] = i
		}
	}
	if fresh {
		return 2*i + 1
	}
	return 2 * i
}

// regroup assigns the targets to groups and keeps the groups that stay.
func (t *Tracker) regroup() {
	sizes := map[ident.Location]int{}
	for _, target := range t.order {
		sizes[target.Location]++
	}
	groups := map[ident.Location]*group{}
	for _, target := range t.order {
		key := target.Location
		if sizes[key] == 1 {
			key.Zone = ""
		}
		g := groups[key]
		if g == nil {
			g = t.groups[key]
			if g == nil {
				g = &group{key: key, recent: newRing(recentLatencies)}
			}
			g.size = 0
			groups[key] = g
		}
		g.size++
		if target.group != g {
			target.group = g
			target.sums = sums{}
		}
	}
	t.groups = groups
	t.sumUp()
}
