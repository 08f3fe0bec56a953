// Package outcome decides what a failure means for a request: whether it was
// answered, was certainly not run, or may have run (unknown).
//
// An Attempt follows one exchange with a target from before the dial to the
// end of the response. A Request follows all attempts of one caller request.
// The rule that both enforce: only a failure before the first byte left this
// host, or a refusal that the document declares to mean "not run", proves that
// the target did not run the request. Everything else may have run.
//
// The types are pure and not safe for concurrent use.
package outcome
