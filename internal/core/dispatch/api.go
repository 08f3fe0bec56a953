// Package dispatch implements load balancing for one service on one host: it
// selects the target of each request, takes unhealthy and draining targets out
// of rotation, and schedules retries. It combines the packages health, balance,
// limit and retry.
//
// A Dispatcher is event-driven: every method takes the current time and returns
// the actions that the driver has to carry out. It starts no goroutines, reads
// no clock and does no I/O, so that a server, a trace player and a test can
// drive it in the same way. It is not safe for concurrent use.
package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/admission"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
)

// Target is the declared configuration of a target, with its registry state.
type Target struct {
	ID       ident.TargetID
	Location ident.Location
	// Slots is the number of requests that the target serves concurrently.
	Slots int
	// MaxConnections limits the open connections to the target from all hosts.
	MaxConnections int
	// Draining is set if the registry lists the target as draining.
	Draining bool
	// Unregistered is set if the registry no longer contains the target. The
	// entry may be missing only temporarily.
	Unregistered bool
	// WarmUntil is the end of the warm-up period, during which a newly started
	// target responds slowly.
	WarmUntil time.Time
	// StartUnixMilli is the start time of the target process, 0 if unknown. It
	// distinguishes successive processes under the same ID.
	StartUnixMilli int64
}

// Class is the configuration of a request class.
type Class struct {
	Name       ident.ClassName
	Idempotent bool
	// Upload marks classes with large, streamed request bodies.
	Upload bool
	// Floor is the minimum capacity in rotation as a fraction of the declared
	// slots, 0 to 1. Ejections never reduce the capacity below it.
	Floor float64
	// Deadline applies when the caller sets none; 0 means DefaultDeadline.
	Deadline time.Duration
	// AttemptTimeout limits one attempt; 0 means the request's deadline.
	AttemptTimeout time.Duration
	// MaxAttempts limits the attempts of one request; 0 means
	// DefaultMaxAttempts.
	MaxAttempts int
	// Objective is the latency objective, 0 if there is none.
	Objective time.Duration
	// Priority orders the classes; 0 is served first.
	Priority int
	// LargeBodies raises the cost of targets in another zone or region.
	LargeBodies bool
	// LargeResponses does so for large responses.
	LargeResponses bool
}

// Default values of Config and Class fields that are zero.
const (
	DefaultDeadline    = 5 * time.Second
	DefaultMaxAttempts = 3
	DefaultQueueLength = 64
	DefaultRetryRatio  = 0.1
	DefaultUploadShare = 0.5
)

// Config is the configuration of one service, taken from the active document.
type Config struct {
	Revision uint64
	Service  ident.ServiceName
	Targets  []Target
	Classes  []Class
	// Balance weights detection time against false ejections, 0 to 1. At 1 only
	// detection time counts.
	Balance float64
	// SelectByCost selects targets by expected cost, which package schedule
	// implements.
	SelectByCost bool
	// QueueLength limits the requests on this host that wait for a slot or for
	// a retry; 0 means DefaultQueueLength, a negative value disables the queue.
	QueueLength int
	// RetryRatio is the number of allowed retries as a fraction of recent
	// requests; 0 means DefaultRetryRatio, a negative value allows only the
	// minimum rate of one retry per second.
	RetryRatio float64
	// UploadShare is the fraction of the slots that uploads may occupy if the
	// service also has other classes; 0 means DefaultUploadShare.
	UploadShare float64
	// AdmissionLevels applies admission levels across hosts while capacity is short, which
	// package schedule implements.
	AdmissionLevels bool
	// RetryWindow, if set, limits the retries in any interval of this length to
	// RetryRatio times the requests plus RetryAllowance.
	RetryWindow    time.Duration
	RetryAllowance float64
	// FleetRetryRatio and FleetRetryAllowance limit the retries of all hosts together in the
	// same way, as far as this host knows of them; a ratio of 0 means no limit.
	FleetRetryRatio, FleetRetryAllowance float64
	// LeavingGrace is the time after a target's first statement that it is leaving in
	// which it still gets requests if no other target can take them; 0 means none.
	LeavingGrace time.Duration
	// ProbeInterval is the interval between probes of one target; 0 disables
	// probing.
	ProbeInterval time.Duration
}

// Self describes the host that the dispatcher runs on.
type Self struct {
	Host     ident.HostID
	Location ident.Location
	// Distance holds the settings of the costs of distance; the zero value means the
	// defaults.
	Distance locality.Config
}

// Request is a request that arrived for the service.
type Request struct {
	ID    ident.RequestID
	Class ident.ClassName
	// Deadline is the time by which the caller expects the response; the zero
	// time means the deadline of the class.
	Deadline time.Time
	// BodyBytes is the declared size of the request body, -1 if unknown.
	BodyBytes int64
	// NonIdempotent is set if the driver accepted the request under a revision
	// in which its class is not idempotent. A later revision does not clear it.
	NonIdempotent bool
	// Team is the team of the caller, empty if the deployment has none. TeamPriority goes
	// before the priority of the class; 0 is served first.
	Team         ident.TeamName
	TeamPriority int
	// Position is a hash of the ID that the caller gave to the request, which it keeps when
	// it repeats the request; 0 if there is none.
	Position uint64
}

// Result is the end of an attempt.
type Result = attempt.Result

// LoadReport is a load or draining report from a target's load endpoint or from
// the response to an attempt.
type LoadReport struct {
	Target   ident.TargetID
	InFlight int
	// Slots is the number of slots that the target reports; 0 means that the
	// report contains only Draining and no load.
	Slots    int
	Draining bool
	// FromResponse is set if the target announced draining in the response to
	// an attempt. Load endpoints may be stale, so their reports cannot end the
	// draining until a hold time has passed.
	FromResponse bool
}

// RefuseReason is the reason why a request was refused.
type RefuseReason string

// Refusal reasons. A request is never refused after an attempt that may have
// run.
const (
	QueueFull        RefuseReason = "queue_full"
	DeadlineTooShort RefuseReason = "deadline_too_short"
	NoTarget         RefuseReason = "no_target"
	// RateLimited means that all targets state the rate that they accept, and that it
	// leaves no room for the request before its deadline.
	RateLimited RefuseReason = "rate_limited"
	// TargetsPaused means that all targets asked for no requests for a time, and that the
	// first of these pauses ends too late for the request.
	TargetsPaused RefuseReason = "targets_paused"
	UnknownClass  RefuseReason = "unknown_class"
	// CapacityShort means that the service lacks capacity in the whole fleet, which admits
	// more urgent requests and those of other teams.
	CapacityShort RefuseReason = "capacity_short"
)

// Action is an operation that the driver has to carry out.
type Action interface{ action() }

// Start asks the driver to start an attempt.
type Start struct {
	Request ident.RequestID
	Attempt ident.AttemptID
	Target  ident.TargetID
	// Timeout is the maximum duration of the attempt.
	Timeout time.Duration
	// Fresh requests a new connection.
	Fresh bool
	// Trial marks an attempt that tests whether an ejected target has
	// recovered.
	Trial bool
	// Selection holds the inputs of the target selection, for the log.
	Selection Selection
	// SilentTimeout is the time after which an attempt on a reused connection is
	// aborted if no byte of the response has arrived; 0 disables it.
	SilentTimeout time.Duration
}

// Selection holds the inputs of the selection of a target.
type Selection struct {
	// Cost is the expected cost in lost requests, FailureProbability the
	// probability that the attempt fails.
	Cost               float64
	FailureProbability float64
	// SinceOutcome is the time since the last known outcome at the target.
	SinceOutcome time.Duration
	// InFlight is the number of this host's attempts at the target, OtherLoad
	// the load that is not from this host, Slots the target's slots.
	InFlight  int
	OtherLoad float64
	Slots     int
	// WaitTime is the time since the request arrived at the scheduler.
	WaitTime time.Duration
	// KeepsFloor is set if the target was selected to keep the capacity floor.
	KeepsFloor bool
	// Leaves is the reason for which the request leaves the zone of this host, To the
	// location of the target, DistanceCost the part of Cost for distance, ZoneShortage the
	// share of the requests for which the host's zone has no capacity.
	Leaves       locality.Reason
	To           ident.Location
	DistanceCost float64
	ZoneShortage float64
	// RateLimited is set if the target states a rate; RateLimit is that rate in requests
	// per second, SinceRateLimit the age of the response that stated it, and Permits the
	// number of permits that this host has left.
	RateLimited    bool
	RateLimit      float64
	SinceRateLimit time.Duration
	Permits        int
}

// Refuse ends a request that has not run.
type Refuse struct {
	Request    ident.RequestID
	Reason     RefuseReason
	RetryAfter time.Duration
}

// Complete ends a request with the response to an attempt.
type Complete struct {
	Request ident.RequestID
	Attempt ident.AttemptID
}

// Fail ends a request after its last attempt failed.
type Fail struct {
	Request ident.RequestID
	Attempt ident.AttemptID
	Result  Result
	// NotRun is set if no attempt of the request can have run.
	NotRun bool
}

// CancelAttempt asks the driver to cancel a running attempt. The driver still
// calls Finish when the attempt ends.
type CancelAttempt struct{ Attempt ident.AttemptID }

// Probe asks the driver to probe a target and call ProbeResult.
type Probe struct{ Target ident.TargetID }

// Record asks the driver to add an event to the timeline.
type Record struct {
	Kind   event.Kind
	Fields []event.Field
}

func (Start) action()         {}
func (Refuse) action()        {}
func (Complete) action()      {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (Probe) action()         {}
func (Record) action()        {}

// TargetStatus is the state of a target.
type TargetStatus struct {
	health.Status
	// InFlight is the number of this host's attempts at the target.
	InFlight int
	// Limit is the maximum number of this host's attempts in flight.
	Limit int
	// OtherLoad is the decayed load that is not from this host, in requests.
	OtherLoad float64
	// Paused is set while the target gets no attempts because it shed load.
	Paused bool
	// PauseLeft is the rest of the time for which the target wants no requests of this
	// host, 0 if it does not pause.
	PauseLeft time.Duration
	// RateLimited is set if the target states a rate, and RateLimit is that rate in
	// requests per second.
	RateLimited bool
	RateLimit   float64
	// Leaving is set if the target has stated in a response that it is leaving.
	Leaving bool
}

// ClassStatus is the state of a request class.
type ClassStatus struct {
	Class ident.ClassName
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Capacity is the sum of the in-flight limits of the targets in rotation.
	Capacity int
	// ServiceTime is the estimated mean time that a request occupies a slot.
	ServiceTime time.Duration
	// CrossRegionAttempts and CrossRegionBytes count the attempts at targets in
	// the other region and the declared bytes of their request bodies.
	CrossRegionAttempts uint64
	CrossRegionBytes    uint64
}

// ServiceStatus is the state of the service.
type ServiceStatus struct {
	Service  ident.ServiceName
	Revision uint64
	// InFlight is the number of running attempts, Uploads the number of those
	// that belong to upload classes.
	InFlight int
	Uploads  int
	// Waiting is the number of requests that wait for a slot or a retry,
	// QueueLength its limit.
	Waiting     int
	QueueLength int
	// RetriesLeft is the number of retries that the budget currently allows.
	RetriesLeft float64
	// Floor is the state of the floor at the last selection of a target. It is zero with
	// dispatchers that enforce no floor.
	Floor FloorStatus
	// Rates is the state of the targets that state a rate. It is zero with dispatchers
	// that apply none.
	Rates RateStatus
	// Pausing is the number of targets that want no requests of this host for a time.
	Pausing int
	// Leaving is the number of targets that have stated in a response that they are
	// leaving. It is zero with dispatchers that read no such statements.
	Leaving int
	Classes []ClassStatus
	// Admission is the state of the admission levels, ZoneShortage the share of the requests
	// for which the host's zone has no capacity.
	Admission    admission.State
	ZoneShortage float64
}

// RateStatus is a host's view of the targets of a service that state a rate.
type RateStatus struct {
	// Limited is the number of those targets, Permits the number of permits that this
	// host has for them.
	Limited, Permits int
}

// FloorStatus is a host's view of the floor of a service.
type FloorStatus struct {
	// Active is set while the floor is enforced.
	Active bool
	// Healthy is the number of healthy targets in the host's region, Used the number of
	// those that received a request from any known host lately.
	Healthy, Used int
}
