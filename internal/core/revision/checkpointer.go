package revision

import (
	"math/rand/v2"
	"time"
)

// CheckpointConfig holds the settings of checkpoints.
type CheckpointConfig struct {
	// Retention is the time for which the log service keeps a record.
	Retention time.Duration
	// RankDelay is the time that a host waits for each host that precedes it in
	// rank order; default 2s.
	RankDelay time.Duration
	// RetryInterval is the delay before a host appends again if its checkpoint
	// has not appeared in the log, to which jitter of up to the same length is
	// added; default 60s.
	RetryInterval time.Duration
	// Seed seeds the jitter and must differ between hosts. Otherwise two hosts
	// of the same rank would interleave the chunks of every attempt.
	Seed uint64
}

// checkpointsPerRetention leaves two thirds of the retention as a reserve for an
// outage of the log service or a failed checkpoint.
const checkpointsPerRetention = 3

// DefaultCheckpointConfig returns the default settings for a retention.
func DefaultCheckpointConfig(retention time.Duration) CheckpointConfig {
	return CheckpointConfig{Retention: retention, RankDelay: 2 * time.Second, RetryInterval: time.Minute}
}

// Checkpointer decides when this host appends a checkpoint. It is not safe for
// concurrent use.
type Checkpointer struct {
	cfg         CheckpointConfig
	rng         *rand.Rand
	checkpoint  CheckpointInfo
	dueSince    time.Time
	nextAttempt time.Time
}

// NewCheckpointer returns a Checkpointer with the settings cfg; it fills in no defaults.
func NewCheckpointer(cfg CheckpointConfig) *Checkpointer {
	return &Checkpointer{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// Due reports whether a checkpoint is needed: a third of the retention has
// passed since CheckpointInfo.Since, so the log could lose a record needed to
// rebuild the state after the remaining two thirds. The age is measured with the
// log's record times.
func (c *Checkpointer) Due(now time.Time, s *State) bool {
	if s.Revision() == 0 || s.Err() != nil {
		return false
	}
	if s.AsOfTime().After(now) {
		now = s.AsOfTime()
	}
	return now.Sub(s.Checkpoint().Since) >= c.cfg.Retention/checkpointsPerRetention
}

// ShouldAppend reports whether this host has to append a checkpoint now. The rank
// is the host's index in the rendezvous hashing order of the live hosts. The
// driver calls it after applying records and once a second.
func (c *Checkpointer) ShouldAppend(now time.Time, s *State, rank int) bool {
	if checkpoint := s.Checkpoint(); checkpoint != c.checkpoint {
		c.checkpoint = checkpoint
		c.dueSince, c.nextAttempt = time.Time{}, time.Time{}
	}
	if !c.Due(now, s) {
		c.dueSince = time.Time{}
		return false
	}
	if c.dueSince.IsZero() {
		c.dueSince = now
	}
	if now.Before(c.dueSince.Add(time.Duration(rank)*c.cfg.RankDelay)) || now.Before(c.nextAttempt) {
		return false
	}
	c.nextAttempt = now.Add(c.cfg.RetryInterval + time.Duration(c.rng.Int64N(int64(c.cfg.RetryInterval))))
	return true
}
