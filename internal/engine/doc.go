// Package engine drives the dispatchers of the core with real time: it feeds
// them events from many goroutines, carries their actions to the goroutine of
// each request, runs probes, and wakes them when a timer is due.
package engine
