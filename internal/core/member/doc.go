// Package member maintains the list of live hosts. It implements a SWIM-style
// membership protocol, driven by messages and ticks.
//
// Each host probes one other host per interval, in a shuffled round-robin order,
// so the cost per host does not depend on the number of hosts. If a probe gets no
// reply, other hosts probe the same target before it is suspected, so that a
// network failure between two hosts, in one or both directions, does not make a
// healthy host appear failed. Suspicions are piggybacked on regular messages; the
// suspected host refutes a suspicion by raising its epoch. Every host applies its
// own timeout to a suspicion. Failures reported by other hosts are not adopted,
// because an isolated host would otherwise report all others as failed.
//
// A host that has received no message for IsolationTimeout changes no state, since
// its own network connection is the probable cause.
//
// The platform's host list is delayed, so it only adds hosts to probe and marks
// leaving ones. A failed host is probed periodically as long as it is listed, so
// that both sides of a partition rejoin after it has healed.
package member
