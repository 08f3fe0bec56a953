package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkConfig describes a simulated network link between regions.
type LinkConfig struct {
	// BytesPerSecond is the bandwidth in each direction; 0 means unlimited.
	BytesPerSecond int
	// Delay is the one-way latency.
	Delay time.Duration
	// QueueBytes limits the bytes queued for transmission in each direction; a
	// sender blocks while the queue is full. All connections share one FIFO
	// queue per direction.
	QueueBytes int
}

// CrossRegionLinkConfig returns the bandwidth and latency of the links between
// regions in current deployments.
func CrossRegionLinkConfig() LinkConfig {
	// 30 Mbit/s
	return LinkConfig{BytesPerSecond: 30_000_000 / 8, Delay: 30 * time.Millisecond, QueueBytes: 256 << 10}
}

// Link is a TCP proxy that simulates a link with limited bandwidth and latency.
type Link struct {
	listener     net.Listener
	target       string
	cfg          LinkConfig
	forwardQueue sendQueue
	reverseQueue sendQueue

	mu    sync.Mutex
	conns map[*linkConn]struct{}
}

// linkConn is a proxied connection.
type linkConn struct {
	client, server net.Conn
	stalled        chan struct{}
	stallOnce      sync.Once
}

// NewLink starts a proxy to target on a free loopback port.
func NewLink(target string, cfg LinkConfig) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, cfg: cfg, conns: map[*linkConn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address returns the address on which the proxy listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// StallConnections stops forwarding on the open connections without closing
// them. Connections opened later are not affected.
func (l *Link) StallConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.stallOnce.Do(func() { close(c.stalled) })
	}
}

// Close stops the proxy and closes its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.client.Close()
		c.server.Close()
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(client)
	}
}

func (l *Link) proxy(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer server.Close()
	c := &linkConn{client: client, server: server, stalled: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.forward(c, client, server, &l.forwardQueue) })
	copies.Go(func() { l.forward(c, server, client, &l.reverseQueue) })
	copies.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// linkChunkBytes is the unit of transmission. maxChunks limits the chunks in
// flight per connection and direction.
const (
	linkChunkBytes = 4 << 10
	maxChunks      = 256
)

// chunk is data in flight and the time at which it is delivered.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// forward copies one direction of a connection until the connection ends.
func (l *Link) forward(c *linkConn, from, to net.Conn, queue *sendQueue) {
	inFlight := make(chan chunk, maxChunks)
	go func() {
		defer close(inFlight)
		for {
			data := make([]byte, linkChunkBytes)
			n, err := from.Read(data)
			if err != nil {
				return
			}
			inFlight <- chunk{data[:n], queue.transmit(n, l.cfg).Add(l.cfg.Delay)}
		}
	}()
	for ch := range inFlight {
		time.Sleep(time.Until(ch.deliverAt))
		select {
		case <-c.stalled:
			continue
		default:
		}
		if _, err := to.Write(ch.data); err != nil {
			from.Close()
		}
	}
	if closer, ok := to.(interface{ CloseWrite() error }); ok {
		select {
		case <-c.stalled:
		default:
			_ = closer.CloseWrite()
		}
	}
	_, _ = io.Copy(io.Discard, from)
}

// sendQueue is the transmission queue of one direction.
type sendQueue struct {
	mu sync.Mutex
	// busyUntil is the time at which all queued bytes will have been sent.
	busyUntil time.Time
}

// transmit queues n bytes, waits while the queue is full, and returns the time
// at which they are sent.
func (q *sendQueue) transmit(n int, cfg LinkConfig) time.Time {
	if cfg.BytesPerSecond <= 0 {
		return time.Now()
	}
	transmissionTime := func(n int) time.Duration { return time.Duration(n) * time.Second / time.Duration(cfg.BytesPerSecond) }
	for {
		q.mu.Lock()
		now := time.Now()
		if q.busyUntil.Before(now) {
			q.busyUntil = now
		}
		wait := q.busyUntil.Sub(now) - transmissionTime(cfg.QueueBytes)
		if wait <= 0 {
			q.busyUntil = q.busyUntil.Add(transmissionTime(n))
			sent := q.busyUntil
			q.mu.Unlock()
			return sent
		}
		q.mu.Unlock()
		time.Sleep(wait)
	}
}
