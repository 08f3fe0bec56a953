// Package health decides which targets of one service are in rotation on one host. It
// performs no I/O and reads no clock: callers pass in times and events and receive
// rotations and state changes.
//
// # Evidence
//
// Each target has three CUSUM tests (statistic.go), with scores in nats:
//
//   - The high-rate and the low-rate test compare the outcomes of attempts with the
//     failure rate p0 of the other targets. The first is optimal for a rate of p0+30%,
//     the second for 3*p0+3%. One test alone either needs minutes to detect an error
//     burst or never detects a target with 5% errors.
//   - The latency test compares the log latency of answers with that of the other
//     targets in the same group, for a shift by a factor of 2.5. Its step is bounded and
//     scaled by the peers' variance, and limited to what the rank of an answer in the
//     observed distribution allows (tail.go), so that long-tailed latency or cache misses
//     are not evidence.
//
// Attempts in flight are censored observations (inflight.go). At each Tick an attempt
// contributes -ln P(latency > age) under the peers' latency distribution (lognormal or
// observed, whichever has the heavier tail), limited to about one failure, and only if
// peers answered attempts that started with it or up to 0.5 s later. The contribution
// lasts while the attempt is in flight; its end then counts as an outcome. Failing probes
// add a bounded amount. The score is the higher of the highest test score and the
// evidence of attempts in flight, plus lesserEvidenceWeight times the lower of the two,
// plus the probe score. (combineEvidence treats a target with silent probes differently.)
//
// # Baselines
//
// The baseline of a target (baseline.go) excludes the target itself. Sums over results
// decay with a half-life of a minute; forward decay allows a target's share to be
// subtracted exactly in O(1). Each comparison uses the higher of the long-term baseline
// and one of the newest results, so that a service-wide slowdown or error burst raises the
// baseline within a few results. If the scores of several targets still rise at once, the
// shared part is subtracted: the median score of the peers, weighted by traffic, is
// subtracted before the score is compared with the threshold. Ejection therefore stops if
// half of the targets or more are slow or do not respond. For failures the lower quartile
// is used, and the baseline excludes failing targets while half of their peers are
// healthy.
//
// The score of a test is based on a run of results. Before it is used, the run is compared
// with the peers' results of the same period (compare.go): the baselines lag behind the
// onset of a shared fault, and a target that happens to get the first slow answers would
// be ejected for it.
//
// A group holds the targets of one zone, which are at the same network distance from this
// host and share its links; a zone with a single target is compared within its region.
// Latencies are centered on the mean of each class, separately for new and for reused
// connections, so that a different mix of requests is not evidence. Timeouts and lost
// connections are also compared within the group: a slow link to a zone does not eject its
// targets.
//
// Timeouts, overdue attempts and lost connections on a reused connection have a weight of
// one fifth and never exceed 45% of the threshold. NeedsFreshConnection then requests new
// connections, whose results decide. Shedding and draining responses are not failures. A
// canceled attempt counts by its age only, and so does a timeout so early that more than
// 5% of the peers' answers take as long.
//
// An overdue attempt makes its target the most loaded one, so it gets no second attempt
// before the first one times out. DueProbes then requests a probe (verify.go): if it is
// unanswered too, the target is removed. This applies only to targets whose probes passed
// before, and not while half of the probes fail.
//
// # Threshold
//
// Config.Balance b maps linearly to the threshold 17-6b: 17 at balance 0, 14 at 0.5 and 11
// at 1. A failure against an error-free baseline scores 5.0 on the high-rate test. A
// removal therefore needs four failures in close succession at balance 0, three at balance
// 0.5 and 1, or a single attempt together with an unanswered probe. Limits that are shares
// of the threshold scale with it.
//
// # Several hosts
//
// A report (evidence.go) contains scores from the host's own attempts only, so that hosts
// do not amplify each other's evidence. Own evidence above the threshold removes the
// target: it becomes Excluded on this host alone, or Ejected if another host agrees (a
// score of half the threshold). With own evidence of a third of the threshold, each
// agreeing host adds half the threshold. A host with few attempts of its own needs two
// others with three quarters of the threshold, or several that agree with a sum of 1.4
// thresholds. A single report suffices only together with an unanswered probe. Reports are
// valid for 3 s, and only if they are newer than the previous one.
//
// # Return
//
// The penalty is 5 s. It doubles with each further ejection, and the penalty level halves
// per 5 minutes in rotation. After the penalty, three consecutive successful trials that
// are not slow return the target (trial.go), or three successful probes if the service has
// no idempotent class. A target that failed a share p of its attempts needs about 3/p
// trials, one that was slow needs 8. If only probes test the return of a target that
// failed requests while its probes passed, the penalty is at least 2 minutes. A host that
// removed a target on the evidence of others alone tests it, by probes or requests, when
// no other host has evidence against it any more. The weight of a returned target rises
// from 0.1 to 1 within 10 s, with a latency tolerance for cold starts. A failed trial
// starts a longer penalty, up to a minute. With neither trials nor probes, the end of the
// penalty returns the target.
//
// A draining target leaves the rotation at once. SetDraining also ends draining. Trials
// may test the target a minute after the last sign of draining, because a host that reads
// no load reports is not told about the end. The dispatcher tests it with probes only.
//
// # Floor
//
// For each class the weighted slots in rotation never fall below the floor's share of the
// declared slots of the targets that are not draining (floor.go): draining is capacity
// that the target withdrew, not capacity that ejection removed. To meet the floor, ramping
// targets first get full weight, then the removed targets with the lowest score return to
// the rotation of that class.
package health
