package health

import (
	"math"
	"slices"
)

// Parameters of the comparison with the peers' results of the same period. The
// CUSUM tests compare each result with the baseline at its end, which lags behind
// the onset of a shared fault: a target that happens to get the first slow answers
// or failures accumulates a score before the peers have any result. Before a score
// is used, its run of results is compared with the peers' results of the same
// period.
const (
	// minComparedAnswers and minComparedOutcomes are the minimum numbers of peers'
	// results in the period of a run. With fewer, the run is inconclusive.
	minComparedAnswers  = 4
	minComparedOutcomes = 3
	// If at least minFailingPeers peers have failures too, the half of the peers
	// with the lowest failure rates needs minHalfOutcomes results, because a few
	// successes in it may be due to chance.
	minFailingPeers = 2
	minHalfOutcomes = 10
	// From a baseline of minPartialRate, the peers are examined for a fault that
	// affects only part of them. The half with the lowest failure rates counts as
	// healthy if it has minPartialOutcomes results and a failure rate of at most
	// maxPartialShare of the baseline.
	minPartialRate     = 0.3
	minPartialOutcomes = 16
	maxPartialShare    = 0.1
)

// comparedScore returns the score of the finished attempts after their runs were
// compared with the peers' results of the same period.
func (t *Tracker) comparedScore(now int64, target *target) float64 {
	s := &target.cusum
	outcome := float64(max(s.highRate, s.lowRate))
	slowness := float64(s.slowness)
	if slowness > 0 && !t.slowerThanPeers(now, target) {
		slowness = 0
	}
	return max(slowness, min(outcome, t.outcomeScore(now, target)))
}

// slowerThanPeers reports whether the answers in the current run of the latency
// test were slower than the peers' answers to attempts that started in its period.
func (t *Tracker) slowerThanPeers(now int64, target *target) bool {
	s := &target.cusum
	if s.slowRun == 0 {
		return true
	}
	since := max(s.slowRunStart, now-int64(recentWindow))
	mean := float64(s.slowSum) / float64(s.slowRun)
	sum, n := answersSince(&t.recent, target, since)
	if n < minComparedAnswers {
		// Until the window has passed, peers may still answer.
		return s.slowRunStart < now-int64(recentWindow)
	}
	peers := sum / float64(n)
	if sum, n := answersSince(&target.group.recent, target, since); n >= minComparedAnswers {
		peers = max(peers, sum/float64(n))
	}
	return mean-peers >= latencyReference
}

// answersSince returns the sum and the number of the log latencies of the peers'
// answers to attempts that started at or after since.
func answersSince(r *ring, target *target, since int64) (sum float64, n int) {
	for s := range r.peers(target, since) {
		if !s.failed && s.started >= since {
			sum += float64(s.excess)
			n++
		}
	}
	return sum, n
}

// outcomeScore returns the score of the outcomes of the run against the failure
// rate, in the same period, of the half of the peers with the lowest failure rates.
// A fault that all targets share affects that half too; a fault of half of the
// targets does not.
func (t *Tracker) outcomeScore(now int64, target *target) float64 {
	s := &target.cusum
	if s.run == 0 {
		return math.Inf(1)
	}
	p := t.summarizePeers(target, max(s.runStart, now-int64(recentWindow)))
	switch {
	case p.results < minComparedOutcomes && s.runStart >= now-int64(recentWindow):
		return 0
	case p.failing >= minFailingPeers && p.halfResults < minHalfOutcomes:
		return 0
	case p.rate == 0:
		return math.Inf(1)
	}
	high, low := outcomeSteps(true, p.rate)
	highCredit, lowCredit := outcomeSteps(false, p.rate)
	failed, succeeded := float64(s.runFailed), float64(s.run-s.runFailed)
	return max(failed*high+succeeded*highCredit, failed*low+succeeded*lowCredit, 0)
}

// partialFailureBaseline lowers the failure baseline p0 to the failure rate of the
// half of the peers with the lowest rates if that half is healthy. In that case the
// fault of the failing peers is not shared by all targets, and they must not mask
// each other.
func (t *Tracker) partialFailureBaseline(now int64, target *target, p0 float64) float64 {
	if p0 < minPartialRate {
		return p0
	}
	p := t.summarizePeers(target, now-int64(recentWindow))
	if p.halfResults >= minPartialOutcomes && p.rate <= maxPartialShare*p0 {
		return p.rate
	}
	return p0
}

// peerOutcomes summarizes the peers' results of a period: the number of results,
// the number of peers with failures, and the number of results and the failure rate
// of the half of the peers with the lowest failure rates.
type peerOutcomes struct {
	results, failing, halfResults int
	rate                          float64
}

// summarizePeers summarizes the results since a time of all targets but one.
func (t *Tracker) summarizePeers(except *target, since int64) peerOutcomes {
	type tally struct {
		target    *target
		n, failed int
	}
	var all peerOutcomes
	var tallies [recentOutcomes]tally
	peers := tallies[:0]
	for s := range t.recent.peers(except, since) {
		all.results++
		i := slices.IndexFunc(peers, func(p tally) bool { return p.target == s.target })
		if i < 0 {
			i = len(peers)
			peers = append(peers, tally{target: s.target})
		}
		peers[i].n++
		if s.failed {
			peers[i].failed++
		}
	}
	slices.SortStableFunc(peers, func(a, b tally) int { return a.failed*b.n - b.failed*a.n })
	failed := 0
	for i, p := range peers {
		if p.failed > 0 {
			all.failing++
		}
		if i < (len(peers)+1)/2 {
			all.halfResults += p.n
			failed += p.failed
		}
	}
	if all.halfResults > 0 {
		all.rate = float64(failed) / float64(all.halfResults)
	}
	return all
}
