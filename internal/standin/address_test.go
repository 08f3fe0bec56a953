package standin

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestFreeAddress guards against an address that an outgoing connection may take before the test that asked
// for it listens there, against an address that two tests get, and against one of scripts/demo.sh, which fails if it
// runs beside the test then.
func TestFreeAddress(t *testing.T) {
	const lastDemoPort = 21208
	ephemeral := 32768
	if data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		if ephemeral, err = strconv.Atoi(strings.Fields(string(data))[0]); err != nil {
			t.Fatal(err)
		}
	}
	seen := map[string]bool{}
	for range 200 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := strconv.Atoi(port); err != nil || n <= lastDemoPort || n >= ephemeral || seen[address] {
			t.Errorf("address %s (%v), want an unused port above %d and below %d", address, err, lastDemoPort, ephemeral)
		}
		seen[address] = true
	}
}

// TestListenWaits guards against a link or a target that can't be started while an address that was
// just closed is still held by a process that is being started.
func TestListenWaits(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, func() { held.Close() })
	listener, err := Listen(held.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
}
