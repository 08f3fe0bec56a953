package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Ports of FreeAddress. They lie above those of scripts/demo.sh, which may run beside tests, and below the ephemeral
// range, from which the kernel takes the local ports of outgoing connections.
const (
	firstFreePort = 22000
	freePorts     = 10000
	// portAttempts limits the ports that are tried.
	portAttempts = 1000
)

// returnedPorts holds the addresses that FreeAddress has returned.
var returnedPorts sync.Map

// FreeAddress returns a loopback address that is free for TCP and UDP. It returns no address twice.
func FreeAddress() (string, error) {
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstFreePort+rand.IntN(freePorts))
		if _, returned := returnedPorts.LoadOrStore(address, true); !returned && isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no free port found")
}

const (
	// listenTimeout is the time for which Listen waits for an address.
	listenTimeout  = 5 * time.Second
	listenInterval = 10 * time.Millisecond
)

// Listen listens on a TCP address that this process had used or found free before. A process that is
// being started at that moment holds copies of all sockets until its program runs, so the address may
// still be in use for some milliseconds after it was closed.
func Listen(address string) (net.Listener, error) {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(listenInterval) {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return listener, errors.Wrapf(err, "listen on %s", address)
		}
	}
}

func isFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	udp.Close()
	return true
}
