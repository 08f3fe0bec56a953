package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of the control traffic of this host. Bytes count the payload of TCP and UDP
// without headers. One drpc message is one request or response of a call; one UDP
// message is one datagram.
var (
	drpcBytesSent        = metrics.NewCounter(`sapphirehaven_control_bytes_total{transport="drpc",direction="sent"}`)
	drpcBytesReceived    = metrics.NewCounter(`sapphirehaven_control_bytes_total{transport="drpc",direction="received"}`)
	udpBytesSent         = metrics.NewCounter(`sapphirehaven_control_bytes_total{transport="udp",direction="sent"}`)
	udpBytesReceived     = metrics.NewCounter(`sapphirehaven_control_bytes_total{transport="udp",direction="received"}`)
	drpcMessagesSent     = metrics.NewCounter(`sapphirehaven_control_messages_total{transport="drpc",direction="sent"}`)
	drpcMessagesReceived = metrics.NewCounter(`sapphirehaven_control_messages_total{transport="drpc",direction="received"}`)
	udpMessagesSent      = metrics.NewCounter(`sapphirehaven_control_messages_total{transport="udp",direction="sent"}`)
	udpMessagesReceived  = metrics.NewCounter(`sapphirehaven_control_messages_total{transport="udp",direction="received"}`)
)

// countingConn counts the bytes of a connection.
type countingConn struct{ net.Conn }

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	drpcBytesReceived.Add(n)
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	drpcBytesSent.Add(n)
	return n, err
}

// countingListener counts the bytes of the connections it accepts.
type countingListener struct{ net.Listener }

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn}, nil
}
