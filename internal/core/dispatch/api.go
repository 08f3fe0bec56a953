// Package dispatch decides, for one service on one host, which target gets a
// request, when a target stops getting work, and when a request is tried
// again. It joins the packages health, balance, limit and retry.
//
// A Dispatcher is driven event by event: every method takes the time and
// returns the actions that the driver has to carry out. It starts no
// goroutine, reads no clock and does no I/O, so that a server, a trace player
// and a test drive it alike. It is not safe for concurrent use.
package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Target is a target as the document declares it.
type Target struct {
	ID       ident.TargetID
	Location ident.Location
	// Slots is the number of requests the target serves at once.
	Slots int
	// MaxConnections bounds open connections to the target, from all hosts.
	MaxConnections int
	// Draining tells that the registry shows the target as draining.
	Draining bool
	// Vanished tells that the target's entry in the registry is gone; it may be a
	// lapse.
	Unregistered bool
	// WarmUntil is the end of the time in which a target that has just started is
	// slow.
	WarmUntil time.Time
	// Born tells lives of a target under the same ID apart, 0 if unknown.
	StartUnixMilli int64
}

// Class is a request class of the service.
type Class struct {
	Name       ident.ClassName
	Idempotent bool
	// Upload marks classes with large request bodies that stream.
	Upload bool
	// Floor is the fraction of the declared slots, 0 to 1, below which
	// ejection never takes the capacity in rotation.
	Floor float64
	// Deadline applies when the caller states none; 0 means DefaultDeadline.
	Deadline time.Duration
	// AttemptTimeout bounds one attempt; 0 means the request's deadline.
	AttemptTimeout time.Duration
	// MaxAttempts bounds the attempts of one request; 0 means
	// DefaultMaxAttempts.
	MaxAttempts int
	// Objective is the latency objective, 0 if there is none.
	Objective time.Duration
	// Priority ranks the class, 0 is served first.
	Priority int
	// LargeBodies tells that a way to another zone or region costs more.
	LargeBodies bool
}

// Defaults of settings that are zero.
const (
	DefaultDeadline    = 5 * time.Second
	DefaultMaxAttempts = 3
	DefaultQueueLength = 64
	DefaultRetryBudget = 0.1
	DefaultUploadShare = 0.5
)

// Config is the part of the document in force that concerns one service.
type Config struct {
	Revision uint64
	Service  ident.ServiceName
	Targets  []Target
	Classes  []Class
	// Balance weighs detection time against false ejections: 0 to 1, where 1
	// weighs only detection time.
	Balance float64
	// ByCost tells that targets are selected by their expected cost, which package
	// schedule does.
	SelectByCost bool
	// QueueLength bounds the requests that wait on this host, for a slot or for
	// a retry; 0 means DefaultQueueLength, a negative value means no queue.
	QueueLength int
	// RetryBudget is the number of retries allowed per request, as a fraction
	// of recent requests; 0 means DefaultRetryBudget, a negative value allows
	// only the minimum rate of one retry per second.
	RetryBudget float64
	// UploadShare is the fraction of the slots that uploads may occupy when the
	// service has other classes too; 0 means DefaultUploadShare.
	UploadShare float64
	// RetryWindow, if set, bounds the retries in any span of this length to
	// RetryBudget for each request and RetryAllowance on top.
	RetryWindow    time.Duration
	RetryAllowance float64
	// ProbeInterval is the time between two probes of one target; 0 disables
	// probes.
	ProbeInterval time.Duration
}

// Self describes the host that the dispatcher runs on.
type Self struct {
	Host     ident.HostID
	Location ident.Location
}

// Request is a request that arrived for the service.
type Request struct {
	ID    ident.RequestID
	Class ident.ClassName
	// Deadline is the time by which the caller wants the answer; the zero time
	// means the deadline of the class.
	Deadline time.Time
	// BodyBytes is the declared size of the request body, -1 if unknown.
	BodyBytes int64
	// NotRepeatable tells that the driver accepted the request under a revision
	// in which its class is not idempotent. A later revision does not change it.
	NonIdempotent bool
}

// Result is the end of an attempt.
type Result = attempt.Result

// LoadReport is what a target's load endpoint or another host says.
type LoadReport struct {
	Target   ident.TargetID
	InFlight int
	// Slots is the number of slots that the target reports; 0 tells that the
	// report has no load, only Draining.
	Slots    int
	Draining bool
	// ByResponse tells that the target announced draining with the response of
	// an attempt. Load endpoints may be stale, so for a time no report of one
	// ends the draining.
	FromResponse bool
}

// RefuseReason says why a request was not admitted.
type RefuseReason string

// Reasons for a refusal. None of them follows an attempt that may have run.
const (
	QueueFull        RefuseReason = "queue_full"
	DeadlineTooShort RefuseReason = "deadline_too_short"
	NoTarget         RefuseReason = "no_target"
	UnknownClass     RefuseReason = "unknown_class"
)

// Action is one thing that the driver has to do.
type Action interface{ action() }

// Start asks the driver to start an attempt.
type Start struct {
	Request ident.RequestID
	Attempt ident.AttemptID
	Target  ident.TargetID
	// Timeout is the longest time the attempt may take.
	Timeout time.Duration
	// Fresh asks for a new connection.
	Fresh bool
	// Trial marks work sent to an ejected target to test its return.
	Trial bool
	// Why says what decided for the target, for the log.
	Selection Selection
	// SilentTimeout is the time after which an attempt on a reused connection is
	// given up when no byte of a response has arrived; 0 if it is not.
	SilentTimeout time.Duration
}

// Why holds the inputs of the selection of a target.
type Selection struct {
	// Cost is the expected cost in lost requests, and Failure the probability that
	// the attempt fails.
	Cost    float64
	FailureProbability float64
	// Unseen is the time since the last outcome at the target that is known.
	SinceOutcome time.Duration
	// InFlight is the number of this host's attempts at the target, Others the
	// load of others there, Slots the target's slots.
	InFlight int
	OtherLoad   float64
	Slots    int
	// Waited is the time since the request arrived at the scheduler.
	WaitTime time.Duration
	// Covers tells that the target was chosen to keep the floor.
	KeepsFloor bool
}

// Refuse ends a request that was not run.
type Refuse struct {
	Request    ident.RequestID
	Reason     RefuseReason
	RetryAfter time.Duration
}

// Complete ends a request with the answer of an attempt.
type Complete struct {
	Request ident.RequestID
	Attempt ident.AttemptID
}

// Fail ends a request after its last attempt failed.
type Fail struct {
	Request ident.RequestID
	Attempt ident.AttemptID
	Result  Result
	// NotRun tells that no attempt of the request can have run.
	NotRun bool
}

// CancelAttempt asks the driver to cancel a running attempt. The driver still
// reports its end with Finish.
type CancelAttempt struct{ Attempt ident.AttemptID }

// Probe asks the driver to probe a target and call ProbeResult.
type Probe struct{ Target ident.TargetID }

// Record asks the driver to add an event to the time line.
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

// TargetStatus is what a dispatcher holds about a target.
type TargetStatus struct {
	health.Status
	// InFlight is the number of this host's attempts at the target.
	InFlight int
	// Limit is the number of attempts that this host may have in flight.
	Limit int
	// Others is the decayed load that others put on the target, in requests.
	OtherLoad float64
	// Paused tells that the target shed and gets no attempt for a short time.
	Paused bool
}

// ClassStatus is what a dispatcher holds about a request class.
type ClassStatus struct {
	Class ident.ClassName
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Capacity is the sum of the in-flight limits in the class's rotation.
	Capacity int
	// ServiceTime is the estimated mean time that a request occupies a slot.
	ServiceTime time.Duration
	// CrossRegionAttempts and CrossRegionBytes count attempts at targets of the
	// other region and the declared bytes of their request bodies.
	CrossRegionAttempts uint64
	CrossRegionBytes    uint64
}

// ServiceStatus is what a dispatcher holds about its service.
type ServiceStatus struct {
	Service  ident.ServiceName
	Revision uint64
	// InFlight is the number of running attempts, Uploads those of uploads.
	InFlight int
	Uploads  int
	// Waiting is the number of requests that wait for a slot or a retry, and
	// QueueLength its bound.
	Waiting     int
	QueueLength int
	// RetriesLeft is the number of retries that the budget allows now.
	RetriesLeft float64
	Classes     []ClassStatus
}
