// Package systemtest holds tests and measurements of whole fleets. The programs
// are built once and run as separate processes on loopback, so that they can be
// killed, paused and replaced like hosts in service.
package systemtest
