//go:build linux

package systemtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/platform"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

// The tests in this file count the bytes in the kernel's buffers of a host too: those that it received
// and has not read, and those that it wrote and the other side has not taken. Both count toward the
// memory of its machine.
const (
	// A third of the descriptors is for callers; the bodies of all uploads together fit into the part of
	// the budget that is available to bodies, 48 MiB.
	stalledUploads     = 160
	stalledUploadBytes = 288 << 10
	// uploadWaves is the number of times that a client repeats its upload after it has given up.
	uploadWaves = 4
	// giveUpTime is the time after which a client gives up. The kernel keeps what was written to a closed
	// connection for longer, 5 s with the default of target.Config.UserTimeout.
	giveUpTime = 500 * time.Millisecond
	// unreadDownloads is the number of callers that do not read. Connections to the target have carried
	// responses at full speed before, so that the kernel has enlarged their receive buffers.
	unreadDownloads = 160
	// queueInterval is the time between two looks at the kernel's buffers.
	queueInterval = 100 * time.Millisecond
)

// queuedBytes returns the bytes in the kernel's buffers of the sockets of a host: those with its own port
// for callers, and those that are connected to the port of its target. Sockets that were closed with bytes
// left to send are included.
func queuedBytes(callerPort, targetPort int64) (sum int64) {
	for _, name := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		table, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(table)) {
			fields := strings.Fields(line)
			if len(fields) < 5 || portOf(fields[1]) != callerPort && portOf(fields[2]) != targetPort {
				continue
			}
			const listening = "0A"
			if sent, received, ok := strings.Cut(fields[4], ":"); ok && fields[3] != listening {
				sum += parseHex(sent) + parseHex(received)
			}
		}
	}
	return sum
}

// portOf returns the port of an address of /proc/net/tcp, or -1.
func portOf(address string) int64 {
	_, port, ok := strings.Cut(address, ":")
	if !ok {
		return -1
	}
	return parseHex(port)
}

func parseHex(text string) int64 {
	n, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return -1
	}
	return n
}

// watchTotal records the largest sum of the host's resident memory and its bytes in the kernel's buffers
// until stop is closed. The returned function waits for the end and returns the largest sum and the
// largest number of bytes in the buffers.
func (c *clientGroup) watchTotal(t *testing.T, target net.Addr) (result func() (total, queued int64)) {
	t.Helper()
	_, port, err := net.SplitHostPort(c.host.Caller)
	if err != nil {
		t.Fatal(err)
	}
	callerPort, err := strconv.ParseInt(port, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	targetPort := int64(target.(*net.TCPAddr).Port)
	pid := strconv.Itoa(c.host.cmd.Process.Pid)
	var maxTotal, maxQueued atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			queued := queuedBytes(callerPort, targetPort)
			maxQueued.Store(max(maxQueued.Load(), queued))
			maxTotal.Store(max(maxTotal.Load(), queued+residentBytes(pid)))
			select {
			case <-c.stop:
				return
			case <-time.After(queueInterval):
			}
		}
	}()
	return func() (int64, int64) {
		<-ended
		return maxTotal.Load(), maxQueued.Load()
	}
}

// checkTotal is check with the kernel's buffers.
func (c *clientGroup) checkTotal(t *testing.T, result func() (total, queued int64)) {
	t.Helper()
	c.check(t)
	total, queued := result()
	t.Logf("at most %d MB resident and in the kernel's buffers, at most %d MB in the latter", total>>20, queued>>20)
	if total > int64(c.memoryMb)<<20 {
		t.Errorf("the host had %d MB resident and in the kernel's buffers, want at most %d", total>>20, c.memoryMb)
	}
}

// listenWithoutReading accepts connections and reads nothing from them. Its receive buffers are small, so
// that what is sent to it stays with the sender.
func listenWithoutReading(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientReadBuffer)
		})
		if err != nil {
			return err
		}
		return sockErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return listener
}

// putTarget makes an address the only target of the clients' requests and waits until the change is
// in force.
func (c *clientGroup) putTarget(address net.Addr) {
	c.store.PutTarget(platformtest.Target{ID: "t-2", Service: "crowd", Address: address.String(), Zone: platformZone, Slots: 400, Sequence: 2, Born: time.Now()})
	time.Sleep(3 * time.Second)
}

func sendUpload(w io.Writer, path string, body []byte) error {
	return sendAll(w, head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), string(body))
}

// TestClientsWithTargetThatDoesNotRead guards against a host whose memory is exceeded by bodies that it
// holds and that lie once more in the kernel's buffers toward a target that accepts connections and reads
// nothing.
func TestClientsWithTargetThatDoesNotRead(t *testing.T) {
	c := newClientGroup(t)
	listener := listenWithoutReading(t)
	c.putTarget(listener.Addr())
	result := c.watchTotal(t, listener.Addr())
	body := make([]byte, stalledUploadBytes)
	for i := range stalledUploads {
		path := []string{"/crowd/1", "/upload/1"}[i%2]
		c.client(func(w io.Writer) error { return sendUpload(w, path, body) })
	}
	c.checkTotal(t, result)
}

// TestClientsThatGiveUpUploads guards against a host that closes its connection to a target which reads
// nothing when a caller has given up, while the kernel keeps what was written to it: callers that give up
// and repeat their uploads then fill the machine's memory, beside the budget.
func TestClientsThatGiveUpUploads(t *testing.T) {
	c := newClientGroup(t)
	listener := listenWithoutReading(t)
	c.putTarget(listener.Addr())
	result := c.watchTotal(t, listener.Addr())
	body := make([]byte, stalledUploadBytes)
	for wave := range uploadWaves {
		for i := range stalledUploads {
			path := []string{"/crowd/1", "/upload/1"}[i%2]
			c.client(func(w io.Writer) error {
				if err := sendUpload(w, path, body); err != nil || wave == uploadWaves-1 {
					return err
				}
				time.Sleep(giveUpTime)
				return w.(net.Conn).Close()
			})
		}
		c.running.Wait()
	}
	c.checkTotal(t, result)
}

// TestClientsThatDoNotReadDownloads guards against a host whose memory is exceeded by large responses in
// the kernel's buffers of connections to targets, on which the kernel has enlarged the buffer because
// earlier responses were read fast.
func TestClientsThatDoNotReadDownloads(t *testing.T) {
	c := newClientGroup(t)
	result := c.watchTotal(t, c.target.Listener.Addr())
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: unreadDownloads}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	answered := make(chan struct{}, unreadDownloads)
	for range unreadDownloads {
		go func() {
			defer func() { answered <- struct{}{} }()
			req, err := http.NewRequest(http.MethodPost, "http://"+c.host.Caller+"/crowd/streamed", nil)
			if err != nil {
				return
			}
			req.Host = platformtest.RouteHost
			req.Header.Set(platform.Dialect().RequestID, "download")
			// A refusal is no fault: the host may be at a limit.
			if res, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		}()
	}
	for range unreadDownloads {
		<-answered
	}
	client.CloseIdleConnections()
	for range unreadDownloads {
		c.client(func(w io.Writer) error { return sendAll(w, head("/crowd/streamed", "Content-Length: 0\r\n\r\n")) })
	}
	c.checkTotal(t, result)
}
