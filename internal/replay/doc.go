// Package replay reads traces, drives one Decider per host with explicit time,
// and checks the outcomes that a trace expects. docs/replay.md describes the
// trace format.
//
// A run has one queue of events ordered by time and then by insertion, and
// every random choice comes from a generator seeded by the trace, so the same
// trace and seed give the same report. Arrivals, targets and evidence use
// separate generators, so that two deciders face the same arrivals.
//
// The model has a fixed delay between locations, targets with slots and a
// bounded queue, and a pool of idle connections per (host, target). It is not
// a model of a network: bandwidth, reordering and packet loss are absent.
package replay
