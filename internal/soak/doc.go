// Package soak runs real host processes on loopback against simulated targets and a simulated
// store, injects faults from outside, and checks what callers and targets see against the promises
// of the platform. One seed gives one schedule of faults.
package soak
