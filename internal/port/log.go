// Package port defines the interfaces to the platform.
package port

import (
	"context"
	"fmt"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
)

// Log is the platform's append-only log.
type Log interface {
	// Append appends a record and returns its offset. A LogUnavailableError
	// means that the record was certainly not appended; any other error means
	// that it may have been, now or later.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns up to limit records from an offset on. When there are none
	// it waits up to wait. A TruncatedError means that the offset is no longer
	// retained.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (Batch, error)
}

// Batch is a part of the log.
type Batch struct {
	// First is the lowest retained offset.
	FirstOffset int64
	// Next is the offset to continue from.
	NextOffset    int64
	Records []revision.Record
}

// LogUnavailableError reports that the log service did not take a request.
type LogUnavailableError struct{ Cause error }

func (e *LogUnavailableError) Error() string { return fmt.Sprintf("log unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// AppendUnknownError reports an append that may have taken effect or still
// may.
type AppendUnknownError struct{ Cause error }

func (e *AppendUnknownError) Error() string {
	return fmt.Sprintf("log append: effect unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *AppendUnknownError) Unwrap() error { return e.Cause }

// TruncatedError reports an offset that is no longer retained.
type TruncatedError struct {
	Offset int64
	FirstOffset  int64
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log offset %d is truncated, the first one is %d", e.Offset, e.FirstOffset)
}
