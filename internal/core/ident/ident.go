// Package ident defines the identifiers that the core packages share.
package ident

// HostID names one sapphirehaven host. It comes from the host's settings.
type HostID string

// Incarnation numbers the lives of a host. It starts as the start time in
// microseconds since the Unix epoch and is raised on refutation and on resume
// after a pause.
type Incarnation uint64

// TargetID names a target within its service.
type TargetID string

// ServiceName names a fronted service.
type ServiceName string

// ClassName names a request class of a service.
type ClassName string

// Zone names an availability zone.
type Zone string

// Region names a region.
type Region string

// Location is a place of a host or a target.
type Location struct {
	Region Region
	Zone   Zone
}

// RequestID numbers the requests that one host has taken.
type RequestID uint64

// AttemptID numbers the attempts that one host has started.
type AttemptID uint64
