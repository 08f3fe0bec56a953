//go:build linux

package systemtest

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// signalTestLatency is short enough for all requests that a stopping host takes to be
	// answered before the end of the grace period.
	signalTestLatency = 800 * time.Millisecond
	signalTestCallers = 12
	signalInterval    = 300 * time.Millisecond
)

// TestSignalsWhileStopping guards against a host that ends before its grace period is over, and
// cuts the requests in flight, because another signal arrives while it stops.
func TestSignalsWhileStopping(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		signals []syscall.Signal
		// logged is the number of signals that the host logs, reloads how often it reads its settings.
		logged, reloads int
	}{
		{"hangup", []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}, 2, 0},
		{"hangup before and after", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP}, 4, 1},
		{"repeated termination", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, 3, 0},
		{"interrupt", []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}, 2, 0},
		{"user signals", []syscall.Signal{syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGUSR2}, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, signalTestLatency)
			h := d.startHost(t, "host-1")
			callers := startKeptCallers(h, signalTestCallers)
			time.Sleep(signalTestLatency / 2)
			signaledAt := time.Now()
			for _, s := range test.signals {
				h.signal(s)
				time.Sleep(signalInterval)
			}
			answered := callers.wait()
			d.target.checkNoneLost(t, answered, signaledAt)
			if code := h.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("the host ended with %s, want exit code 0", h.cmd.ProcessState)
			}
			out := h.out.String()
			if logged, reloads := strings.Count(out, `msg="signal received"`), strings.Count(out, "read the settings file"); logged != test.logged || reloads != test.reloads {
				t.Errorf("%d signals and %d reads of the settings were logged, want %d and %d", logged, reloads, test.logged, test.reloads)
			}
		})
	}
}

// TestStopOfSuspendedHost guards against a host that measures its grace period from when it gets processor
// time after the signal, passes on requests that its target can't answer before SIGKILL, and so loses them.
func TestStopOfSuspendedHost(t *testing.T) {
	t.Parallel()
	const (
		latency   = 2500 * time.Millisecond
		suspended = 4 * time.Second
	)
	d := newDeployment(t, latency)
	h := d.startHost(t, "host-1")
	callers := startKeptCallers(h, signalTestCallers)
	time.Sleep(latency / 2)
	signaledAt := time.Now()
	h.signal(syscall.SIGSTOP)
	h.signal(syscall.SIGTERM)
	resume := time.AfterFunc(suspended, func() { h.signal(syscall.SIGCONT) })
	defer resume.Stop()
	if !h.exitsBefore(signaledAt.Add(platformGrace)) {
		h.signal(syscall.SIGKILL)
	}
	d.target.checkNoneLost(t, callers.wait(), signaledAt)
	if t.Failed() {
		t.Logf("the signal was sent at %s; log of the host:\n%s", signaledAt.UTC().Format(time.RFC3339Nano), h.out)
	}
}

// TestSignalsWhileStarting guards against a host that is ended by a signal that arrives before it
// serves.
func TestSignalsWhileStarting(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		signal syscall.Signal
		serves bool
	}{
		{"hangup", syscall.SIGHUP, true},
		{"termination", syscall.SIGTERM, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, signalTestLatency)
			h := &platformHost{Host: d.settings(t, "host-1"), settingsPath: filepath.Join(t.TempDir(), "local.toml")}
			// The host can't continue its start before the test writes its settings to the pipe.
			if err := syscall.Mkfifo(h.settingsPath, 0o600); err != nil {
				t.Fatal(err)
			}
			h.process = start(t, "sapphirehaven", "-config", h.settingsPath)
			pipe, err := os.OpenFile(h.settingsPath, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			h.signal(test.signal)
			time.Sleep(signalInterval)
			_, _ = pipe.WriteString(h.Settings())
			pipe.Close()
			if test.serves {
				h.waitReady(t)
				h.signal(syscall.SIGTERM)
			}
			waitFor(t, "the host exits", h.hasExited)
			if code := h.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("the host ended with %s, want exit code 0", h.cmd.ProcessState)
			}
		})
	}
}

// TestHangupWithLogService guards against a host with a log service that ends on a hangup, while
// it serves and while it stops.
func TestHangupWithLogService(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	h := f.addHost("host-1", "a")
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		h.signal(s)
		time.Sleep(signalInterval)
	}
	waitFor(t, "the host exits", h.hasExited)
	if code := h.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the host ended with %s, want exit code 0", h.cmd.ProcessState)
	}
}
