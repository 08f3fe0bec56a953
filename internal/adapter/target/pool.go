package target

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// pool holds the connections to all targets.
type pool struct {
	cfg Config

	mu      sync.Mutex
	targets map[string]*targetPool
	sweeper *time.Timer
	closed  bool
	stats   PoolStats
	// open counts the open connections to all targets.
	open int
}

// targetPool holds the connections to one target.
type targetPool struct {
	// idle is ordered by the time of the last response, most recent last.
	idle []*conn
	// open counts the connections that are idle, in use or being dialed.
	open int
	// generation is incremented when the idle connections are suspected to be dead.
	generation uint64
}

// PoolStats holds the connection counters since the start of the process.
type PoolStats struct {
	Dials, DialFailures, Reuses, Suspicions uint64
	// Open and Idle are the current numbers of connections.
	Open, Idle int
}

func newPool(cfg Config) *pool { return &pool{cfg: cfg, targets: map[string]*targetPool{}} }

// acquire returns an idle connection that is suitable for the attempt. If there is
// none, it counts a new connection as open and returns nil; the caller then dials.
func (p *pool) acquire(a *Attempt, now time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	tp := p.target(a.Address)
	if !a.NewConnection {
		if c := p.acquireIdle(tp, a, now); c != nil {
			p.stats.Reuses++
			c.reused = true
			p.shrinkSendBuffer(c)
			return c, nil
		}
	}
	if tp.open >= p.cfg.MaxConnections && len(tp.idle) > 0 {
		p.closeIdle(tp, 0)
	}
	if tp.open >= p.cfg.MaxConnections {
		return nil, ErrTooManyConnections
	}
	// closeIdle may have removed the entry of the target.
	p.target(a.Address).open++
	p.open++
	p.stats.Dials++
	return nil, nil
}

func (p *pool) target(address string) *targetPool {
	tp := p.targets[address]
	if tp == nil {
		tp = &targetPool{}
		p.targets[address] = tp
	}
	return tp
}

// acquireIdle returns the idle connection with the most recent response, or nil if
// there is none or it is too old for a non-idempotent request. A connection on which the
// target has already rejected this request is left out: a copy of that rejection would
// carry the ID of the request and look like the response to it.
func (p *pool) acquireIdle(tp *targetPool, a *Attempt, now time.Time) *conn {
	for i := len(tp.idle) - 1; i >= 0; i-- {
		c := tp.idle[i]
		if p.expired(tp, c, now) || !reusable(c.Conn) {
			p.closeIdle(tp, i)
			continue
		}
		if !a.Idempotent && now.Sub(c.lastResponse) > p.cfg.NonIdempotentReuse {
			return nil
		}
		if slices.Contains(c.rejected, hashID(a.RequestID)) {
			continue
		}
		tp.idle = slices.Delete(tp.idle, i, i+1)
		return c
	}
	return nil
}

func (p *pool) expired(tp *targetPool, c *conn, now time.Time) bool {
	return c.generation != tp.generation ||
		now.Sub(c.idleSince) > p.cfg.IdleTimeout ||
		(c.keepAlive > 0 && now.Sub(c.idleSince) > c.keepAlive) ||
		now.Sub(c.openedAt) > p.cfg.MaxAge
}

// closeIdle closes the idle connection at index i.
func (p *pool) closeIdle(tp *targetPool, i int) {
	c := tp.idle[i]
	tp.idle = append(tp.idle[:i], tp.idle[i+1:]...)
	p.releaseOpen(c.address)
	_ = c.Close()
	p.releaseTransit(c)
}

// full reports whether no further connection is kept idle. The caller holds the lock.
func (p *pool) full() bool { return p.cfg.MaxOpen > 0 && p.open > p.cfg.MaxOpen }

// releaseOpen decrements the number of open connections to a target.
func (p *pool) releaseOpen(address string) {
	tp := p.targets[address]
	if tp == nil {
		return
	}
	tp.open--
	p.open--
	if tp.open == 0 {
		delete(p.targets, address)
	}
}

// dial opens a connection that acquire has counted as open.
func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	dialed := false
	defer func() {
		if !dialed {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.releaseOpen(address)
		}
	}()
	nc, err := p.dialer()(ctx, address)
	dialed = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		_ = nc.Close()
		err = ErrClosed
	}
	if err != nil {
		p.stats.DialFailures++
		p.releaseOpen(address)
		return nil, err
	}
	// The error is ignored because TCP_USER_TIMEOUT only detects a dead connection
	// sooner; the deadline of the attempt applies without it.
	_ = setUserTimeout(nc, p.cfg.UserTimeout)
	c := newConn(nc, address, p.cfg.ReadBufferBytes, time.Now())
	c.generation = p.target(address).generation
	return c, nil
}

func (p *pool) dialer() func(context.Context, string) (net.Conn, error) {
	if p.cfg.Dial != nil {
		return p.cfg.Dial
	}
	d := &net.Dialer{KeepAlive: p.cfg.KeepAlive}
	if p.cfg.SendBuffer > 0 || p.cfg.ReceiveBuffer > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return setBuffers(raw, p.cfg.SendBuffer, p.cfg.ReceiveBuffer)
		}
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// putIdle returns a connection to the pool after a complete response, which also
// shows that the connection is alive.
func (p *pool) putIdle(c *conn, now time.Time) {
	p.shrinkSendBuffer(c)
	p.restoreReceiveBuffer(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	tp := p.target(c.address)
	if p.closed || p.full() || len(tp.idle) >= p.cfg.MaxIdle || now.Sub(c.openedAt) > p.cfg.MaxAge {
		p.releaseOpen(c.address)
		_ = c.Close()
		p.releaseTransit(c)
		return
	}
	c.idleSince, c.lastResponse = now, now
	c.generation = tp.generation
	c.counter = nil
	tp.idle = append(tp.idle, c)
	p.scheduleSweep()
}

// putUnused returns a connection that no byte was written to. A new connection has
// delivered no response yet, so it counts as the one whose response is the oldest.
func (p *pool) putUnused(c *conn, now time.Time) {
	p.shrinkSendBuffer(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	tp := p.target(c.address)
	if p.closed || p.full() || len(tp.idle) >= p.cfg.MaxIdle {
		p.releaseOpen(c.address)
		_ = c.Close()
		p.releaseTransit(c)
		return
	}
	if c.idleSince.IsZero() {
		c.idleSince = now
	}
	c.counter = nil
	at, _ := slices.BinarySearchFunc(tp.idle, c, func(a, b *conn) int { return a.lastResponse.Compare(b.lastResponse) })
	tp.idle = slices.Insert(tp.idle, at, c)
	p.scheduleSweep()
}

// closeInUse closes a connection that was in use. suspect is set when it was
// reused and delivered no response; the target's idle connections are then closed
// as well, because they may be dead too.
func (p *pool) closeInUse(c *conn, suspect bool) {
	p.restoreReceiveBuffer(c)
	_ = c.Close()
	p.releaseTransit(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if tp := p.targets[c.address]; tp != nil && suspect {
		p.stats.Suspicions++
		tp.generation++
		for len(tp.idle) > 0 {
			p.closeIdle(tp, len(tp.idle)-1)
		}
	}
	p.releaseOpen(c.address)
}

// scheduleSweep starts the timer of the next sweep unless it is running.
func (p *pool) scheduleSweep() {
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.cfg.IdleTimeout/2, p.sweep)
	}
}

// sweep closes idle connections that are expired or were closed by the target.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeper = nil
	now, idle := time.Now(), 0
	for _, tp := range p.targets {
		for i := len(tp.idle) - 1; i >= 0; i-- {
			if c := tp.idle[i]; p.expired(tp, c, now) || !reusable(c.Conn) {
				p.closeIdle(tp, i)
			}
		}
		idle += len(tp.idle)
	}
	if idle > 0 && !p.closed {
		p.scheduleSweep()
	}
}

// close closes all idle connections. Connections in use are closed when their
// attempt ends.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	for _, tp := range p.targets {
		for len(tp.idle) > 0 {
			p.closeIdle(tp, len(tp.idle)-1)
		}
	}
}

// snapshot returns the current counters.
func (p *pool) snapshot() PoolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	for _, tp := range p.targets {
		s.Open += tp.open
		s.Idle += len(tp.idle)
	}
	return s
}
