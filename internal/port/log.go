package port

import (
	"context"
	"fmt"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
)

// Log is the platform's append-only log.
type Log interface {
	// Append appends a record and returns its offset. A LogUnavailableError means that the record
	// was not appended. After any other error, the record may have been appended or may still be.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns up to limit records starting at an offset. If there are none, it waits for up to
	// the given time. A TruncatedError means that the offset is no longer retained.
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (Batch, error)
}

// Batch is a sequence of records read from the log.
type Batch struct {
	// FirstOffset is the lowest retained offset.
	FirstOffset int64
	// NextOffset is the offset at which to continue reading.
	NextOffset int64
	Records    []revision.Record
}

// LogUnavailableError reports that the log service did not accept a request.
type LogUnavailableError struct{ Cause error }

func (e *LogUnavailableError) Error() string { return fmt.Sprintf("log unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// AppendUnknownError reports an append that may have taken effect or may still do so.
type AppendUnknownError struct{ Cause error }

func (e *AppendUnknownError) Error() string {
	return fmt.Sprintf("log append: outcome unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *AppendUnknownError) Unwrap() error { return e.Cause }

// TruncatedError reports an offset that is no longer retained.
type TruncatedError struct {
	Offset      int64
	FirstOffset int64
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("log offset %d is truncated; the first retained offset is %d", e.Offset, e.FirstOffset)
}
