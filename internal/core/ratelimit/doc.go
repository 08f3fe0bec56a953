// Package ratelimit keeps the rates that targets state in their responses: the number of
// requests per second that a target accepts from all hosts together. It also keeps the
// quotas of teams: the number of requests per second that a team may send over all hosts.
//
// A host sends a request to such a target only with a permit. Permits are handed out by
// one host for each target, the coordinator of the target's region, at the stated rate.
// A permit expires, and a lost message only loses permits, so the hosts never send more
// than was handed out. A host without a permit, for whatever reason, sends nothing to the
// target and uses others.
//
// Permits of a team are handed out by its owner, one of the active hosts of the team's home
// region. Teams is the state of all quotas on one host. Policy holds the differences between
// targets and teams.
//
// A Holder is the state of one target on one host. An Allocator hands out the permits on
// the coordinator. An Exchange tracks the messages between them. All are driven with
// explicit times and perform no I/O.
package ratelimit
