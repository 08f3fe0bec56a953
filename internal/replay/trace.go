package replay

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Trace is one parsed trace. All times are offsets from the start of the run.
type Trace struct {
	// File is the name of the file as it was given.
	File string
	Name string
	Seed uint64
	// Duration is the length of a run.
	Duration time.Duration
	// Short is the length of a shortened run, 0 if there is none.
	ShortDuration    time.Duration
	Config   dispatch.Config
	Regions  map[ident.Zone]ident.Region
	Targets  []Target
	Hosts    []Host
	Network  Network
	Evidence EvidenceExchange
	Load     LoadPolling
	// Grace is the time after a fault in which an ejection is not false.
	FaultGrace   time.Duration
	Faults  []Fault
	Steps   []Step
	Expectations []Expectation
}

// Target is a declared target with its behaviour at the start.
type Target struct {
	dispatch.Target
	Behaviour Behaviour
	// Absent targets are in the configuration only after an "add" line.
	Absent bool
}

// Host is a declared host.
type Host struct {
	ID       ident.HostID
	Location ident.Location
	// Absent hosts start with a "join" line.
	Absent bool
}

// Network holds the fixed delays of the model.
type Network struct {
	// Zone is the one-way delay within a zone; default 0.1 ms.
	WithinZone time.Duration
	// Zones is the one-way delay between zones of a region; default 0.5 ms.
	BetweenZones time.Duration
	// Regions is the one-way delay between regions; default 30 ms.
	BetweenRegions time.Duration
	// Dial is the cost of a new connection; default 1 ms.
	DialTime time.Duration
	// Probe is the time a probe takes; default 25 ms.
	ProbeTime time.Duration
	// Idle bounds the idle connections per (host, target); default 4.
	MaxIdle int
}

// Exchange describes the exchange of evidence between hosts.
type EvidenceExchange struct {
	// Every is the time between two reports of a host; 0 disables the exchange.
	Interval time.Duration
	// Delay is added to the network delay.
	Delay time.Duration
}

// LoadPolling describes how hosts read load reports.
type LoadPolling struct {
	// Every is the time between two reads of a target by a host; 0 disables them.
	Interval time.Duration
}

// ProbeMode says how a target answers probes.
type ProbeMode int

// Probe modes.
const (
	// ProbesFollow: a probe meets the same fault as a request.
	ProbesFollowFaults ProbeMode = iota
	ProbesPass
	ProbesFail
)

// Behaviour is how a target serves requests when no fault is active.
type Behaviour struct {
	Latency Distribution
	// Queue bounds the requests that wait for a slot at the target.
	QueueLength int
	// Shed is the share of requests that is refused because of load.
	ShedShare float64
	// ShedMayRun withholds the statement that a shed request did not run.
	ShedOmitsNotRun bool
	// KeepCanceled keeps a slot occupied after the host gave up.
	IgnoreCancel bool
	ProbeMode       ProbeMode
	// LoadLie is the number of requests in flight that the target reports; -1
	// reports the true number.
	ReportedInFlight int
	// LoadLag is the age of a load report on arrival.
	LoadReportAge time.Duration
	// LoadOff makes the target send no load report.
	NoLoadReport bool
}

// FaultKind says how a faulty target fails.
type FaultKind int

// Kinds of faults.
const (
	// FaultStatus: the response carries an error status.
	FaultStatus FaultKind = iota
	// FaultTimeout: the request is taken and never answered.
	FaultTimeout
	// FaultDial: new connections are refused; open ones work.
	FaultDial
	// FaultLost: the connection breaks after the request was sent.
	FaultConnectionLost
	// FaultBad: the response is truncated or garbled.
	FaultBadResponse
	// FaultOneWay: the request runs, its response is lost.
	FaultOneWay
	// FaultBlackout: nothing arrives in either direction.
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
	// Share is the share of attempts that meet the fault.
	Share float64
	// Slow multiplies the latency.
	SlowFactor float64
	// Hosts limits the fault to these hosts; nil means all.
	Hosts map[int]bool
	// Probes overrides the target's probe mode if ProbesSet.
	ProbeMode    ProbeMode
	ProbeModeSet bool
	// On and Off alternate within the period if On is above 0.
	OnDuration, OffDuration time.Duration
	// ColdFactor multiplies the latency after the fault and falls linearly to 1
	// within ColdFor.
	ColdFactor float64
	ColdFor    time.Duration
}

// marks tells whether the fault marks the target as faulty for a host.
func (f *Fault) marks(host int) bool { return f.Hosts == nil || f.Hosts[host] }

// active tells whether the fault takes effect at a time.
func (f *Fault) active(at time.Duration) bool {
	if at < f.From || at >= f.Until {
		return false
	}
	return f.OnDuration <= 0 || (at-f.From)%(f.OnDuration+f.OffDuration) < f.OnDuration
}

// Step is one time-stamped line other than a fault.
type Step struct {
	At   time.Duration
	Line int
	Action   any
}

// Arrivals is a stream of requests.
type Arrivals struct {
	Class    ident.ClassName
	Rate     float64
	Until    time.Duration
	Hosts    []int
	ConstantRate bool
	Deadline time.Duration
	CancelAfter   time.Duration
}

// Single is one request, or several at the same time.
type RequestBurst struct {
	Class    ident.ClassName
	Hosts    []int
	Count    int
	Deadline time.Duration
	CancelAfter   time.Duration
}

// SetBehaviour changes the behaviour of targets without marking a fault.
type SetBehaviour struct {
	Targets []int
	Changes  []func(*Behaviour)
}

// Silence stops the connections that are open between hosts and targets at
// this time; new ones work.
type Silence struct {
	Targets []int
	Hosts   []int
}

// Drain starts or ends the draining of targets.
type Drain struct {
	Targets []int
	Draining      bool
	RefuseRequests  bool
}

// Restart breaks the connections of targets and ends their draining. The time
// in which they are down is a Fault.
type Restart struct{ Targets []int }

// HostChange says what happens to a host.
type HostChange int

// Host changes.
const (
	HostJoins HostChange = iota
	HostLeaves
	HostKilled
)

// HostList is a change of hosts.
type ChangeHosts struct {
	Hosts  []int
	Change HostChange
}

// TargetList adds targets to or removes targets from the configuration.
type ChangeTargets struct {
	Targets []int
	Present     bool
}

// Cut interrupts or delays the evidence exchange between two sets of hosts.
type EvidenceCut struct {
	From, To []int
	Until    time.Duration
	// Delay is added to each report; 0 drops the reports.
	Delay  time.Duration
	OneWay bool
}
