package soak

import (
	"os/exec"
	"syscall"
)

// endOnDeath makes the kernel kill the process if this one ends first.
func endOnDeath(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
