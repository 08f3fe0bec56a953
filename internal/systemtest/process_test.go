//go:build linux

package systemtest

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "systemtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/sapphirehaven", "../../cmd/sapphirectl", "../../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	programs = dir
	return m.Run()
}

// hangLimit only keeps a failed test from waiting for ever.
const hangLimit = 75 * time.Second

// waitFor polls until a state is reached.
func waitFor(t testing.TB, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(hangLimit); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		if reached() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

// output is what a process wrote.
type output struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data.String()
}

// process is a started program.
type process struct {
	cmd   *exec.Cmd
	out   *output
	ended chan struct{}
}

// start runs a program until it is ended, at the latest at the end of the test.
// The kernel ends it when the test process dies.
func start(t testing.TB, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(programs, program), args...), out: &output{}, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// startListening starts a program at free addresses. Another process may take
// an address before the program does, so a start is retried with other ones.
func startListening(t testing.TB, program string, count int, ready func(addresses []string) bool, args func(addresses []string) []string) (*process, []string) {
	t.Helper()
	for range 5 {
		addresses := make([]string, count)
		for i := range addresses {
			addresses[i] = freeAddress(t)
		}
		p := start(t, program, args(addresses)...)
		waitFor(t, program+" is ready", func() bool { return p.hasEnded() || p.listens() && ready(addresses) })
		if !p.hasEnded() {
			return p, addresses
		}
		if !strings.Contains(p.out.String(), "address already in use") {
			t.Fatalf("%s ended: %s", program, p.out)
		}
	}
	t.Fatalf("%s: no free address", program)
	return nil, nil
}

// listens reports whether the program has said that it listens. An answer at its
// address is no proof: another test on the machine may have taken the address
// first, and the program be about to end.
func (p *process) listens() bool {
	out := p.out.String()
	return strings.Contains(out, "listening on ") || strings.Contains(out, "event=host_started")
}

func accepts(addresses []string) bool {
	conn, err := net.Dial("tcp", addresses[0])
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

var usedPorts sync.Map

// freeAddress returns a loopback address that is free for TCP and UDP. It is
// below the ports that the kernel gives to outgoing connections.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000))
		if _, used := usedPorts.LoadOrStore(address, true); used {
			continue
		}
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", address)
		tcp.Close()
		if err != nil {
			continue
		}
		udp.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}
