package standin

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkConfig describes a link between regions.
type LinkConfig struct {
	// BytesPerSecond is the rate in each direction; 0 means no limit.
	BytesPerSecond int
	// Delay is the one-way latency.
	Delay time.Duration
	// QueueBytes bounds the bytes that wait for transmission in each direction;
	// a sender blocks beyond it. All connections share the queue, in order of
	// arrival.
	QueueBytes int
}

// CrossRegionLink is the link between the regions of today's deployments.
func CrossRegionLinkConfig() LinkConfig {
	return LinkConfig{BytesPerSecond: 30_000_000 / 8, Delay: 30 * time.Millisecond, QueueBytes: 256 << 10}
}

// Link is a TCP relay that behaves like a link with a rate and a latency.
type Link struct {
	listener net.Listener
	target   string
	cfg      LinkConfig
	there    direction
	back     direction

	mu    sync.Mutex
	conns map[*linkConn]struct{}
}

// linkConn is one relayed connection.
type linkConn struct {
	near, far net.Conn
	frozen    chan struct{}
	freeze    sync.Once
}

// NewLink starts a relay to a target on a free loopback port.
func NewLink(target string, cfg LinkConfig) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, cfg: cfg, conns: map[*linkConn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address is where the relay listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Freeze stops forwarding on the connections that are open now, without closing
// them. New connections work.
func (l *Link) StallConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.freeze.Do(func() { close(c.frozen) })
	}
}

// Close ends the relay and its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.near.Close()
		c.far.Close()
	}
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(near)
	}
}

func (l *Link) relay(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	c := &linkConn{near: near, far: far, frozen: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forward(c, near, far, &l.there) })
	both.Go(func() { l.forward(c, far, near, &l.back) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// linkChunkBytes is the unit of transmission. maxChunks bounds the chunks of one
// connection that are under way.
const (
	linkChunkBytes = 4 << 10
	maxChunks      = 256
)

// chunk is data under way and the time of its arrival.
type chunk struct {
	data []byte
	due  time.Time
}

// forward copies one direction of a connection until it ends.
func (l *Link) forward(c *linkConn, from, to net.Conn, d *direction) {
	under := make(chan chunk, maxChunks)
	go func() {
		defer close(under)
		for {
			data := make([]byte, linkChunkBytes)
			n, err := from.Read(data)
			if err != nil {
				return
			}
			under <- chunk{data[:n], d.transmit(n, l.cfg).Add(l.cfg.Delay)}
		}
	}()
	for ch := range under {
		time.Sleep(time.Until(ch.due))
		select {
		case <-c.frozen:
			continue
		default:
		}
		if _, err := to.Write(ch.data); err != nil {
			from.Close()
		}
	}
	if half, ok := to.(interface{ CloseWrite() error }); ok {
		select {
		case <-c.frozen:
		default:
			_ = half.CloseWrite()
		}
	}
	_, _ = io.Copy(io.Discard, from)
}

// direction is the transmission queue of one direction.
type direction struct {
	mu sync.Mutex
	// free is the time at which all queued bytes are sent.
	free time.Time
}

// transmit queues n bytes, waits while the queue is full, and returns the time
// at which they are sent.
func (d *direction) transmit(n int, cfg LinkConfig) time.Time {
	if cfg.BytesPerSecond <= 0 {
		return time.Now()
	}
	bytes := func(n int) time.Duration { return time.Duration(n) * time.Second / time.Duration(cfg.BytesPerSecond) }
	for {
		d.mu.Lock()
		now := time.Now()
		if d.free.Before(now) {
			d.free = now
		}
		excess := d.free.Sub(now) - bytes(cfg.QueueBytes)
		if excess <= 0 {
			d.free = d.free.Add(bytes(n))
			sent := d.free
			d.mu.Unlock()
			return sent
		}
		d.mu.Unlock()
		time.Sleep(excess)
	}
}
