package replay

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Trace is one parsed trace. All times are offsets from the start of the run.
type Trace struct {
	// File is the name of the file as given by the caller.
	File string
	Name string
	Seed uint64
	// Duration is the length of a run.
	Duration time.Duration
	// ShortDuration is the length of a shortened run, 0 if there is none.
	ShortDuration time.Duration
	Config        dispatch.Config
	Regions       map[ident.Zone]ident.Region
	Targets       []Target
	Hosts         []Host
	Network       Network
	Evidence      EvidenceExchange
	Load          LoadPolling
	// FaultGrace is the time after a fault in which an ejection does not count as
	// false.
	FaultGrace   time.Duration
	Faults       []Fault
	Steps        []Step
	Expectations []Expectation
}

// Target is a declared target with its initial behaviour.
type Target struct {
	dispatch.Target
	Behaviour Behaviour
	// Absent targets are not configured until an "add" line.
	Absent bool
}

// Host is a declared host.
type Host struct {
	ID       ident.HostID
	Location ident.Location
	// Absent hosts do not start until a "join" line.
	Absent bool
}

// Network holds the fixed delays of the network model.
type Network struct {
	// WithinZone is the one-way delay within a zone; default 0.1 ms.
	WithinZone time.Duration
	// BetweenZones is the one-way delay between zones of a region; default 0.5 ms.
	BetweenZones time.Duration
	// BetweenRegions is the one-way delay between regions; default 30 ms.
	BetweenRegions time.Duration
	// DialTime is added to the round trip that opens a connection; default 1 ms.
	DialTime time.Duration
	// ProbeTime is the duration of a probe; default 25 ms.
	ProbeTime time.Duration
	// MaxIdle is the maximum number of idle connections per (host, target);
	// default 4.
	MaxIdle int
}

// EvidenceExchange describes the exchange of evidence between hosts.
type EvidenceExchange struct {
	// Interval is the time between two reports of a host; 0 disables the exchange.
	Interval time.Duration
	// Delay is added to the network delay.
	Delay time.Duration
}

// LoadPolling describes how hosts poll the load reports of targets.
type LoadPolling struct {
	// Interval is the time between two polls of a target by a host; 0 disables
	// polling.
	Interval time.Duration
}

// ProbeMode determines the result of probes of a target.
type ProbeMode int

// Probe modes.
const (
	// ProbesFollowFaults: faults apply to probes as they do to requests.
	ProbesFollowFaults ProbeMode = iota
	ProbesPass
	ProbesFail
)

// Behaviour describes how a target serves requests when no fault is active.
type Behaviour struct {
	Latency Distribution
	// QueueLength is the maximum number of requests that wait for a slot at the
	// target.
	QueueLength int
	// ShedShare is the share of requests that the target sheds regardless of its
	// load.
	ShedShare float64
	// ShedOmitsNotRun omits the statement that a shed request did not run.
	ShedOmitsNotRun bool
	// IgnoreCancel makes the target continue requests that the host canceled.
	IgnoreCancel bool
	ProbeMode    ProbeMode
	// ReportedInFlight is the number of requests in flight that the target reports;
	// -1 reports the real number.
	ReportedInFlight int
	// LoadReportAge is the age of a load report on arrival.
	LoadReportAge time.Duration
	// NoLoadReport disables the load reports of the target.
	NoLoadReport bool
}

// FaultKind is the way in which a faulty target fails.
type FaultKind int

// Kinds of faults.
const (
	// FaultStatus: the response carries an error status.
	FaultStatus FaultKind = iota
	// FaultTimeout: the request runs but gets no response.
	FaultTimeout
	// FaultDial: new connections are refused; open connections work.
	FaultDial
	// FaultConnectionLost: the connection breaks after the request was sent.
	FaultConnectionLost
	// FaultBadResponse: the response is truncated or garbled.
	FaultBadResponse
	// FaultOneWay: the request runs, but its response is lost.
	FaultOneWay
	// FaultBlackout: no data arrives in either direction.
	FaultBlackout
	// FaultSlow: responses are correct but slower.
	FaultSlow
	// FaultDown: the target's process is not running.
	FaultDown
)

var faultNames = []string{"status", "timeout", "dial", "lost", "bad", "one-way", "blackout", "slow", "down"}

// String returns the name of the kind in a trace.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is a period in which a target is marked as faulty.
type Fault struct {
	Line   int
	Target int
	From   time.Duration
	Until  time.Duration
	Kind   FaultKind
	// Share is the share of attempts to which the fault applies.
	Share float64
	// SlowFactor multiplies the latency of FaultSlow.
	SlowFactor float64
	// Hosts limits the fault to these hosts; nil means all.
	Hosts map[int]bool
	// ProbeMode overrides the target's probe mode if ProbeModeSet is true.
	ProbeMode    ProbeMode
	ProbeModeSet bool
	// OnDuration and OffDuration alternate within the period if OnDuration is
	// above 0.
	OnDuration, OffDuration time.Duration
	// ColdFactor multiplies the latency at the end of the fault. The factor falls
	// linearly to 1 within ColdFor.
	ColdFactor float64
	ColdFor    time.Duration
}

// affectsHost reports whether the fault applies to attempts from a host.
func (f *Fault) affectsHost(host int) bool { return f.Hosts == nil || f.Hosts[host] }

// activeAt reports whether the fault takes effect at a time.
func (f *Fault) activeAt(at time.Duration) bool {
	if at < f.From || at >= f.Until {
		return false
	}
	return f.OnDuration <= 0 || (at-f.From)%(f.OnDuration+f.OffDuration) < f.OnDuration
}

// Step is one time-stamped line other than a fault.
type Step struct {
	At     time.Duration
	Line   int
	Action any
}

// Arrivals is a stream of requests.
type Arrivals struct {
	Class ident.ClassName
	Rate  float64
	Until time.Duration
	Hosts []int
	// ConstantRate spaces arrivals evenly; otherwise they are a Poisson process.
	ConstantRate bool
	// Deadline is the time allowed for a request; 0 uses the deadline of the class.
	Deadline time.Duration
	// CancelAfter is the time after which the caller cancels a request; 0 means
	// never.
	CancelAfter time.Duration
}

// RequestBurst is one or more requests at the same time.
type RequestBurst struct {
	Class ident.ClassName
	Hosts []int
	Count int
	// Deadline is the time allowed for a request; 0 uses the deadline of the class.
	Deadline time.Duration
	// CancelAfter is the time after which the caller cancels a request; 0 means
	// never.
	CancelAfter time.Duration
}

// SetBehaviour changes the behaviour of targets without marking a fault.
type SetBehaviour struct {
	Targets []int
	Changes []func(*Behaviour)
}

// Silence stops delivery on the connections that are open between hosts and targets
// at this time. New connections work.
type Silence struct {
	Targets []int
	Hosts   []int
}

// Drain starts or ends the draining of targets.
type Drain struct {
	Targets        []int
	Draining       bool
	RefuseRequests bool
}

// Restart ends the draining of targets. The time in which they are down is a
// separate Fault, which also breaks their connections.
type Restart struct{ Targets []int }

// HostChange is a change of the state of a host.
type HostChange int

// Host changes.
const (
	HostJoins HostChange = iota
	HostLeaves
	HostKilled
)

// ChangeHosts starts, drains or kills hosts.
type ChangeHosts struct {
	Hosts  []int
	Change HostChange
}

// ChangeTargets adds targets to or removes targets from the configuration.
type ChangeTargets struct {
	Targets []int
	Present bool
}

// EvidenceCut interrupts or delays the evidence exchange between two sets of hosts.
type EvidenceCut struct {
	From, To []int
	Until    time.Duration
	// Delay is added to each report; 0 drops the reports.
	Delay  time.Duration
	OneWay bool
}
