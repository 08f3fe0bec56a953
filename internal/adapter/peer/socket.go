package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// MaxDatagramBytes bounds a datagram, so that it is not fragmented on the way.
const MaxDatagramBytes = 1200

// socket sends and receives datagrams and counts them.
type socket struct{ conn *net.UDPConn }

func listenSocket(address string) (socket, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return socket{}, errors.Wrap(err, "peer")
	}
	conn, err := net.ListenUDP("udp", at)
	return socket{conn}, errors.Wrap(err, "peer")
}

func (s socket) close() { _ = s.conn.Close() }

func (s socket) send(address string, data []byte) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	if _, err = s.conn.WriteToUDP(data, to); err != nil {
		return errors.Wrap(err, "peer")
	}
	udpBytesSent.Add(len(data))
	udpMessagesSent.Inc()
	return nil
}

// receive calls handle with every datagram until the socket is closed. It also returns
// if ctx is done, but checks ctx only between datagrams: a blocked read ends only when
// the socket is closed. The data is valid only during the call.
func (s socket) receive(ctx context.Context, handle func(data []byte)) {
	buffer := make([]byte, MaxDatagramBytes+1)
	for ctx.Err() == nil {
		n, _, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		udpBytesReceived.Add(n)
		if err != nil || n > MaxDatagramBytes {
			continue
		}
		udpMessagesReceived.Inc()
		handle(buffer[:n])
	}
}

// unmarshal decodes a datagram and reports whether it is well-formed.
func unmarshal(data []byte, m proto.Message) bool { return proto.Unmarshal(data, m) == nil }
