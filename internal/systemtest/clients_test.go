//go:build linux

package systemtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/platform"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

// Limits of the host in the tests with untrusted clients. They are lowered so that few clients exceed
// them. The bounds of the tests are these limits: the platform kills a process that uses more memory, and
// a process with no free descriptor reaches neither targets nor the store.
const (
	clientsMemoryMb = 128
	clientsMaxFds   = 600
	clientsMaxBody  = 16 << 20
	// clientWriteTime is the time for which a client tries to send before it gives up.
	clientWriteTime = 20 * time.Second
	// settleTime is the time for which the host is observed after all clients have sent.
	settleTime     = 2 * time.Second
	sampleInterval = 10 * time.Millisecond
	// clientReadBuffer is the size of the kernel's buffer for what a client does not read.
	clientReadBuffer = 4 << 10
)

// clientGroup is a host with lowered limits and the connections of the clients to it.
type clientGroup struct {
	host *platformHost
	// memoryMb and maxFds are the limits of the host, and the bounds of the test.
	memoryMb, maxFds int
	// store is the store of the host, and target the target of the clients' requests.
	store  *platformtest.Store
	target *httptest.Server
	// release ends the requests that the target holds.
	release func()
	stop    chan struct{}
	sampled sync.WaitGroup
	// maxResident and maxOpen are the largest resident memory in bytes and the largest number of open
	// descriptors that were seen.
	maxResident, maxOpen atomic.Int64
	running              sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// newClientGroup starts a host with the limits of most tests.
func newClientGroup(t *testing.T) *clientGroup {
	t.Helper()
	return newLimitedGroup(t, clientsMemoryMb, clientsMaxFds)
}

// newLimitedGroup starts a host with a target for ordinary requests and one for those of the clients. Only one
// such test runs at a time on a machine, since they measure a process.
func newLimitedGroup(t *testing.T, memoryMb, maxFds int) *clientGroup {
	t.Helper()
	lockMachine(t)
	held := make(chan struct{})
	c := &clientGroup{memoryMb: memoryMb, maxFds: maxFds, release: sync.OnceFunc(func() { close(held) }), stop: make(chan struct{})}
	d := newDeployment(t, 0)
	groupTarget := httptest.NewServer(&clientTarget{held: held})
	t.Cleanup(groupTarget.Close)
	t.Cleanup(c.release)
	c.store, c.target = d.store, groupTarget
	d.store.SetLimits(platformtest.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: clientsMaxBody, HeaderTimeout: 3 * time.Second})
	d.store.PutConfiguration(2, 15*time.Second, groupRoutes(time.Minute)...)
	d.store.PutTarget(platformtest.Target{ID: "t-2", Service: "crowd", Address: groupTarget.Listener.Addr().String(), Zone: platformZone, Slots: 400, Sequence: 1, Born: time.Now()})
	c.host = &platformHost{Host: d.settings(t, "h-1"), settingsPath: filepath.Join(t.TempDir(), "local.toml")}
	c.host.MemoryMb, c.host.MaxFds = memoryMb, maxFds
	c.host.writeSettings(t)
	c.host.process = start(t, "sapphirehaven", "-config", c.host.settingsPath)
	c.host.waitReady(t)
	c.awaitAnswer(t)
	c.sampled.Go(c.sample)
	t.Cleanup(c.closeConns)
	return c
}

// groupRoutes returns the route of ordinary requests, and those of the clients with a timeout.
func groupRoutes(timeout time.Duration) []platformtest.Route {
	return []platformtest.Route{
		{PathPrefix: "/lookup/", Kind: platformtest.Idempotent, Service: "index", Timeout: 5 * time.Second},
		{PathPrefix: "/crowd/", Kind: platformtest.NonIdempotent, Service: "crowd", Timeout: timeout},
		{PathPrefix: "/upload/", Kind: platformtest.Upload, Service: "crowd", Timeout: timeout},
	}
}

// lockMachine waits until no other test with clients runs on the machine.
func lockMachine(t *testing.T) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "sapphirehaven-clients.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
}

// clientTarget is the target of the clients' requests. It holds requests under /crowd/hold until held is
// closed and sends large responses under /crowd/large and /crowd/streamed.
type clientTarget struct{ held <-chan struct{} }

// A host buffers responses of up to 4 MiB and forwards larger ones as they arrive.
// mediumResponse fits into the kernel's buffer of a connection.
const (
	mediumResponse   = 64 << 10
	largeResponse    = 3 << 20
	streamedResponse = 16 << 20
)

// ServeHTTP implements http.Handler.
func (c *clientTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.Dialect().RequestID, r.Header.Get(platform.Dialect().RequestID))
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case strings.Contains(r.URL.Path, "hold"):
		select {
		case <-c.held:
		case <-r.Context().Done():
		}
	case strings.Contains(r.URL.Path, "medium"):
		sendZeros(w, mediumResponse)
	case strings.Contains(r.URL.Path, "large"):
		sendZeros(w, largeResponse)
	case strings.Contains(r.URL.Path, "streamed"):
		sendZeros(w, streamedResponse)
	}
}

// sendZeros sends a response of a declared length until the host no longer reads.
func sendZeros(w http.ResponseWriter, length int) {
	w.Header().Set("Content-Length", strconv.Itoa(length))
	chunk := make([]byte, 64<<10)
	for range length / len(chunk) {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

// sample records the resident memory and the open descriptors of the host until the test stops it.
func (c *clientGroup) sample() {
	pid := strconv.Itoa(c.host.cmd.Process.Pid)
	for {
		if resident := residentBytes(pid); resident > c.maxResident.Load() {
			c.maxResident.Store(resident)
		}
		if fds, err := os.ReadDir("/proc/" + pid + "/fd"); err == nil && int64(len(fds)) > c.maxOpen.Load() {
			c.maxOpen.Store(int64(len(fds)))
		}
		select {
		case <-c.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// residentBytes returns VmRSS of a process, or 0 if it has ended.
func residentBytes(pid string) int64 {
	status, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	line, _, _ := strings.Cut(after, "kB")
	kb, _ := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
	return kb << 10
}

// client starts one client. It sends what write writes and then keeps its connection open, without
// reading. Failures to connect or to send are no fault: the host may refuse a client.
func (c *clientGroup) client(write func(io.Writer) error) { c.clientOf(c.host.Caller, write) }

// clientOf is client for another address of the host.
func (c *clientGroup) clientOf(address string, write func(io.Writer) error) {
	c.running.Go(func() {
		if conn, err := c.connect(address); err == nil {
			_ = write(conn)
		}
	})
}

// connect opens a connection that stays open until the end of the test.
func (c *clientGroup) connect(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, clientWriteTime)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	// Otherwise the kernel takes megabytes of a response that the client does not read.
	_ = conn.(*net.TCPConn).SetReadBuffer(clientReadBuffer)
	return conn, conn.SetDeadline(time.Now().Add(clientWriteTime))
}

func (c *clientGroup) closeConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// check waits until all clients have sent, and requires that the host lives, stayed within its limits and
// answers an ordinary request while the clients keep their connections open.
func (c *clientGroup) check(t *testing.T) {
	t.Helper()
	c.running.Wait()
	time.Sleep(settleTime)
	c.awaitAnswer(t)
	close(c.stop)
	c.sampled.Wait()
	if c.host.hasExited() {
		t.Errorf("the host ended with %s: %v", c.host.cmd.ProcessState, c.host.out)
	}
	t.Logf("at most %d MB resident and %d open descriptors", c.maxResident.Load()>>20, c.maxOpen.Load())
	if resident := c.maxResident.Load(); resident > int64(c.memoryMb)<<20 {
		t.Errorf("the host had %d MB resident, want at most %d", resident>>20, c.memoryMb)
	}
	if open := c.maxOpen.Load(); open > int64(c.maxFds) {
		t.Errorf("the host had %d open descriptors, want at most %d", open, c.maxFds)
	}
}

// awaitAnswer sends ordinary requests until one is answered, as a caller does that is refused.
func (c *clientGroup) awaitAnswer(t *testing.T) {
	t.Helper()
	waitFor(t, "an ordinary request is answered", func() bool {
		if c.host.hasExited() {
			t.Fatalf("the host ended with %s: %v", c.host.cmd.ProcessState, c.host.out)
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+c.host.Caller+"/lookup/1", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host, req.Close = platformtest.RouteHost, true
		req.Header.Set(platform.Dialect().RequestID, "ordinary")
		client := http.Client{Timeout: callerTimeout}
		res, err := client.Do(req)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		_, err = io.Copy(io.Discard, res.Body)
		return err == nil && res.StatusCode == http.StatusOK
	})
}

// head returns a request head without its last line.
func head(path, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: crowd\r\n%s", path, platformtest.RouteHost, platform.Dialect().RequestID, fields)
}

// sendAll writes the texts one after the other.
func sendAll(w io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// sendRepeated writes a text until count bytes are written.
func sendRepeated(w io.Writer, text string, count int) error {
	block := bytes.Repeat([]byte(text), max(1, (64<<10)/len(text)))
	for left := count; left > 0; left -= len(block) {
		if _, err := w.Write(block[:min(left, len(block))]); err != nil {
			return err
		}
	}
	return nil
}

// TestClientsWithLargeBodies guards against a host whose memory is exceeded by bodies of legal size, each
// sent in one piece, that are complete and wait for their target.
func TestClientsWithLargeBodies(t *testing.T) {
	c := newClientGroup(t)
	body := make([]byte, clientsMaxBody)
	for i := range 24 {
		path := []string{"/crowd/hold", "/upload/hold"}[i%2]
		c.client(func(w io.Writer) error {
			if err := sendAll(w, head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))); err != nil {
				return err
			}
			_, err := w.Write(body)
			return err
		})
	}
	c.check(t)
}

// TestClientsThatStopBeforeEndOfBody guards against a host whose memory is exceeded by bodies that arrive
// in parts, most of which stop one byte short of their end.
func TestClientsThatStopBeforeEndOfBody(t *testing.T) {
	c := newClientGroup(t)
	for i := range 24 {
		count := clientsMaxBody - 1
		if i%6 == 0 {
			count++
		}
		c.client(func(w io.Writer) error {
			if err := sendAll(w, head("/upload/1", fmt.Sprintf("Content-Length: %d\r\n\r\n", clientsMaxBody))); err != nil {
				return err
			}
			return sendRepeated(w, "part", count)
		})
	}
	c.check(t)
}

// sendFields writes header fields with different names until count bytes are written. Each takes many
// times its size in memory once it is parsed.
func sendFields(w io.Writer, count int) error {
	var b bytes.Buffer
	for i := 0; b.Len() < count; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	_, err := w.Write(b.Bytes()[:count])
	return err
}

// TestClientsWithEndlessHeads guards against a host whose memory is exceeded by request heads that stop
// short of the limit, exceed it or never end, and by empty lines before a request.
func TestClientsWithEndlessHeads(t *testing.T) {
	c := newClientGroup(t)
	for i := range 400 {
		c.client(func(w io.Writer) error {
			switch i % 8 {
			case 0, 1:
				return sendAll(w, head("/lookup/1", "A: "), strings.Repeat("a", 15<<10))
			case 2, 3:
				if err := sendAll(w, head("/lookup/1", "")); err != nil {
					return err
				}
				return sendFields(w, 15<<10)
			case 4, 5, 6:
				if err := sendAll(w, head("/lookup/1", "")); err != nil {
					return err
				}
				return sendFields(w, 60<<10)
			default:
				return sendRepeated(w, "\r\n", 4<<20)
			}
		})
	}
	c.check(t)
}

// TestClientsWithChunkedBodies guards against a host whose memory is exceeded by chunked bodies in large
// chunks and in chunks of one byte that stop short of their end, and by chunk extensions and trailers
// without end.
func TestClientsWithChunkedBodies(t *testing.T) {
	c := newClientGroup(t)
	const chunk = 1 << 20
	large := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("a", chunk))
	for i := range 36 {
		c.client(func(w io.Writer) error {
			if err := sendAll(w, head("/upload/1", "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
				return err
			}
			switch i % 6 {
			case 0, 1, 2:
				for range clientsMaxBody/chunk - 1 {
					if err := sendAll(w, large); err != nil {
						return err
					}
				}
				return sendAll(w, large[:len(large)-8])
			case 3:
				return sendRepeated(w, "1\r\na\r\n", 6<<20)
			case 4:
				if err := sendAll(w, "5;"); err != nil {
					return err
				}
				return sendRepeated(w, "extension", 4<<20)
			default:
				if err := sendAll(w, "5\r\nhello\r\n0\r\n"); err != nil {
					return err
				}
				return sendRepeated(w, "trailer: a\r\n", 4<<20)
			}
		})
	}
	c.check(t)
}

// TestClientsThatDoNotRead guards against a host whose memory or descriptors are exceeded by large
// responses that callers never read.
func TestClientsThatDoNotRead(t *testing.T) {
	c := newClientGroup(t)
	for i := range 350 {
		path := []string{"/crowd/large", "/crowd/streamed"}[i%2]
		c.client(func(w io.Writer) error { return sendAll(w, head(path, "Content-Length: 0\r\n\r\n")) })
	}
	c.check(t)
}

// TestClientsWithManyConnections guards against a host whose descriptors are used up by connections that
// send nothing, that stay idle after a request, or whose pipelined requests' responses are not read.
func TestClientsWithManyConnections(t *testing.T) {
	c := newClientGroup(t)
	request := head("/lookup/1", "Content-Length: 0\r\n\r\n")
	for i := range 900 {
		c.client(func(w io.Writer) error {
			switch i % 3 {
			case 0:
				return nil
			case 1:
				return sendAll(w, request)
			default:
				return sendRepeated(w, strings.Replace(request, "/lookup/1", "/crowd/large", 1), 256<<10)
			}
		})
	}
	c.check(t)
}
