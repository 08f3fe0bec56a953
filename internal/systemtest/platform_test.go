//go:build linux

package systemtest

import (
	"bufio"
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
	"syscall"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/platform"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

const (
	// platformGrace is the time between SIGTERM and SIGKILL on the simulated platform.
	platformGrace = 6 * time.Second
	platformZone  = "z"
)

// deployment is a simulated platform with one slow target.
type deployment struct {
	store        *platformtest.Store
	storeAddress string
	target       *slowTarget
}

// newDeployment starts a store and a target that takes the given time for each request, and puts
// a configuration with an idempotent and a non-idempotent route in force.
func newDeployment(t testing.TB, latency time.Duration) *deployment {
	t.Helper()
	d := &deployment{store: platformtest.NewStore(), target: newSlowTarget(t, latency)}
	server := httptest.NewServer(d.store)
	t.Cleanup(server.Close)
	d.storeAddress = server.Listener.Addr().String()
	d.store.PutConfiguration(1, time.Minute,
		platformtest.Route{PathPrefix: "/lookup/", Kind: platformtest.Idempotent, Service: "index", Timeout: 5 * time.Second},
		platformtest.Route{PathPrefix: "/notice/", Kind: platformtest.NonIdempotent, Service: "index", Timeout: 5 * time.Second})
	d.store.PutTarget(platformtest.Target{ID: "t-1", Service: "index", Address: d.target.address, Zone: platformZone, Slots: 200, Sequence: 1, Born: time.Now()})
	return d
}

// settings returns the settings of a host on free addresses.
func (d *deployment) settings(t testing.TB, id string) platformtest.Host {
	t.Helper()
	_, port, err := net.SplitHostPort(freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	adminPort, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	return platformtest.Host{
		ID: id, Zone: platformZone, Region: "r", ZonesWithRegions: map[string]string{platformZone: "r"},
		Caller: freeAddress(t), Ready: freeAddress(t), Peer: freeAddress(t), Resolve: freeAddress(t),
		AdminPort: adminPort, StoreAddress: d.storeAddress, Grace: platformGrace,
	}
}

// platformHost is a running host of a deployment.
type platformHost struct {
	*process
	platformtest.Host
	settingsPath string
}

// startHost starts a host and waits until it is ready.
func (d *deployment) startHost(t testing.TB, id string) *platformHost {
	t.Helper()
	h := &platformHost{Host: d.settings(t, id), settingsPath: filepath.Join(t.TempDir(), "local.toml")}
	h.writeSettings(t)
	h.process = start(t, "sapphirehaven", "-config", h.settingsPath)
	h.waitReady(t)
	return h
}

func (h *platformHost) writeSettings(t testing.TB) {
	t.Helper()
	if err := os.WriteFile(h.settingsPath, []byte(h.Settings()), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (h *platformHost) waitReady(t testing.TB) {
	t.Helper()
	waitFor(t, h.ID+" is ready", func() bool {
		if h.hasExited() {
			t.Fatalf("%s ended with %s: %v", h.ID, h.cmd.ProcessState, h.out)
		}
		res, err := httpClient.Get("http://" + h.Ready + "/api/ready")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// stop sends SIGTERM, and SIGKILL at the end of the grace period like the platform. It returns the
// time of SIGTERM and whether the host exited before SIGKILL.
func (h *platformHost) stop() (signaledAt time.Time, graceful bool) {
	signaledAt = time.Now()
	h.signal(syscall.SIGTERM)
	if h.exitsBefore(signaledAt.Add(platformGrace)) {
		return signaledAt, true
	}
	h.signal(syscall.SIGKILL)
	<-h.exited
	return signaledAt, false
}

// exitsBefore waits for the host to exit and reports whether it did by the given time.
func (h *platformHost) exitsBefore(end time.Time) bool {
	select {
	case <-h.exited:
		return true
	case <-time.After(time.Until(end)):
		return false
	}
}

// slowTarget answers each request after a fixed time and records the IDs of the requests that
// reached it.
type slowTarget struct {
	address string
	latency time.Duration

	mu      sync.Mutex
	arrived map[string]time.Time
}

func newSlowTarget(t testing.TB, latency time.Duration) *slowTarget {
	s := &slowTarget{latency: latency, arrived: map[string]time.Time{}}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// ServeHTTP implements http.Handler.
func (s *slowTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get(platform.Dialect().RequestID)
	s.mu.Lock()
	s.arrived[id] = time.Now()
	s.mu.Unlock()
	w.Header().Set(platform.Dialect().RequestID, id)
	select {
	case <-time.After(s.latency):
		fmt.Fprintf(w, "answer to %s", id)
	case <-r.Context().Done():
	}
}

// checkNoneLost requires that each request that reached the target got a complete response.
func (s *slowTarget) checkNoneLost(t testing.TB, answered map[string]bool, signaledAt time.Time) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for id, at := range s.arrived {
		if !answered[id] {
			lost++
			t.Logf("%s reached the target %s after the signal and got no complete response", id, at.Sub(signaledAt).Round(time.Millisecond))
		}
	}
	if lost > 0 || len(s.arrived) < 10 {
		t.Errorf("%d of %d requests that reached the target got no complete response", lost, len(s.arrived))
	}
}

// keptCallers sends requests over connections that it keeps open until the host closes them. Each
// connection sends one request at a time.
type keptCallers struct {
	done     sync.WaitGroup
	mu       sync.Mutex
	answered map[string]bool
}

// startKeptCallers starts callers that connect again after a connection is closed, and stop when
// the process of the host has exited.
func startKeptCallers(h *platformHost, count int) *keptCallers {
	c := &keptCallers{answered: map[string]bool{}}
	for i := range count {
		c.done.Go(func() {
			for n := 0; !h.hasExited(); n++ {
				c.callUntilClosed(h.Caller, fmt.Sprintf("r-%d-%d", i, n), i%2 == 0)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return c
}

// wait returns the IDs of the requests that got a complete response, once all callers have stopped.
func (c *keptCallers) wait() map[string]bool {
	c.done.Wait()
	return c.answered
}

// callerTimeout keeps a caller from waiting forever for a host that doesn't respond.
const callerTimeout = 15 * time.Second

func (c *keptCallers) callUntilClosed(address, name string, idempotent bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	path := "/notice/1"
	if idempotent {
		path = "/lookup/1"
	}
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		_ = conn.SetDeadline(time.Now().Add(callerTimeout))
		if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\nContent-Length: 4\r\n\r\nbody", path, platformtest.RouteHost, platform.Dialect().RequestID, id, platform.Dialect().Deadline); err != nil {
			return
		}
		whole, last := readWholeResponse(br, id)
		if !whole {
			return
		}
		c.mu.Lock()
		c.answered[id] = true
		c.mu.Unlock()
		if last {
			return
		}
	}
}

// readWholeResponse reads a response and reports whether it is complete and belongs to the
// request, and whether it is the last one on its connection.
func readWholeResponse(br *bufio.Reader, id string) (whole, last bool) {
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return false, true
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode == http.StatusOK && !strings.HasSuffix(string(body), id) {
		return false, true
	}
	return true, res.Close
}
