// Package schedule selects, for one service on one host, the target of each
// request and the time at which it is sent. It replaces package dispatch for
// services whose targets fail partially and for seconds at a time: it sends each
// request to the target with the lowest expected cost.
//
// Cost is expressed in lost requests: the probability that the target fails the
// request (package gray) times the cost of a failure, plus costs for distance, for
// load and for the late response of a slow target. A failure costs most for a
// request that must not be retried. Retryable requests are therefore the ones that
// test whether a target has recovered. A request waits when a better target will
// soon have a free slot.
//
// A target receives no more concurrent requests than it has slots, including the
// requests of other hosts as far as they are known. Waiting requests are ordered by
// priority, then by arrival, and are refused as soon as their deadline cannot be
// met.
//
// A Scheduler is driven like a dispatch.Dispatcher: every method takes the current
// time and returns the actions that the driver has to carry out.
package schedule
