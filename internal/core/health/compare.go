package health

import (
	"math"
	"slices"
)

// Parameters of the comparison with the peers' newest results. The tests compare
// each result with the baseline of its time, which lags behind the onset of a
// shared cause: a target that happens to get the first slow answers or failures
// collects a score before the peers have any result. Before a score counts, its
// run is compared with what the peers did in the same time.
const (
	// minComparedAnswers and minComparedOutcomes are the least numbers of peers'
	// results in the time of a run. With fewer the run tells nothing yet.
	minComparedAnswers  = 4
	minComparedOutcomes = 3
	// If severalFailing peers fail too, the half that failed least needs
	// minHalfOutcomes results, because a few successes in it may be chance.
	severalFailing  = 2
	minHalfOutcomes = 10
	// Below minPartialRate the baseline is not examined for a part of the targets
	// that fails. The half that failed least is well if it has minPartialOutcomes
	// results and at most partialShare of the baseline's failures.
	minPartialRate     = 0.3
	minPartialOutcomes = 16
	partialShare       = 0.1
)

// comparedScore is the score of the finished attempts after the comparison of
// their runs with the peers' results of the same time.
func (t *Tracker) comparedScore(now int64, target *target) float64 {
	s := &target.stat
	outcome := float64(max(s.burst, s.leak))
	slow := float64(s.slow)
	if slow > 0 && !t.slowerThanPeers(now, target) {
		slow = 0
	}
	return max(slow, min(outcome, t.outcomeScore(now, target)))
}

// slowerThanPeers reports whether the answers of the run that the latency test
// rests on were slower than the peers' answers to attempts that started in it.
func (t *Tracker) slowerThanPeers(now int64, target *target) bool {
	s := &target.stat
	if s.slowRun == 0 {
		return true
	}
	since := max(s.slowSince, now-int64(recentWindow))
	mean := float64(s.slowSum) / float64(s.slowRun)
	sum, n := answersSince(&t.recent, target, since)
	if n < minComparedAnswers {
		// Within the window the peers' answers may still come.
		return s.slowSince < now-int64(recentWindow)
	}
	peers := sum / float64(n)
	if sum, n := answersSince(&target.group.recent, target, since); n >= minComparedAnswers {
		peers = max(peers, sum/float64(n))
	}
	return mean-peers >= slowReference
}

// answersSince sums the log latencies of the peers' answers to attempts that
// started at or after a time.
func answersSince(r *ring, target *target, since int64) (sum float64, n int) {
	for s := range r.peers(target, since) {
		if !s.failed && s.started >= since {
			sum += float64(s.excess)
			n++
		}
	}
	return sum, n
}

// outcomeScore is the score of the outcomes of the run against the failure rate
// in the same time of that half of the peers that failed least. A cause that the
// targets share makes that half fail too; if half of the targets fail on their
// own, it does not.
func (t *Tracker) outcomeScore(now int64, target *target) float64 {
	s := &target.stat
	if s.run == 0 {
		return math.Inf(1)
	}
	p := t.leastFailing(target, max(s.runSince, now-int64(recentWindow)))
	switch {
	case p.results < minComparedOutcomes && s.runSince >= now-int64(recentWindow):
		return 0
	case p.failing >= severalFailing && p.halfResults < minHalfOutcomes:
		return 0
	case p.rate == 0:
		return math.Inf(1)
	}
	burst, leak := outcomeSteps(true, p.rate)
	burstCredit, leakCredit := outcomeSteps(false, p.rate)
	failed, others := float64(s.runFailed), float64(s.run-s.runFailed)
	return max(failed*burst+others*burstCredit, failed*leak+others*leakCredit, 0)
}

// unlessPartial lowers a failure baseline to that of the half of the peers that
// failed least if this half is well: then the peers that fail have no cause that
// all targets share, and must not hide each other.
func (t *Tracker) unlessPartial(now int64, target *target, p0 float64) float64 {
	if p0 < minPartialRate {
		return p0
	}
	p := t.leastFailing(target, now-int64(recentWindow))
	if p.halfResults >= minPartialOutcomes && p.rate <= partialShare*p0 {
		return p.rate
	}
	return p0
}

// peerOutcomes sums up the peers' results of a time: how many there were, how
// many peers failed, and the results and the failure rate of that half of the
// peers that failed least.
type peerOutcomes struct {
	results, failing, halfResults int
	rate                          float64
}

// leastFailing sums up the peers' results since a time.
func (t *Tracker) leastFailing(own *target, since int64) peerOutcomes {
	type tally struct {
		target    *target
		n, failed int
	}
	var all peerOutcomes
	var tallies [recentOutcomes]tally
	peers := tallies[:0]
	for s := range t.recent.peers(own, since) {
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
