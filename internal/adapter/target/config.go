package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// Config holds the settings of a Transport. Start from DefaultConfig.
type Config struct {
	// DialTimeout bounds opening a connection; default 1 s.
	DialTimeout time.Duration
	// MaxConnections bounds open connections to one target; default 330, the
	// number that a target accepts.
	MaxConnections int
	// MaxIdle bounds idle connections to one target; default 64. It is above the
	// slots of a target, so that no connection is closed and opened again at
	// full load.
	MaxIdle int
	// IdleTimeout is the longest time a connection stays idle; default 30 s.
	IdleTimeout time.Duration
	// MaxAge is the age from which a connection is not reused; default 10 min.
	MaxAge time.Duration
	// NonIdempotentReuse is the time after a response during which a
	// non-idempotent request may use the same connection; default 1 s.
	NonIdempotentReuse time.Duration
	// MaxHeadBytes bounds status line and header of a response; default 64 KiB.
	MaxHeadBytes int
	// ReadBufferBytes is the size of a connection's read buffer; default 4 KiB.
	ReadBufferBytes int
	// InlineBodyBytes is the largest declared body that is read whole before
	// it is sent; default 16 KiB.
	InlineBodyBytes int64
	// EarlyResponseWait is how long a response is awaited after the target
	// stopped reading the request; default 1 s.
	EarlyResponseWait time.Duration
	// SlowCallerGrace is the longest time a caller may stay below its minimum
	// rate; default 5 s.
	SlowCallerGrace time.Duration
	// DeadlineReserve is subtracted from the time left when it is sent to the
	// target, so that its answer can still arrive in time; default 2 ms.
	DeadlineReserve time.Duration
	// KeepAlive is the interval of TCP keep-alive probes; default 15 s.
	KeepAlive time.Duration
	// UserTimeout is TCP_USER_TIMEOUT, the longest time that sent data may stay
	// unacknowledged (Linux only); default 5 s.
	UserTimeout time.Duration
	// ProbeTimeout bounds probes and load reports; default 1 s.
	ProbeTimeout time.Duration
	// CrossRegionBytesPerSecond paces request bodies across regions, shared by
	// all uploads of the host; default 0, no pacing.
	CrossRegionBytesPerSecond int64
	// BodyFlushWait is how long the rest of a request body may take after a
	// complete response; the connection is closed when it takes longer.
	// Default 1 s.
	BodyFlushWait time.Duration
	// Dialect is what targets speak; default the product's own.
	Dialect dialect.Dialect
	// Dial opens a connection; default TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		DialTimeout:        time.Second,
		MaxConnections:     330,
		MaxIdle:            64,
		IdleTimeout:        30 * time.Second,
		MaxAge:             10 * time.Minute,
		NonIdempotentReuse: time.Second,
		MaxHeadBytes:       64 << 10,
		ReadBufferBytes:    4 << 10,
		InlineBodyBytes:    16 << 10,
		EarlyResponseWait:  time.Second,
		SlowCallerGrace:    5 * time.Second,
		DeadlineReserve:    2 * time.Millisecond,
		KeepAlive:          15 * time.Second,
		UserTimeout:        5 * time.Second,
		ProbeTimeout:       time.Second,
		BodyFlushWait:      time.Second,
		Dialect:            dialect.Native(),
	}
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"DialTimeout", int64(c.DialTimeout)}, {"MaxConnections", int64(c.MaxConnections)},
		{"IdleTimeout", int64(c.IdleTimeout)}, {"MaxAge", int64(c.MaxAge)},
		{"MaxHeadBytes", int64(c.MaxHeadBytes)}, {"ReadBufferBytes", int64(c.ReadBufferBytes)},
		{"EarlyResponseWait", int64(c.EarlyResponseWait)}, {"SlowCallerGrace", int64(c.SlowCallerGrace)},
		{"KeepAlive", int64(c.KeepAlive)}, {"UserTimeout", int64(c.UserTimeout)},
		{"ProbeTimeout", int64(c.ProbeTimeout)},
	} {
		if f.value <= 0 {
			return fmt.Errorf("target: %s must be positive", f.name)
		}
	}
	if c.CrossRegionBytesPerSecond < 0 {
		return errors.New("target: CrossRegionBytesPerSecond must not be negative")
	}
	return nil
}
