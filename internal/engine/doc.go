// Package engine runs the dispatchers of the core in real time: it passes them
// events from concurrent goroutines, delivers their actions to the goroutine of each
// request, runs probes and calls their timers when they are due.
package engine
