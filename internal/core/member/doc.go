// Package member keeps the list of hosts that are alive. It is a probe protocol
// in the style of SWIM, driven by messages and ticks.
//
// Each host probes one other host in every interval, in a shuffled round-robin
// order, so the cost for a host does not depend on the number of hosts. A probe
// without a reply is repeated through other hosts before the target of the
// probe is suspected, so that a cut between two hosts, in one or both
// directions, does not make a healthy host look failed. Suspicion is
// disseminated on top of messages that are sent anyway; the accused host
// refutes it by raising its epoch. Every host applies its own timeout to a
// suspicion: a failure is never taken over from another host, because one that
// hears nobody would otherwise report everybody as failed.
//
// A host that has heard from no other host for IsolationTime changes no state,
// since its own connection is the likely fault.
//
// The platform's host list, which lags, only adds hosts to probe and marks
// leaving ones. A host that failed is probed again from time to time as long as
// it is listed, so that the two sides of a healed partition find each other.
package member
