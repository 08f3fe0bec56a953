// Package systemtest contains tests and benchmarks of complete fleets. The
// programs are built once and run as separate processes on loopback, so that
// they can be killed, paused and replaced like hosts in production.
//
// The documents use a sample domain: service "press" receives non-idempotent requests
// (notices), service "index" serves lookups under /errata.
package systemtest
