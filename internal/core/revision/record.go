package revision

import (
	"fmt"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// NoOffset is the AsOf of the state before the first record.
const NoOffset int64 = -1

// Record is one record as the log returned it.
type Record struct {
	// Offset counts from 0 without gaps.
	Offset int64
	// Time is the log service's time of the append, in milliseconds.
	Time time.Time
	Data []byte
}

// Decode translates the bytes of a record. It returns a NewerRecordError for a
// record of a newer version, and any other error for bytes that no version
// accepts.
type Decode func(data []byte) (Entry, error)

// NewerRecordError reports a record of a version or type that this build
// doesn't know.
type NewerRecordError struct{ Cause string }

func (e *NewerRecordError) Error() string { return "record from a newer version: " + e.Cause }

// Entry is the content of a record: Proposal, Withdrawal, Checkpoint or Chunk.
type Entry interface{ entry() }

// Proposal asks to make a document active.
type Proposal struct {
	// ID is unique among all proposals.
	ID string
	// Base is the revision that the delta applies to.
	Base  uint64
	Delta document.Delta
	// ContentHash is the hash of the result.
	ContentHash document.Hash
	Author      string
	Note        string
}

// Withdrawal makes sure that a proposal that has not been accepted never is.
type Withdrawal struct {
	ID string
	// Base is the base of the proposal.
	Base uint64
}

// Checkpoint holds the state as of a log offset.
type Checkpoint struct {
	Host     ident.HostID
	Snapshot Snapshot
}

// Chunk is one part of a large record.
type Chunk struct {
	// Set is unique among all chunk sequences.
	Set   string
	Index uint32
	Count uint32
	// Size is the length of the whole record in bytes.
	Size uint64
	// Checksum covers the whole record.
	Checksum document.Hash
	Data     []byte
}

func (Proposal) entry()   {}
func (Withdrawal) entry() {}
func (Checkpoint) entry() {}
func (Chunk) entry()      {}

// StoppedError reports that no further record is applied, because one is from
// a newer version. Skipping it would make this host disagree with others.
type StoppedError struct {
	Offset int64
	Cause  error
}

func (e *StoppedError) Error() string {
	return fmt.Sprintf("stopped before offset %d: %v; a newer build is needed", e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }
