// Package schedule decides, for one service on one host, which target gets a
// request and when. It is the counterpart of package dispatch for services whose
// targets fail in part and for seconds: it sends each request to the target with
// the least expected cost.
//
// The cost of a target is measured in lost requests: the probability that the
// target fails the request (package gray) times what a failure costs, plus the
// cost of distance, of load, and of a response that comes late because the target
// is slow. A failure costs most where the request must not be repeated. Requests
// that may be repeated are therefore the ones that find out whether a target is
// well again. A request waits when a better target will soon have a free slot.
//
// A target gets no more requests than it has slots, those of other hosts included
// as far as they are known. Waiting requests are served by priority, then in the
// order of arrival, and are refused as soon as they cannot be served in time.
//
// A Scheduler is driven like a dispatch.Dispatcher: every method takes the time
// and returns the actions that the driver has to carry out.
package schedule
