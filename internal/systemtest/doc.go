// Package systemtest contains tests and benchmarks of complete fleets. The
// programs are built once and run as separate processes on loopback, so that
// they can be killed, paused and replaced like hosts in production.
package systemtest
