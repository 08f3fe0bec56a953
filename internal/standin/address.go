package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports of FreeAddress. They lie below the ephemeral range, from which the kernel takes the local ports
// of outgoing connections.
const (
	firstFreePort = 12000
	freePorts     = 20000
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
