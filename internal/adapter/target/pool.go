package target

import (
	"context"
	"net"
	"sync"
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
}

// targetPool holds the connections to one target.
type targetPool struct {
	// idle is ordered by the time of the last response, latest last.
	idle []*conn
	// open counts idle, used and dialing connections.
	open int
	// generation rises when the idle connections became suspect.
	generation uint64
}

// PoolStats counts what happened to connections since the start.
type PoolStats struct {
	Dials, DialFailures, Reuses, Suspicions uint64
	// Open and Idle are current numbers.
	Open, Idle int
}

func newPool(cfg Config) *pool { return &pool{cfg: cfg, targets: map[string]*targetPool{}} }

// take returns an idle connection that fits the attempt, or nil after it
// reserved a place for a new one.
func (p *pool) take(a *Attempt, now time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	tp := p.target(a.Address)
	if !a.Fresh {
		if c := p.takeIdle(tp, a, now); c != nil {
			p.stats.Reuses++
			c.reused = true
			return c, nil
		}
	}
	if tp.open >= p.cfg.MaxConnections && len(tp.idle) > 0 {
		p.discard(tp, 0)
	}
	if tp.open >= p.cfg.MaxConnections {
		return nil, ErrTooManyConnections
	}
	// Closing the last connection above removes the entry.
	p.target(a.Address).open++
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

// takeIdle returns the idle connection with the latest response, or nil when
// that one is too old for a non-idempotent request.
func (p *pool) takeIdle(tp *targetPool, a *Attempt, now time.Time) *conn {
	for len(tp.idle) > 0 {
		last := len(tp.idle) - 1
		c := tp.idle[last]
		if p.expired(tp, c, now) || !quiet(c.Conn) {
			p.discard(tp, last)
			continue
		}
		if !a.Idempotent && now.Sub(c.lastResponse) > p.cfg.NonIdempotentReuse {
			return nil
		}
		tp.idle = tp.idle[:last]
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

// discard closes the idle connection at index i.
func (p *pool) discard(tp *targetPool, i int) {
	c := tp.idle[i]
	tp.idle = append(tp.idle[:i], tp.idle[i+1:]...)
	p.drop(c.address)
	_ = c.Close()
}

// drop forgets one open connection.
func (p *pool) drop(address string) {
	tp := p.targets[address]
	if tp == nil {
		return
	}
	tp.open--
	if tp.open == 0 {
		delete(p.targets, address)
	}
}

// dial opens the connection that take reserved.
func (p *pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	nc, err := p.dialer()(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		_ = nc.Close()
		err = ErrClosed
	}
	if err != nil {
		p.stats.DialFailures++
		p.drop(address)
		return nil, err
	}
	// TCP_USER_TIMEOUT only shortens detection; without it the attempt's
	// deadline still holds.
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
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}

// put makes a connection idle after a complete response, which also proves
// that it is alive.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tp := p.target(c.address)
	if p.closed || len(tp.idle) >= p.cfg.MaxIdle || now.Sub(c.openedAt) > p.cfg.MaxAge {
		p.drop(c.address)
		_ = c.Close()
		return
	}
	c.idleSince, c.lastResponse = now, now
	c.generation = tp.generation
	c.counter = nil
	tp.idle = append(tp.idle, c)
	p.scheduleSweep()
}

// abandon closes a connection that was in use. When it was reused and brought
// no response, the target's idle connections become suspect.
func (p *pool) abandon(c *conn, suspect bool) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if tp := p.targets[c.address]; tp != nil && suspect {
		p.stats.Suspicions++
		tp.generation++
		for len(tp.idle) > 0 {
			p.discard(tp, len(tp.idle)-1)
		}
	}
	p.drop(c.address)
}

// scheduleSweep starts the timer that closes expired idle connections.
func (p *pool) scheduleSweep() {
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.cfg.IdleTimeout/2, p.sweep)
	}
}

// sweep closes expired connections and those that the target closed.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeper = nil
	now, idle := time.Now(), 0
	for _, tp := range p.targets {
		for i := len(tp.idle) - 1; i >= 0; i-- {
			if c := tp.idle[i]; p.expired(tp, c, now) || !quiet(c.Conn) {
				p.discard(tp, i)
			}
		}
		idle += len(tp.idle)
	}
	if idle > 0 && !p.closed {
		p.scheduleSweep()
	}
}

// close closes idle connections; connections in use close when they end.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	for _, tp := range p.targets {
		for len(tp.idle) > 0 {
			p.discard(tp, len(tp.idle)-1)
		}
	}
}

// snapshot returns the counters.
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
