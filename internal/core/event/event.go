// Package event defines the typed events of the time line and the hybrid
// logical clock that orders them causally over all hosts.
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
	MemberJoined         Kind = "member_joined"
	MemberSuspected      Kind = "member_suspected"
	MemberFailed         Kind = "member_failed"
	MemberLeaving        Kind = "member_leaving"
	MemberLeft           Kind = "member_left"
	RequestRefused       Kind = "request_refused"
	OutcomeUnknown       Kind = "outcome_unknown"
	TimerFailed          Kind = "timer_failed"
	TicketsHandedOver    Kind = "tickets_handed_over"
)

// Stamp is a hybrid logical clock reading.
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

// String formats the stamp as microseconds and logical counter.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.WallMicros, s.Logical) }

// MaxClockAhead bounds how far a remote stamp may move the local clock ahead
// of local time, so that one host with a wrong clock does not move all others.
const MaxClockSkew = time.Minute

// Clock is a hybrid logical clock. It is not safe for concurrent use.
type Clock struct{ last Stamp }

// Now returns a stamp later than every stamp returned or observed before.
func (c *Clock) Now(now time.Time) Stamp {
	wall := now.UnixMicro()
	if wall > c.last.WallMicros {
		c.last = Stamp{WallMicros: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe merges a stamp received from another host.
func (c *Clock) Observe(now time.Time, remote Stamp) {
	if remote.WallMicros > now.Add(MaxClockSkew).UnixMicro() {
		return
	}
	if c.last.Before(remote) {
		c.last = remote
	}
}

// Field is one key and value of an event's detail.
type Field struct{ Key, Value string }

// Event is one decision that changed something.
type Event struct {
	Stamp  Stamp
	Host   ident.HostID
	Kind   Kind
	Fields []Field
}

// F builds a field from any value.
func F(key string, value any) Field { return Field{Key: key, Value: fmt.Sprint(value)} }

// Ring keeps the newest events up to its capacity. It is not safe for
// concurrent use.
type Ring struct {
	events []Event
	next   int
	full   bool
}

// NewRing returns a ring that keeps capacity events.
func NewRing(capacity int) *Ring { return &Ring{events: make([]Event, capacity)} }

// Add stores an event and drops the oldest one when the ring is full.
func (r *Ring) Add(e Event) {
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

// Events returns the kept events, oldest first.
func (r *Ring) Events() []Event {
	if !r.full {
		return append([]Event(nil), r.events[:r.next]...)
	}
	return append(append([]Event(nil), r.events[r.next:]...), r.events[:r.next]...)
}
