//go:build !linux

package soak

import "os/exec"

// endOnDeath does nothing: only Linux can end a process with its parent.
func endOnDeath(*exec.Cmd) {}
