// Package gray estimates gray failures, in which a target is reachable but fails some
// or most of its requests: the probability that the next request at a target fails. It
// is a filter over a hidden Markov model: a target is healthy, fails part of its
// requests or fails nearly all of them, and changes between these states at random.
// Every outcome, observed here or reported by another host, updates the belief by
// Bayes' rule; over time the belief returns to the stationary distribution.
//
// A single failure therefore has an immediate effect: it raises the failure
// probability from a few percent to about two thirds. A subsequent success lowers it
// again, and the older the last outcome is, the less weight it has. A target thus
// needs no fixed ejection time, and a target with recent successes is preferred to
// one that was not used recently.
//
// Slow responses are estimated separately: by the ratio of a target's response times
// to those usual for the class, and by the age of open attempts.
package gray
