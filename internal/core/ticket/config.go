package ticket

import (
	"errors"
	"time"
)

// Config holds the settings of a Table. Start from DefaultConfig.
type Config struct {
	// Lifetime is the time from issue to expiry; default 10 min.
	Lifetime time.Duration
	// MaxTickets bounds the tickets issued here that have not expired, and so
	// the entries; default 50,000.
	MaxTickets int
	// MaxImported bounds the tickets taken over from other hosts; default
	// 100,000.
	MaxImported int
	// MaxBytes bounds the stored responses, and stops the issue when reached;
	// default 64 MiB.
	MaxBytes int
	// MaxBodyBytes bounds one stored body; of a longer one only the fact that
	// it was answered is stored; default 64 KiB.
	MaxBodyBytes int
	// MaxChunkBytes bounds a chunk of a hand-over, unless one entry alone is
	// larger; default 256 KiB.
	MaxChunkBytes int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Lifetime:      10 * time.Minute,
		MaxTickets:    50_000,
		MaxImported:   100_000,
		MaxBytes:      64 << 20,
		MaxBodyBytes:  64 << 10,
		MaxChunkBytes: 256 << 10,
	}
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	switch {
	case c.Lifetime < time.Millisecond:
		return errors.New("ticket: Lifetime must be at least 1 ms")
	case c.MaxTickets <= 0:
		return errors.New("ticket: MaxTickets must be positive")
	case c.MaxImported <= 0:
		return errors.New("ticket: MaxImported must be positive")
	case c.MaxBytes <= 0:
		return errors.New("ticket: MaxBytes must be positive")
	case c.MaxBodyBytes < 0:
		return errors.New("ticket: MaxBodyBytes must not be negative")
	case c.MaxChunkBytes <= 0:
		return errors.New("ticket: MaxChunkBytes must be positive")
	}
	return nil
}
