package health

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Parameters of the baselines.
const (
	// baselineHalfLife is the decay half-life of the long-term baseline.
	baselineHalfLife = time.Minute
	// maxDecayExponent bounds the forward-decay weights before they are rescaled.
	maxDecayExponent = 40
	// recentWindow is the maximum age of results in the short-term baseline.
	recentWindow = 10 * time.Second
	// recentOutcomes and recentLatencies are the sizes of the ring buffers that
	// hold the newest results of the service and of a group.
	recentOutcomes  = 64
	recentLatencies = 32
	// minPeerLatencies is the minimum weight of the peers' answers for a latency
	// comparison.
	minPeerLatencies = 30
	// shortLatencies and minShortLatencies are the maximum and minimum number of
	// peers' answers in the short-term latency baseline.
	shortLatencies    = 12
	minShortLatencies = 4
	// minShortOutcomes is the minimum number of peers' results for the short-term
	// failure baseline.
	minShortOutcomes = 8
	// newestOutcomes is the number of newest results that reveal the start of an
	// error burst, if at least newestFailures of them failed, at several targets.
	newestOutcomes = 8
	newestFailures = 3
	// burstFailures is the number of recent failures from which a standard error
	// is added to the estimate. At high failure rates the alternative hypothesis of
	// the tests is close to the baseline, and an estimate that was too low let the
	// scores of healthy targets drift upwards during a long error burst.
	burstFailures = 4
	// locationAllowance, in seconds, is added to latencies in a group that spans
	// several zones, because its targets differ by the inter-zone latency.
	locationAllowance = 0.001
	// maxLatencyClasses is the maximum number of request classes whose mean
	// latencies are kept separately; further classes share the last one.
	maxLatencyClasses = 16
	// minMeanGain is the minimum gain of the running mean of a class.
	minMeanGain = 0.01
)

// decayedSums holds forward-decayed sums over results: the weights of new results
// grow with time, so that a target's share can be subtracted exactly from the
// total.
type decayedSums struct {
	count, failed, latencyCount, logSum, logSquareSum float64
}

func (s *decayedSums) add(o decayedSums) {
	s.count += o.count
	s.failed += o.failed
	s.latencyCount += o.latencyCount
	s.logSum += o.logSum
	s.logSquareSum += o.logSquareSum
}

func (s decayedSums) minus(o decayedSums) decayedSums {
	return decayedSums{
		count: max(s.count-o.count, 0), failed: max(s.failed-o.failed, 0),
		latencyCount: max(s.latencyCount-o.latencyCount, 0), logSum: s.logSum - o.logSum, logSquareSum: s.logSquareSum - o.logSquareSum,
	}
}

func (s *decayedSums) scale(f float64) {
	*s = decayedSums{count: s.count * f, failed: s.failed * f, latencyCount: s.latencyCount * f, logSum: s.logSum * f, logSquareSum: s.logSquareSum * f}
}

// sample is one recent result.
type sample struct {
	target  *target
	started int64
	ended   int64
	// excess is the log latency minus the mean of its class, aboveLevel the same minus
	// its level.
	excess, aboveLevel float32
	failed             bool
}

// ring is a ring buffer of the newest samples.
type ring struct {
	samples []sample
	next    int
}

func newRing(size int) ring { return ring{samples: make([]sample, size)} }

func (r *ring) add(s sample) {
	r.samples[r.next] = s
	r.next = (r.next + 1) % len(r.samples)
}

// peers yields the samples of the other targets in rotation that ended at or after
// since, newest first.
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

// group is a set of targets at the same network distance from this host: the
// targets of one zone, or of one region for zones with a single target.
type group struct {
	key         ident.Location
	size        int
	total       decayedSums
	latencyTail latencyTail
	recent      ring
	starts      startHistogram
	// overdue is the number of targets that had overdue attempts at the last tick.
	overdue int
	// classMeans holds the mean log latency of each class, on reused and on new
	// connections, so that a change in the mix of requests does not affect scores.
	classMeans [2 * maxLatencyClasses]classMean
}

// classMean is the running mean of the log latency of a class, on reused or on new
// connections. level is the same mean, except that it also follows the answers on the
// other kind of connection.
type classMean struct {
	mean, level float64
	count       float64
}

func (c *classMean) add(x float64) {
	c.count++
	gain := max(1/c.count, minMeanGain)
	c.mean += (x - c.mean) * gain
	c.level += (x - c.level) * gain
}

// addLatency adds an answer to the mean of its class. The level of the other kind of
// connection follows by this kind's share of the answers: new connections are rare, and
// by their own answers alone their level would lag behind a slowdown.
func (g *group) addLatency(class uint8, x float64) {
	own, other := &g.classMeans[class], &g.classMeans[class^1]
	if own.count > 0 && other.count > 0 {
		other.level += (x - own.level) * minMeanGain * own.count / (own.count + other.count)
	}
	own.add(x)
}

// logSeconds returns the log of a latency in seconds, with locationAllowance added
// if the group spans several zones.
func (g *group) logSeconds(d time.Duration) float64 {
	s := d.Seconds()
	if g.key.Zone == "" {
		s += locationAllowance
	}
	return math.Log(max(s, 1e-6))
}

// latencyBaseline is the distribution of the peers' log latency relative to the
// class means.
type latencyBaseline struct {
	mean, sigma float64
	known       bool
}

// longBaseline returns the long-term latency baseline of the group without t. In a
// group with a single target, where only the age of attempts in flight is
// evaluated, it is the baseline of the target itself.
func (g *group) longBaseline(t *target, weight float64) latencyBaseline {
	rest := g.total.minus(t.decayedSums)
	if g.size == 1 {
		rest = t.decayedSums
	}
	if rest.latencyCount < minPeerLatencies*weight {
		return latencyBaseline{}
	}
	mean := rest.logSum / rest.latencyCount
	variance := rest.logSquareSum/rest.latencyCount - mean*mean
	return latencyBaseline{mean: mean, sigma: max(math.Sqrt(max(variance, 0)), minLogSigma), known: true}
}

// withRecent raises the mean to that of the newest answers of the group's peers if
// that is higher, so that the baseline follows a slowdown of the group at once.
func (b latencyBaseline) withRecent(t *target, now int64) latencyBaseline {
	newestMean, recentMean, known := newestMeans(&t.group.recent, t, now, shortLatencies)
	if !known {
		return b
	}
	b.mean = max(b.mean, recentMean, newestMean-b.newestMargin())
	return b
}

// limitByLevel returns the log latency of an answer on a new connection above the peers:
// above, but at most aboveLevel minus the mean level of the recent answers of the group's
// peers and plus its standard error. New connections are rare, so the mean of their class
// lags behind a slowdown of the group for longer than that of reused ones.
func (g *group) limitByLevel(t *target, now int64, above, aboveLevel, sigma float64) float64 {
	sum, n := 0.0, 0
	for s := range g.recent.peers(t, now-int64(recentWindow)) {
		if !s.failed {
			sum += float64(s.aboveLevel)
			n++
		}
	}
	if n < minShortLatencies {
		return above
	}
	return min(above, aboveLevel-sum/float64(n)+sigma/math.Sqrt(float64(n)))
}

// withNewest raises the mean to that of the minShortLatencies newest answers in r,
// minus newestMargin, if that is higher.
func (b latencyBaseline) withNewest(r *ring, t *target, now int64) latencyBaseline {
	if newest, _, known := newestMeans(r, t, now, minShortLatencies); known {
		b.mean = max(b.mean, newest-b.newestMargin())
	}
	return b
}

// newestMargin is the standard error of the mean of minShortLatencies answers. It
// is subtracted from that mean to allow for sampling variance.
func (b latencyBaseline) newestMargin() float64 {
	return b.sigma / math.Sqrt(minShortLatencies)
}

// newestMeans returns the mean log latency of the minShortLatencies newest and of
// up to limit newest answers of the peers. known is false if there are fewer than
// minShortLatencies.
func newestMeans(r *ring, t *target, now int64, limit int) (newestMean, recentMean float64, known bool) {
	sum, n := 0.0, 0
	for s := range r.peers(t, now-int64(recentWindow)) {
		if s.failed {
			continue
		}
		sum += float64(s.excess)
		n++
		if n == minShortLatencies {
			newestMean = sum / float64(n)
		}
		if n == limit {
			break
		}
	}
	return newestMean, sum / float64(max(n, 1)), n >= minShortLatencies
}

// failureBaseline returns the failure rate of the other targets: the highest of the
// rates in the long-term sums, the recent results and the newest results.
func failureBaseline(t *target, total decayedSums, recent *ring, now int64) float64 {
	rate := 0.0
	rest := total.minus(t.decayedSums)
	if rest.count > 0 {
		rate = rest.failed / rest.count
	}
	count, failed := 0, 0
	var firstFailing *target
	severalTargets := false
	for s := range recent.peers(t, now-int64(recentWindow)) {
		count++
		if s.failed {
			failed++
			if firstFailing == nil {
				firstFailing = s.target
			}
		}
		severalTargets = severalTargets || s.failed && s.target != firstFailing
		if count == newestOutcomes && severalTargets && failed >= newestFailures {
			rate = max(rate, float64(failed-1)/newestOutcomes)
		}
	}
	// One recent failure is ignored, so that a background error of a peer does not
	// mask a failing target.
	if count >= minShortOutcomes && failed > 1 {
		share := float64(failed-1) / float64(count)
		if failed >= burstFailures {
			share += math.Sqrt(share * (1 - share) / float64(count))
		}
		rate = max(rate, share)
	}
	return rate
}

// decayWeight returns the forward-decay weight of a result at now.
func (t *Tracker) decayWeight(now int64) float64 {
	exponent := float64(now-t.landmark) / float64(baselineHalfLife)
	if exponent > maxDecayExponent {
		t.rescale(now, math.Exp2(-exponent))
		return 1
	}
	return math.Exp2(exponent)
}

// rescale moves the landmark of the forward decay to now and multiplies all sums by
// f.
func (t *Tracker) rescale(now int64, f float64) {
	t.landmark = now
	for _, target := range t.order {
		target.decayedSums.scale(f)
	}
	for _, g := range t.groups {
		g.latencyTail.scale(f)
	}
	t.recomputeTotals()
}

// recomputeTotals recomputes the totals of the groups and of the service from the
// sums of the targets.
func (t *Tracker) recomputeTotals() {
	t.total = decayedSums{}
	for _, g := range t.groups {
		g.total = decayedSums{}
	}
	for _, target := range t.order {
		t.total.add(target.decayedSums)
		target.group.total.add(target.decayedSums)
	}
}

// addToBaselines adds a result to the baselines. Results of targets that are out of
// rotation are ignored.
func (t *Tracker) addToBaselines(target *target, s sample, answered bool, weight float64) {
	if !target.state.inRotation() {
		return
	}
	add := decayedSums{count: weight}
	if s.failed {
		add.failed = weight
	}
	if answered {
		t.starts.add(s.started)
		target.group.starts.add(s.started)
		x := float64(s.excess)
		add.latencyCount, add.logSum, add.logSquareSum = weight, weight*x, weight*x*x
	}
	target.decayedSums.add(add)
	target.group.total.add(add)
	t.total.add(add)
	t.recent.add(s)
	if answered || s.failed {
		target.group.recent.add(s)
	}
}

// removeFromBaselines removes a target's results from the long-term baselines.
func (t *Tracker) removeFromBaselines(target *target) {
	target.group.total = target.group.total.minus(target.decayedSums)
	t.total = t.total.minus(target.decayedSums)
	target.decayedSums = decayedSums{}
}

// latencyClass returns the index of a class in the classMeans of a group.
func (t *Tracker) latencyClass(class ident.ClassName, fresh bool) int {
	i, ok := t.latencyClasses[class]
	if !ok {
		i = min(len(t.latencyClasses), maxLatencyClasses-1)
		if len(t.latencyClasses) < maxLatencyClasses {
			t.latencyClasses[class] = i
		}
	}
	if fresh {
		return 2*i + 1
	}
	return 2 * i
}

// regroup assigns the targets to groups and keeps the state of groups that still
// exist.
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
			target.decayedSums = decayedSums{}
		}
	}
	t.groups = groups
	t.recomputeTotals()
}
