package soak

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Config describes one run.
type Config struct {
	// Seed determines the schedule of faults.
	Seed uint64
	// Duration is the time in which faults begin. The recovery follows.
	Duration time.Duration
	// Hosts and Targets are the numbers of host processes and of targets.
	Hosts, Targets int
	// Callers is the number of concurrent callers.
	Callers int
	// TargetNotices makes targets state in their answers that they leave, and ask for pauses with
	// Retry-After, and checks that hosts respect both.
	TargetNotices bool
	// BinaryDir contains the program of a host.
	BinaryDir string
	// LogDir receives the settings and the logs of the hosts.
	LogDir string
}

// random returns the generator from which the schedule is drawn.
func (c *Config) random() *rand.Rand { return rand.New(rand.NewPCG(c.Seed, 0)) }

// hasTeams reports whether the configurations have teams. A part of the seeds has none.
func (c *Config) hasTeams() bool { return c.Seed/uint64(len(styles))%4 != 3 }

// Limits of Config.
const (
	MinHosts    = 2
	MaxHosts    = 256
	MinTargets  = 4
	MaxTargets  = 512
	MinDuration = 6 * time.Second
)

// Validate returns an error that names the first invalid field.
func (c *Config) Validate() error {
	switch {
	case c.Hosts < MinHosts || c.Hosts > MaxHosts:
		return errors.Errorf("-hosts is %d, want %d to %d", c.Hosts, MinHosts, MaxHosts)
	case c.Targets < MinTargets || c.Targets > MaxTargets:
		return errors.Errorf("-targets is %d, want %d to %d", c.Targets, MinTargets, MaxTargets)
	case c.Duration < MinDuration:
		return errors.Errorf("-duration is %s, want %s or more", c.Duration, MinDuration)
	case c.Callers < 1:
		return errors.Errorf("-callers is %d, want 1 or more", c.Callers)
	}
	return nil
}

// The bounds of the platform that the checks use.
const (
	// stabilityWindow is how long a host must be free of faults to be in touch.
	stabilityWindow = 4 * time.Second
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// readyAfterStop is the time after SIGTERM from which a host must not be ready.
	readyAfterStop = 4 * time.Second
	// drain is the time after which a leaving target receives no requests.
	drain = 2500 * time.Millisecond
	// configApply is the time after which a configuration is in force.
	configApply = 2500 * time.Millisecond
	// copyAge is the time after which a version is in the copy of any host that answers 401: 3 s, for
	// which a copy that was confirmed counts as current, and one for messages that are delayed.
	copyAge = 4 * time.Second
	// quotaWindow is the window in which requests of a team are counted.
	quotaWindow = 5 * time.Second
	// hostMemoryMb and hostMaxFds are the limits of hosts in schedules with untrusted clients. They are
	// lowered so that few clients exceed them.
	hostMemoryMb, hostMaxFds = 128, 600
	// hostMaxBody is the largest body then.
	hostMaxBody = 16 << 20
	// rollbackSlack is the time after which no request is handled by an older configuration
	// once a newer one had an effect.
	rollbackSlack = 250 * time.Millisecond
	// lossSlack is the time that a request needs at most to reach its host.
	lossSlack = 200 * time.Millisecond
	// addressReuse is the time after which the address of a target that is gone is used again.
	addressReuse = 2 * time.Second
	// heartbeat is the interval at which targets write their records.
	heartbeat = 1500 * time.Millisecond
	// recovery is the time after the last fault until requests are served again. The platform
	// allows 15 s; a short run has no time for that.
	recovery = 5 * time.Second
	// minServedShare is the share of requests that are served after the recovery.
	minServedShare = 0.25
	// recoverySample is the time after the recovery in which requests are counted.
	recoverySample = 2 * time.Second
	// maxLostInTouch is the number of requests on kept connections that hosts in touch may
	// close without an answer, apart from planned work.
	maxLostInTouch = 3
	// minOverdue is the number of requests, and minOverdueShare the share of those that last longer
	// than their time, from which requests without an answer in that time break a promise.
	minOverdue      = 8
	minOverdueShare = 0.25
	// deadlineSlack is the time by which the deadline of a request at its target may lie after
	// that of its caller.
	deadlineSlack = 500 * time.Millisecond
	// maxLongDeadlines is the number of requests, and maxLongDeadlineShare the share of those that
	// hosts in touch passed on, whose deadlines may lie later.
	maxLongDeadlines     = 20
	maxLongDeadlineShare = 0.2
	// pauseSlack is the time after which a pause that a target asks for is kept, maxInPause the
	// number of requests that may reach it in the rest of the pause.
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
)
