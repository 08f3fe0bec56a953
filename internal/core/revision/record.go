package revision

import (
	"fmt"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// NoOffset is the AsOf of the state before the first record.
const NoOffset int64 = -1

// Record is a record read from the log.
type Record struct {
	// Offset starts at 0 and has no gaps.
	Offset int64
	// Time is the append time by the log service's clock, in milliseconds.
	Time time.Time
	Data []byte
}

// Decode decodes the bytes of a record. It returns a NewerRecordError for a
// record of a newer version, and any other error for bytes that are invalid in
// every version.
type Decode func(data []byte) (Entry, error)

// NewerRecordError reports a record whose version or type this build does not
// support.
type NewerRecordError struct{ Cause string }

func (e *NewerRecordError) Error() string { return "record from a newer version: " + e.Cause }

// Entry is the content of a record: Proposal, Withdrawal, Checkpoint or Chunk.
type Entry interface{ entry() }

// Proposal proposes a document as the next revision.
type Proposal struct {
	// ID is unique among all proposals.
	ID string
	// Base is the revision that the delta applies to.
	Base  uint64
	Delta document.Delta
	// ContentHash is the hash of the document that results from the delta.
	ContentHash document.Hash
	Author      string
	Note        string
}

// Withdrawal cancels a proposal that has not been accepted yet, so that it can
// no longer be accepted.
type Withdrawal struct {
	ID string
	// Base is the proposal's base revision.
	Base uint64
}

// Checkpoint holds the state as of a log offset.
type Checkpoint struct {
	Host     ident.HostID
	Snapshot Snapshot
}

// Chunk is one part of a large record.
type Chunk struct {
	// Set is the unique ID of the chunk sequence.
	Set   string
	Index uint32
	Count uint32
	// Size is the length of the reassembled record in bytes.
	Size uint64
	// Checksum is the SHA-256 hash of the reassembled record.
	Checksum document.Hash
	Data     []byte
}

func (Proposal) entry()   {}
func (Withdrawal) entry() {}
func (Checkpoint) entry() {}
func (Chunk) entry()      {}

// StoppedError reports that no further records are applied, because one is from
// a newer version. Skipping it would make this host's state diverge from that of
// other hosts.
type StoppedError struct {
	Offset int64
	Cause  error
}

func (e *StoppedError) Error() string {
	return fmt.Sprintf("stopped before offset %d: %v; a newer build is needed", e.Offset, e.Cause)
}

// Unwrap returns Cause, for use by errors.Is and errors.As.
func (e *StoppedError) Unwrap() error { return e.Cause }
