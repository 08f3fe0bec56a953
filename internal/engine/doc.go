// Package engine runs the deciders of the core, which are dispatchers and schedulers,
// in real time: it passes them events from concurrent goroutines, delivers their
// actions to the goroutine of each request, runs probes and calls their timers when
// they are due.
package engine
