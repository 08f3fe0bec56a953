// Package replay reads traces, simulates a service with one Decider per host and
// a simulated clock, and checks the outcomes that a trace expects. docs/replay.md describes the
// trace format.
//
// The simulation is deterministic: events run in the order of their time and then
// of their insertion, and every random choice comes from a generator seeded by the
// trace, so the same trace and seed give the same report. Arrivals, targets and
// deciders use separate generators, so that two deciders receive the same
// arrivals.
//
// The model has a fixed delay between locations, targets with slots and a bounded
// queue, and a pool of idle connections per (host, target). It does not model
// bandwidth, reordering or packet loss.
package replay
