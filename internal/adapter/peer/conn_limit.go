package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// ServerLimits bound what the server for calls of other hosts holds. The zero value sets no limits but the
// default size of a message.
type ServerLimits struct {
	// MaxConnections bounds the open connections. At the bound, the one that has been silent for the longest
	// time is closed for a new one.
	MaxConnections int
	// MaxMessageBytes bounds a received message; default 4 MiB.
	MaxMessageBytes int
}

// MaxFleetMessageBytes is an upper bound of the requests between hosts of a fleet, which have some hundred bytes.
const MaxFleetMessageBytes = 16 << 10

// evictionLogInterval is the time between two log lines about closed connections.
const evictionLogInterval = time.Second

var evictedConnections = metrics.NewCounter("sapphirehaven_peer_connections_evicted_total")

// boundedListener closes silent connections when a new one exceeds the bound. Hosts dial again when they need a
// connection; a client that opens many and sends nothing only displaces its own.
type boundedListener struct {
	net.Listener
	max int
	log logrus.FieldLogger

	mu    sync.Mutex
	conns map[*boundedConn]struct{}
	// loggedAt is the time of the last log line, evicted the connections that were closed since.
	loggedAt time.Time
	evicted  int
}

func newBoundedListener(lis net.Listener, maxConns int, log logrus.FieldLogger) *boundedListener {
	return &boundedListener{Listener: lis, max: maxConns, log: log, conns: map[*boundedConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: accepted, listener: l}
	c.touch()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max {
		l.evictSilent()
	}
	l.conns[c] = struct{}{}
	return c, nil
}

// evictSilent closes the connection on which nothing was sent or received for the longest time. The caller holds
// the lock.
func (l *boundedListener) evictSilent() {
	var silent *boundedConn
	for c := range l.conns {
		if silent == nil || c.activeAt.Load() < silent.activeAt.Load() {
			silent = c
		}
	}
	delete(l.conns, silent)
	_ = silent.Conn.Close()
	evictedConnections.Inc()
	l.evicted++
	if now := time.Now(); now.Sub(l.loggedAt) >= evictionLogInterval {
		l.log.WithFields(logrus.Fields{"event": "peers_limited", "evicted": l.evicted, "max_connections": l.max}).Warn("connections of other hosts met their limit")
		l.loggedAt, l.evicted = now, 0
	}
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	// activeAt is the time of the last byte that was sent or received, in nanoseconds since the Unix epoch.
	activeAt atomic.Int64
}

func (c *boundedConn) touch() { c.activeAt.Store(time.Now().UnixNano()) }

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
