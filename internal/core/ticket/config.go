package ticket

import (
	"errors"
	"time"
)

// Config holds the settings of a Table. DefaultConfig returns the defaults.
type Config struct {
	// Lifetime is the validity period of a ticket; default 10 min.
	Lifetime time.Duration
	// MaxTickets limits the unexpired tickets issued by this table, and thereby
	// their entries; default 50,000.
	MaxTickets int
	// MaxImported limits the tickets imported from other hosts; default 100,000.
	MaxImported int
	// MaxBytes limits the total size of stored responses. No tickets are issued
	// while it is reached; default 64 MiB.
	MaxBytes int
	// MaxBodyBytes limits the body of one stored response. For a longer body,
	// only the fact that the request was answered is stored; default 64 KiB.
	MaxBodyBytes int
	// MaxChunkBytes limits a chunk of a handover, unless a single entry is
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
