//go:build linux

package systemtest

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// startMixedClients starts clients that send bodies of all refused shapes, slow bodies and requests whose
// responses they read slowly, and that come back when their connections end.
func (c *clientGroup) startMixedClients(t *testing.T) {
	t.Helper()
	for shape := range 8 {
		keepClients(t, 20, c.host.Caller, func(conn net.Conn) {
			switch shape {
			case 6:
				if announce(conn, "/upload/1", 4<<10, "") == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
			case 7:
				if sendAll(conn, head("/crowd/streamed", "Content-Length: 0\r\n\r\n")) == nil {
					readSlowly(conn)
				}
			default:
				_ = sendRefusedBody(conn, shape)
				_, _ = io.Copy(io.Discard, conn)
			}
		})
	}
	time.Sleep(settleTime)
}

// TestClientsDuringStop guards against a host that does not end by itself within the grace period while
// clients send bodies that stop short, are refused or are read slowly.
func TestClientsDuringStop(t *testing.T) {
	c := newClientGroup(t)
	c.startMixedClients(t)
	if _, graceful := c.host.stop(); !graceful {
		t.Errorf("the host was still there at the end of the grace period: %v", c.host.out)
	}
	if code := c.host.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the host ended with %s", c.host.cmd.ProcessState)
	}
	close(c.stop)
	c.sampled.Wait()
}

// TestClientsDuringPowerLoss guards against a host that does not serve ordinary callers when it starts again
// amid clients that have waited for it.
func TestClientsDuringPowerLoss(t *testing.T) {
	c := newClientGroup(t)
	c.startMixedClients(t)
	c.host.signal(syscall.SIGKILL)
	<-c.host.exited
	close(c.stop)
	c.sampled.Wait()
	c.stop = make(chan struct{})
	c.host.process = start(t, "sapphirehaven", "-config", c.host.settingsPath)
	c.sampled.Go(c.sample)
	c.host.waitReady(t)
	c.check(t)
}
