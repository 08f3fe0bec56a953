package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/standin"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

// hostProgram is the file name of a host's program.
const hostProgram = "sapphirehaven"

const (
	// readyTimeout is the time after which a host that is not ready counts as failed.
	readyTimeout  = 30 * time.Second
	readyInterval = 20 * time.Millisecond
)

// host is a host with its links. Its process is replaced by restarts.
type host struct {
	index                 int
	settings              platformtest.Host
	settingsPath, logPath string
	program               string
	callerLink, storeLink *standin.FaultLink
	store                 *storeFront
	recorder              *recorder
	client                *http.Client
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	exited                chan struct{}
	terminated, killed    bool
	addressInUse          bool
}

// newHost creates a host with free addresses and its links. It does not start the process.
func newHost(index int, cfg *Config, layout *layout, store *storeFront, r *recorder) (*host, error) {
	id := fmt.Sprintf("host-%d", index+1)
	h := &host{
		index: index, store: store, recorder: r, program: filepath.Join(cfg.BinaryDir, hostProgram),
		settingsPath: filepath.Join(cfg.LogDir, id+".toml"), logPath: filepath.Join(cfg.LogDir, id+".log"),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	addresses := make([]string, 5)
	for n := range addresses {
		var err error
		if addresses[n], err = standin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	_, port, _ := net.SplitHostPort(addresses[4])
	adminPort, err := strconv.Atoi(port)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if h.callerLink, err = standin.NewFaultLink(addresses[0]); err != nil {
		return nil, err
	}
	if h.storeLink, err = standin.NewFaultLink(store.address); err != nil {
		return nil, err
	}
	zone := layout.zone(index)
	h.settings = platformtest.Host{
		ID: id, Zone: zone, Region: layout.regions[zone], ZonesWithRegions: layout.regions,
		Caller: addresses[0], Ready: addresses[1], Peer: addresses[2], Resolve: addresses[3], AdminPort: adminPort,
		StoreAddress: h.storeLink.Address(), Grace: grace,
	}
	return h, nil
}

// start starts the process. It records the time until the host is ready.
func (h *host) start() error {
	if err := os.WriteFile(h.settingsPath, []byte(h.settings.Settings()), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer log.Close()
	cmd := exec.Command(h.program, "-config", h.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	endOnDeath(cmd)
	ready := h.recorder.disrupt(disruption{cause: started, host: h.index, place: none, name: "start"})
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "host")
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited, h.terminated, h.killed = cmd, exited, false, false
	h.mu.Unlock()
	go h.wait(cmd, exited)
	go h.watchReady(exited, ready)
	return nil
}

// wait waits for the process to end, and records a breach if it ended by itself.
func (h *host) wait(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	defer close(exited)
	if h.killed || h.terminated && cmd.ProcessState.ExitCode() == 0 {
		return
	}
	if log, err := os.ReadFile(h.logPath); err == nil && bytes.Contains(log, []byte("address already in use")) {
		h.addressInUse = true
		return
	}
	h.recorder.addBreach(breach{ruleExit, time.Now(), "", fmt.Sprintf("%s ended by itself: %s", h.settings.ID, cmd.ProcessState)})
}

func (h *host) watchReady(exited chan struct{}, ready func()) {
	defer ready()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyInterval) {
		select {
		case <-exited:
			return
		default:
		}
		if h.isReady() {
			return
		}
	}
}

func (h *host) isReady() bool {
	return platformtest.IsReady(context.Background(), h.client, h.settings.Ready)
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	h.terminated = h.terminated || s == syscall.SIGTERM
	h.killed = h.killed || s == syscall.SIGKILL || s == syscall.SIGQUIT
	_ = h.cmd.Process.Signal(s)
}

// waitExit waits for the end of the process until a time.
func (h *host) waitExit(until time.Time) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(time.Until(until)):
		return false
	}
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.waitExit(time.Now().Add(time.Minute))
}

// foundAddressInUse reports whether another process had taken an address of the host.
func (h *host) foundAddressInUse() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addressInUse
}
