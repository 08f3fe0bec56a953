package configlog

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
)

// Config holds the settings of a Follower.
type Config struct {
	// Decode decodes log records; default logcodec.Decode.
	Decode revision.Decode
	// ReadLimit is the maximum number of records in one read; default 64.
	ReadLimit int
	// ReadWait is the time that a long-polling read waits for new records; default
	// 20s.
	ReadWait time.Duration
	// EmptyReadDelay is the delay after a read that returned no records, in case
	// the log does not wait for them; default 100ms.
	EmptyReadDelay time.Duration
	// BackoffMin and BackoffMax limit the delay after a failed read, before jitter;
	// default 200ms and 10s.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// WindowRecords and WindowBytes limit the recent records that are kept for
	// peers; default 1024 records and 8 MiB.
	WindowRecords int
	WindowBytes   int
	// MaxPeerReplyBytes limits the record data in one reply to a peer. A reply
	// always holds at least one record; default 1 MiB.
	MaxPeerReplyBytes int
	// Seed seeds the jitter.
	Seed uint64
	// OnEvent is called for every event in order, with the follower's lock held. It
	// must not block or call the follower. Default: no-op.
	OnEvent func(Event)
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Decode:            logcodec.Decode,
		ReadLimit:         64,
		ReadWait:          20 * time.Second,
		EmptyReadDelay:    100 * time.Millisecond,
		BackoffMin:        200 * time.Millisecond,
		BackoffMax:        10 * time.Second,
		WindowRecords:     1024,
		WindowBytes:       8 << 20,
		MaxPeerReplyBytes: 1 << 20,
		OnEvent:           func(Event) {},
	}
}

// EventKind is the type of an Event.
type EventKind int

// Kinds of events.
const (
	// Activated reports that a new revision is active.
	Activated EventKind = iota
	// Refused reports a refused proposal; Result holds the reason.
	Refused
	// CheckpointSeen reports a valid checkpoint in the log.
	CheckpointSeen
	// CheckpointAppended reports that this host appended a checkpoint.
	CheckpointAppended
	// CheckpointFailed reports that this host failed to append a checkpoint; Err
	// holds the cause.
	CheckpointFailed
	// LogUnavailable reports that reads have started to fail because the log
	// service is unavailable; Err holds the cause.
	LogUnavailable
	// LogAvailable reports that the log service is available again.
	LogAvailable
	// NeedsSnapshot reports that records are missing and the log no longer has
	// them.
	NeedsSnapshot
	// Stopped reports that the follower stopped at a record from a newer version.
	Stopped
	// Conflict reports that a snapshot from a peer or the log contradicts the local
	// state.
	Conflict
	// RecordIgnored reports a record without effect; Err holds the reason.
	RecordIgnored
)

// String returns the name of the kind.
func (k EventKind) String() string {
	return [...]string{"activated", "refused", "checkpoint_seen", "checkpoint_appended", "checkpoint_failed", "log_unavailable",
		"log_available", "needs_snapshot", "stopped", "conflict", "record_ignored"}[k]
}

// Event is a change that is reported to operators.
type Event struct {
	Kind EventKind
	// AsOf is the offset of the last applied log record.
	AsOf     int64
	Revision uint64
	Result   *revision.Result
	Err      error
}
