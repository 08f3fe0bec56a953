package revision

import (
	"math/rand/v2"
	"time"
)

// CheckpointConfig holds the settings of checkpoints.
type CheckpointConfig struct {
	// Retention is the time for which the log service keeps a record.
	Retention time.Duration
	// RankDelay is the time for which a host waits for each host of a higher
	// rank; default 2s.
	RankDelay time.Duration
	// RetryInterval is the time until a host appends again when its checkpoint
	// has not appeared in the log, before jitter of up to the same time;
	// default 60s.
	RetryInterval time.Duration
	// Seed fixes the jitter and must differ between hosts. Two hosts of the same
	// rank would otherwise interleave the chunks of every attempt.
	Seed uint64
}

// checkpointsPerRetention leaves two thirds of the retention for an outage of
// the log service or a failed checkpoint.
const checkpointsPerRetention = 3

// DefaultCheckpointConfig returns the defaults for a retention.
func DefaultCheckpointConfig(retention time.Duration) CheckpointConfig {
	return CheckpointConfig{Retention: retention, RankDelay: 2 * time.Second, RetryInterval: time.Minute}
}

// Checkpointer decides when this host appends a checkpoint. It is not safe for
// concurrent use.
type Checkpointer struct {
	cfg      CheckpointConfig
	rng      *rand.Rand
	mark     CheckpointInfo
	dueSince time.Time
	nextTry  time.Time
}

// NewCheckpointer returns a checkpointer.
func NewCheckpointer(cfg CheckpointConfig) *Checkpointer {
	return &Checkpointer{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// Due reports whether a checkpoint is needed: the log could lose a record that
// is needed to rebuild the state after two thirds of the retention. The age is
// measured from the log's record times.
func (c *Checkpointer) Due(now time.Time, s *State) bool {
	if s.Revision() == 0 || s.Err() != nil {
		return false
	}
	if s.AsOfTime().After(now) {
		now = s.AsOfTime()
	}
	return now.Sub(s.Checkpoint().Since) >= c.cfg.Retention/checkpointsPerRetention
}

// Decide reports whether this host appends a checkpoint now. The rank is the
// host's position in the rendezvous order of the live hosts, from 0. The driver
// calls it after applied records and once a second.
func (c *Checkpointer) ShouldAppend(now time.Time, s *State, rank int) bool {
	if mark := s.Checkpoint(); mark != c.mark {
		c.mark = mark
		c.dueSince, c.nextTry = time.Time{}, time.Time{}
	}
	if !c.Due(now, s) {
		c.dueSince = time.Time{}
		return false
	}
	if c.dueSince.IsZero() {
		c.dueSince = now
	}
	if now.Before(c.dueSince.Add(time.Duration(rank)*c.cfg.RankDelay)) || now.Before(c.nextTry) {
		return false
	}
	c.nextTry = now.Add(c.cfg.RetryInterval + time.Duration(c.rng.Int64N(int64(c.cfg.RetryInterval))))
	return true
}
