//go:build linux

package systemtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/standin"
)

// binaryDir is the directory of the built programs.
var binaryDir string

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
	binaryDir = dir
	return m.Run()
}

// waitTimeout keeps a failing test from waiting forever. It isn't a requirement
// on how fast a state is reached.
const waitTimeout = 75 * time.Second

// waitFor polls until the condition holds.
func waitFor(t testing.TB, condition string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		if reached() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", condition)
}

// output collects the standard output and standard error of a process.
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

// process is a running program.
type process struct {
	cmd *exec.Cmd
	// out is nil if the test reads the output itself.
	out    *output
	exited chan struct{}
}

// start starts a program and kills it at the end of the test if it is still
// running. The kernel kills it if the test process dies first.
func start(t testing.TB, program string, args ...string) *process {
	t.Helper()
	out := &output{}
	p := startWithOutput(t, out, program, args...)
	p.out = out
	return p
}

// startWithOutput starts a program like start does, with another destination of its output.
func startWithOutput(t testing.TB, out io.Writer, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaryDir, program), args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.exited
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// startListening starts a program on free addresses. Another process may bind an
// address before the program does, so the start is retried with other addresses.
func startListening(t testing.TB, program string, count int, ready func(addresses []string) bool, args func(addresses []string) []string) (*process, []string) {
	t.Helper()
	for range 5 {
		addresses := make([]string, count)
		for i := range addresses {
			addresses[i] = freeAddress(t)
		}
		p := start(t, program, args(addresses)...)
		waitFor(t, program+" is ready", func() bool { return p.hasExited() || p.reportsListening() && ready(addresses) })
		if !p.hasExited() {
			return p, addresses
		}
		if !strings.Contains(p.out.String(), "address already in use") {
			t.Fatalf("%s exited: %s", program, p.out)
		}
	}
	t.Fatalf("%s: no free address", program)
	return nil, nil
}

// reportsListening returns true once the program has logged that it listens. A
// response from its address is not sufficient: another test on the machine may
// have bound the address first, so that the program is about to exit.
func (p *process) reportsListening() bool {
	out := p.out.String()
	return strings.Contains(out, "listening on ") || strings.Contains(out, "event=host_started")
}

func acceptsConnections(addresses []string) bool {
	conn, err := net.Dial("tcp", addresses[0])
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}
