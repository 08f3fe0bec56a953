// Package gray estimates how likely the next request at a target fails. It is a
// filter over a hidden Markov model: a target is well, fails part of its requests
// or fails nearly all of them, and changes between these states at random. Every
// outcome, seen here or reported by another host, updates the belief by Bayes'
// rule; time moves it back towards what is usual.
//
// One fast failure therefore counts at once: it raises the probability of failure
// from a few percent to about two thirds. A success soon after lowers it again, and
// the longer a target was not seen, the less its last outcome says. So a target
// needs no fixed time out of service, and a proven one is preferred to one that
// was not used lately.
//
// Slowness is a separate estimate: the ratio of a target's response times to what
// the class usually takes, and the age of attempts that are still open.
package gray
