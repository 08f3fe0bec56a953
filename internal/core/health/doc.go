// Package health decides which targets of one service are in rotation on one
// host. It is pure: time and events go in, rotations and changes come out.
//
// # Evidence
//
// Each target has three CUSUM tests (statistic.go), all in nats:
//
//   - burst and leak test the outcomes of attempts against the failure rate p0
//     of the other targets. Burst is optimal for a rate of p0+30%, leak for
//     3*p0+3%. One test alone either needs minutes for a burst or never finds a
//     target with 5% errors.
//   - slow tests the log latency of answers against that of the other targets
//     in the same group, for a shift by a factor of 2.5. Its step is bounded and
//     scaled by the peers' variance, and an answer counts no more than its rank
//     in the observed distribution allows (tail.go), so that long-tailed latency
//     or cache misses are no evidence.
//
// Attempts in flight are censored evidence (inflight.go): at each Tick an
// attempt counts by -ln P(latency > age) under the peers' latency (lognormal or
// observed, whichever has the fatter tail), bounded to about one failure, and
// only if peers answered attempts that started with it or up to 0.5 s later. It
// lasts while the attempt is open. Its end then counts as an outcome.
// Failing probes add a bounded amount. The score is the highest of the three
// tests plus these two.
//
// # Baselines
//
// Baselines (baseline.go) leave the target itself out. Sums over results decay
// with a half-life of a minute; forward decay lets a target's share be
// subtracted exactly in O(1). Each comparison uses the higher of the long
// baseline and one of the newest results, so a service-wide slowdown or burst
// raises the baseline within a few results. What still raises the scores of
// several targets at once is subtracted: the median score of the peers, weighted
// by traffic, is taken off before the score is compared with the threshold. If
// half of the targets or more are slow or silent, ejection therefore stops. For
// failures the lower quartile is used, and the baseline leaves out targets that
// fail while half of their peers are well.
//
// A test's score rests on a run of results. Before it counts, the run is compared
// with what the peers did in the same time (compare.go): the baselines lag behind
// the onset of a shared cause, and a target that happens to get the first slow
// answers would be ejected for it.
//
// A group holds the targets of one zone, which are at the same distance from
// this host and share its links; a zone with a single target is compared
// within its region. Latencies are centered for each class and for new and
// reused connections, so that a different mix of requests is no evidence.
// Timeouts and broken connections are also compared within the group: a slow
// link to a zone ejects none of its targets.
//
// Silence and breaks on a reused connection count by a fifth and never exceed
// 45% of the threshold; NeedsFresh then asks for new connections, whose result
// decides. Shedding and draining responses are no failures. A canceled attempt
// counts by its age only, as does a timeout so early that more than 5% of the
// peers' answers take as long.
//
// An overdue attempt makes its target the most loaded one, so it gets no second
// attempt before the first one times out. Verify then asks for a probe
// (verify.go): a probe that is silent too removes the target. This holds only for
// targets whose probes passed before, and not while half of the probes fail.
//
// # Threshold
//
// Config.Balance b maps linearly to the threshold 17-6b: 17 at balance 0, 14
// at 0.5 and 11 at 1. A failure against a clean baseline scores 5.0 on the
// burst test, so four failures in close succession are needed at balance 0 and
// three at balance 0.5 and 1, or a single attempt beside a silent probe. Bounds
// that are shares of the threshold follow.
//
// # Several hosts
//
// A report (evidence.go) carries scores on the host's own samples only, so
// hosts do not echo each other. Own evidence above the threshold removes the
// target: Excluded on this host alone, Ejected if another host agrees (score of
// half the threshold). With own evidence of a third of the threshold, each
// agreeing host adds half the threshold. A host with few attempts of its own
// needs two others with three quarters of the threshold, or several that agree
// with 1.4 thresholds together. A single report suffices only with a silent probe.
// Reports count for 3 s and only if they are newer than the last one.
//
// # Return
//
// After a penalty (5 s, doubled with each further ejection, half forgotten per
// 5 minutes in rotation) three successful trials in a row that are not slow
// return the target (trial.go), or three successful probes where the service has
// no idempotent class. A target that failed a share p of its attempts needs about
// 3/p trials, one that was slow needs 8. Where only probes test the return of a target
// that failed requests while its probes passed, the penalty is 2 minutes or more.
// A host that removed a target on the evidence of others alone tests it, by
// probes or requests, when no other host has evidence against it any more. The
// weight of a returned target grows from 0.1 to 1 within 10 s, with latency slack
// for cold starts. A failed trial starts a longer penalty, up to a minute. With
// neither trials nor probes the penalty's end returns the target.
//
// A draining target leaves at once. Drain ends it; trials may test the target a
// minute after the last sign of draining, because a host that reads no load
// reports never hears of the end. The dispatcher tests it with probes only.
//
// # Floor
//
// For each class the weighted slots in rotation never fall below the floor's
// share of the declared slots of the targets that do not drain (floor.go):
// draining is capacity that the target withdrew, not capacity that ejection
// removed. To meet the floor, ramping targets first get full weight, then the
// removed targets with the lowest score return to that class's rotation.
package health
