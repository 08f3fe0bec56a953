// Package event defines the typed events of the timeline and the hybrid logical clock
// that orders them causally across all hosts.
package event

import (
	"fmt"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	HostStarted          Kind = "host_started"
	HostDraining         Kind = "host_draining"
	HostStopped          Kind = "host_stopped"
	HostResumed          Kind = "host_resumed"
	ConfigurationInForce Kind = "configuration_in_force"
	ConfigurationRefused Kind = "configuration_refused"
	CheckpointWritten    Kind = "checkpoint_written"
	LogUnavailable       Kind = "log_unavailable"
	CoordinatorChanged   Kind = "coordinator_changed"
	LogAvailable         Kind = "log_available"
	TargetEjected        Kind = "target_ejected"
	TargetReturned       Kind = "target_returned"
	TargetDraining       Kind = "target_draining"
	TargetAvoided        Kind = "target_avoided"
	TargetTrusted        Kind = "target_trusted"
	RateLimitStated      Kind = "rate_limit_stated"
	RateLimitEnded       Kind = "rate_limit_ended"
	// RateStatementMalformed is recorded when a target begins to state values that are no
	// rate.
	RateStatementMalformed Kind = "rate_statement_malformed"
	// TargetPaused is recorded when a target asks for no requests for a time, or for a
	// longer time than before.
	TargetPaused     Kind = "target_paused"
	TargetPauseEnded Kind = "target_pause_ended"
	// PauseMalformed is recorded when a target states Retry-After values that are no time.
	PauseMalformed Kind = "pause_malformed"
	// TargetLeaving is recorded when a target is first known to have stated in a response
	// that it is leaving.
	TargetLeaving Kind = "target_leaving"
	// LeavingStatementMalformed is recorded when a target begins to state values without a
	// meaning in place of its leaving.
	LeavingStatementMalformed Kind = "leaving_statement_malformed"
	// ZoneShort is recorded when the zone of a host becomes short of capacity for a service,
	// so that requests leave it, and ZoneSufficient when it no longer is.
	ZoneShort      Kind = "zone_short"
	ZoneSufficient Kind = "zone_sufficient"
	// CallersWeighted is recorded when a host begins to send callers to the active hosts of its
	// region by what each of them carries, CallersEven when it no longer does.
	CallersWeighted Kind = "callers_weighted"
	CallersEven     Kind = "callers_even"
	// AdmissionLimited is recorded when a host begins to refuse requests because the capacity
	// of a service is short, AdmissionEnded when it no longer does.
	AdmissionLimited  Kind = "admission_limited"
	AdmissionEnded    Kind = "admission_ended"
	MemberJoined      Kind = "member_joined"
	MemberSuspected   Kind = "member_suspected"
	MemberFailed      Kind = "member_failed"
	MemberLeaving     Kind = "member_leaving"
	MemberLeft        Kind = "member_left"
	RequestRefused    Kind = "request_refused"
	OutcomeUnknown    Kind = "outcome_unknown"
	TimerFailed       Kind = "timer_failed"
	ProbeFailed       Kind = "probe_failed"
	TicketsHandedOver Kind = "tickets_handed_over"
)

// Stamp is a hybrid logical clock timestamp.
type Stamp struct {
	WallMicros int64
	Logical    uint32
}

// Before reports whether s is ordered before o.
func (s Stamp) Before(o Stamp) bool {
	if s.WallMicros != o.WallMicros {
		return s.WallMicros < o.WallMicros
	}
	return s.Logical < o.Logical
}

// String formats the timestamp as microseconds and logical counter.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.WallMicros, s.Logical) }

// MaxClockSkew bounds how far a remote timestamp may move the local clock ahead of
// local time, so that one host with a wrong clock does not move the clocks of all
// others.
const MaxClockSkew = time.Minute

// Clock is a hybrid logical clock. It is not safe for concurrent use.
type Clock struct{ last Stamp }

// Now returns a timestamp later than every timestamp returned or observed before.
func (c *Clock) Now(now time.Time) Stamp {
	wall := now.UnixMicro()
	if wall > c.last.WallMicros {
		c.last = Stamp{WallMicros: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe merges a timestamp received from another host. It ignores one that is more
// than MaxClockSkew ahead of now.
func (c *Clock) Observe(now time.Time, remote Stamp) {
	if remote.WallMicros > now.Add(MaxClockSkew).UnixMicro() {
		return
	}
	if c.last.Before(remote) {
		c.last = remote
	}
}

// Field is a key and value in an event's detail.
type Field struct{ Key, Value string }

// Event is a timeline entry: one decision or change of state.
type Event struct {
	Stamp  Stamp
	Host   ident.HostID
	Kind   Kind
	Fields []Field
}

// F returns a field with the value formatted by fmt.Sprint.
func F(key string, value any) Field { return Field{Key: key, Value: fmt.Sprint(value)} }

// Ring is a ring buffer of the newest events. It is not safe for concurrent use.
type Ring struct {
	events []Event
	next   int
	full   bool
}

// NewRing returns a ring buffer that holds capacity events.
func NewRing(capacity int) *Ring { return &Ring{events: make([]Event, capacity)} }

// Add stores an event, replacing the oldest one if the buffer is full.
func (r *Ring) Add(e Event) {
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the stored events, oldest first.
func (r *Ring) Events() []Event {
	if !r.full {
		return append([]Event(nil), r.events[:r.next]...)
	}
	return append(append([]Event(nil), r.events[r.next:]...), r.events[:r.next]...)
}
