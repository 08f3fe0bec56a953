//go:build linux

package systemtest

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// startHostWithPipe starts a host whose output is a pipe, and reads the pipe until the host is
// ready. The test then decides what becomes of the returned end.
func (d *deployment) startHostWithPipe(t *testing.T) (*platformHost, *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { read.Close() })
	shrinkPipe(t, read)
	h := &platformHost{Host: d.settings(t, "host-1"), settingsPath: filepath.Join(t.TempDir(), "local.toml")}
	h.writeSettings(t)
	h.process = startWithOutput(t, write, "sapphirehaven", "-config", h.settingsPath)
	write.Close()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		_, _ = io.Copy(io.Discard, read)
	}()
	h.waitReady(t)
	_ = read.SetReadDeadline(time.Now())
	<-drained
	return h, read
}

// shrinkPipe gives a pipe the smallest buffer, which is full after a few lines.
func shrinkPipe(t *testing.T, pipe *os.File) {
	t.Helper()
	conn, err := pipe.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Control(func(fd uintptr) {
		if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, fd, syscall.F_SETPIPE_SZ, uintptr(os.Getpagesize())); errno != 0 {
			t.Error(errno)
		}
	})
}

// TestClosedLogPipe guards against a host that is ended by SIGPIPE, with all requests in flight,
// because the reader of its output has closed the pipe.
func TestClosedLogPipe(t *testing.T) {
	t.Parallel()
	testFailedLogCollector(t, func(read *os.File) { read.Close() })
}

// TestStalledLogPipe guards against a host that waits for the reader of its output: it could not stop
// and was killed with requests in flight.
func TestStalledLogPipe(t *testing.T) {
	t.Parallel()
	testFailedLogCollector(t, func(*os.File) {})
}

// testFailedLogCollector stops a host after its log collector has failed, and requires that no
// request is lost.
func testFailedLogCollector(t *testing.T, fail func(read *os.File)) {
	d := newDeployment(t, signalTestLatency)
	h, read := d.startHostWithPipe(t)
	callers := startKeptCallers(h, signalTestCallers)
	time.Sleep(signalTestLatency / 2)
	fail(read)
	time.Sleep(3 * signalTestLatency)
	signaledAt, graceful := h.stop()
	d.target.checkNoneLost(t, callers.wait(), signaledAt)
	if !graceful || h.cmd.ProcessState.ExitCode() != 0 {
		t.Errorf("the host ended with %s, want exit code 0 within the grace period", h.cmd.ProcessState)
	}
}
