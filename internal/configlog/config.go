package configlog

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
)

// Config holds the settings of a Follower.
type Config struct {
	// Decode translates records; default logcodec.Decode.
	Decode revision.Decode
	// ReadLimit is the number of records in one read; default 64.
	ReadLimit int
	// ReadWait is the time that a read waits for new records; default 20s.
	ReadWait time.Duration
	// EmptyPause is the time between two reads when the log returns nothing
	// without waiting; default 100ms.
	EmptyReadDelay time.Duration
	// BackoffMin and BackoffMax bound the time between failed reads, before
	// jitter; default 200ms and 10s.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// WindowRecords and WindowBytes bound the records that are kept for peers;
	// default 1024 records and 8 MiB.
	WindowRecords int
	WindowBytes   int
	// PeerBytes bounds the data of the records in one reply to a peer, which
	// holds at least one record; default 1 MiB.
	MaxPeerReplyBytes int
	// Seed fixes the jitter.
	Seed uint64
	// OnEvent is called for every event, in order and while the follower is
	// locked: it must be quick and must not call the follower. Default: none.
	OnEvent func(Event)
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Decode:        logcodec.Decode,
		ReadLimit:     64,
		ReadWait:      20 * time.Second,
		EmptyReadDelay:    100 * time.Millisecond,
		BackoffMin:    200 * time.Millisecond,
		BackoffMax:    10 * time.Second,
		WindowRecords: 1024,
		WindowBytes:   8 << 20,
		MaxPeerReplyBytes:     1 << 20,
		OnEvent:       func(Event) {},
	}
}

// EventKind is the type of an Event.
type EventKind int

// Kinds of events.
const (
	// Activated: a new revision is active.
	Activated EventKind = iota
	// Refused: a proposal was refused; Result tells why.
	Refused
	// CheckpointSeen: a usable checkpoint is in the log.
	CheckpointSeen
	// CheckpointAppended: this host appended a checkpoint.
	CheckpointAppended
	// CheckpointFailed: Err tells why this host's checkpoint was not appended.
	CheckpointFailed
	// LogUnavailable: Err tells why.
	LogUnavailable
	// LogAvailable: reads succeed again.
	LogAvailable
	// NeedsSnapshot: records are missing and the log can't supply them.
	NeedsSnapshot
	// Stopped: a record is from a newer version.
	Stopped
	// Conflict: a snapshot of a peer or in the log contradicts the own state.
	Conflict
	// RecordIgnored: Err tells why a record had no effect.
	RecordIgnored
)

// String returns the name of the kind.
func (k EventKind) String() string {
	return [...]string{"activated", "refused", "checkpoint_seen", "checkpoint_appended", "checkpoint_failed", "log_unavailable",
		"log_available", "needs_snapshot", "stopped", "conflict", "record_ignored"}[k]
}

// Event is a change that operators may want to know.
type Event struct {
	Kind     EventKind
	AsOf     int64
	Revision uint64
	Result   *revision.Result
	Err      error
}
