package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// Config holds the settings of a Transport. DefaultConfig returns a valid one.
type Config struct {
	// DialTimeout bounds the time to open a connection; default 1 s.
	DialTimeout time.Duration
	// MaxConnections bounds the open connections to one target; default 330,
	// the number that a target accepts.
	MaxConnections int
	// MaxIdle bounds the idle connections to one target; default 64. It exceeds
	// the number of slots of a target, so that connections are not closed and
	// reopened at full load.
	MaxIdle int
	// MaxOpen is the number of open connections to all targets from which on connections
	// are not kept idle, so that they leave descriptors for others; default 0, no bound.
	MaxOpen int
	// IdleTimeout is how long a connection may stay idle; default 30 s.
	IdleTimeout time.Duration
	// MaxAge is the age after which a connection is no longer reused; default
	// 10 min.
	MaxAge time.Duration
	// NonIdempotentReuse is how long after a response a non-idempotent request
	// may reuse the connection; default 1 s.
	NonIdempotentReuse time.Duration
	// MaxHeadBytes bounds the status line and header of a response; default
	// 64 KiB.
	MaxHeadBytes int
	// ReadBufferBytes is the size of a connection's read buffer; default 4 KiB.
	ReadBufferBytes int
	// InlineBodyBytes is the largest declared body length that is read
	// completely before the request is sent; default 16 KiB.
	InlineBodyBytes int64
	// EarlyResponseWait is how long to wait for a response after the target has
	// stopped reading the request; default 1 s.
	EarlyResponseWait time.Duration
	// SlowCallerGrace is how long a caller may stay below the minimum rate;
	// default 5 s.
	SlowCallerGrace time.Duration
	// DeadlineReserve is subtracted from the remaining time that is sent to the
	// target, so that the response can arrive before the deadline; default 2 ms.
	DeadlineReserve time.Duration
	// KeepAlive is the interval of TCP keep-alive probes; default 15 s.
	KeepAlive time.Duration
	// UserTimeout is the value of TCP_USER_TIMEOUT, the time that sent data may
	// stay unacknowledged (Linux only); default 5 s.
	UserTimeout time.Duration
	// ProbeTimeout bounds a probe or the fetch of a load report; default 1 s.
	ProbeTimeout time.Duration
	// CrossRegionBytesPerSecond is the rate limit of request bodies sent to
	// other regions, shared by all uploads of the host; default 0, no limit.
	CrossRegionBytesPerSecond int64
	// BodyFlushWait bounds the time to write the rest of a request body after a
	// complete response; the connection is closed when it is exceeded.
	// Default 1 s.
	BodyFlushWait time.Duration
	// SendBuffer and ReceiveBuffer are the sizes of the kernel's buffers of a connection;
	// default 0, the kernel chooses. If SendBuffer is set, the connection of a failed attempt
	// is reset if bytes are left to send, since the kernel would keep them.
	SendBuffer, ReceiveBuffer int
	// BodySendBuffer is the size of the buffer for sent bytes while a body of more than
	// largeBodyBytes is sent, if Memory has room for it; default 0, as SendBuffer. It has no
	// effect without SendBuffer, since the kernel's choice could not be restored.
	BodySendBuffer int
	// BodyReceiveBuffer is the size of the buffer for received bytes while a response of more than
	// largeBodyBytes arrives, if Memory has room for it; default 0, as ReceiveBuffer. It has no effect without
	// ReceiveBuffer. Without room, a response that is forwarded while it arrives gets a smaller one.
	BodyReceiveBuffer int
	// Memory is the budget for larger buffers; required with BodySendBuffer or BodyReceiveBuffer.
	Memory *membudget.Budget
	// Dialect defines the headers that targets use; default dialect.Native.
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

// Validate returns an error naming the first invalid field.
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
