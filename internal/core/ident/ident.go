// Package ident defines the identifiers that the core packages share.
package ident

// HostID identifies a sapphirehaven host. It comes from the host's settings.
type HostID string

// Incarnation distinguishes successive instances of a host. It is initialized with the
// start time in microseconds since the Unix epoch and raised when the host refutes a
// suspicion and when it resumes after a pause.
type Incarnation uint64

// TargetID identifies a target within its service.
type TargetID string

// ServiceName is the name of a service behind the gateway.
type ServiceName string

// TeamName is the name of a team, an organisation whose callers share keys and a quota.
type TeamName string

// ClassName is the name of a request class of a service.
type ClassName string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region.
type Region string

// Location is the region and availability zone of a host or a target.
type Location struct {
	Region Region
	Zone   Zone
}

// RequestID is the number of a request, counted by the host that received it.
type RequestID uint64

// AttemptID is the number of an attempt, counted by the host that started it.
type AttemptID uint64
