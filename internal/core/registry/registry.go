// Package registry holds a host's copy of the registry: the active configuration, the
// registered targets and the hosts, each with the store offset up to which it is
// current. It performs no I/O: records from the store or from other hosts are inputs,
// and the record with the later position in the store wins.
package registry

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

// Configuration is one version of the configuration that operators maintain.
type Configuration struct {
	Version  uint64
	Document *document.Document
	Callers  CallerLimits
	// Teams is empty if callers need no key.
	Teams []team.Team `json:",omitempty"`
	// Rejected lists the resources that could not be decoded.
	Rejected []Rejection `json:",omitempty"`
	// RejectedRoutes are routes that could not be decoded and whose requests are refused.
	// They are not part of Document, because hosts of earlier versions can't handle a
	// route without a service.
	RejectedRoutes []document.Route `json:",omitempty"`
}

// Rejection is a resource of the configuration that does not take effect.
type Rejection struct {
	Kind   string
	Name   string
	Reason string
}

// CallerLimits are the size and time limits for requests of callers.
type CallerLimits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Target is the registration of a target.
type Target struct {
	ID      ident.TargetID
	Service ident.ServiceName
	// Address is IP:port.
	Address string
	Zone    ident.Zone
	// Version is the software version of the target.
	Version  string
	Slots    int
	Draining bool
	// WarmUpLeft is the warm-up time that remained when the record was written. A
	// target is slow during its warm-up.
	WarmUpLeft time.Duration
	// StartUnixMilli is the start time of the target's process in milliseconds since
	// the Unix epoch, 0 if unknown. A process with a later start time and the same ID
	// has no state of the earlier one.
	StartUnixMilli int64
	// Sequence numbers the records of one process.
	Sequence int64
}

// olderThan reports whether a record was written before another record of the same
// target. A delayed write can give the older record the higher offset. Records for different
// services are not compared, because one of them is from another writer: its start time could
// otherwise hide the target for ever.
func (t Target) olderThan(o Target) bool {
	if t.StartUnixMilli == 0 || o.StartUnixMilli == 0 || t.Service != o.Service {
		return false
	}
	return t.StartUnixMilli < o.StartUnixMilli || (t.StartUnixMilli == o.StartUnixMilli && t.Sequence < o.Sequence)
}

// sameAs reports whether two records are equal in everything that decisions depend on.
// Of the remaining warm-up time, only whether there is any is compared.
func (t Target) sameAs(o Target) bool {
	warm, otherWarm := t.WarmUpLeft > 0, o.WarmUpLeft > 0
	t.WarmUpLeft, o.WarmUpLeft = 0, 0
	t.Sequence, o.Sequence = 0, 0
	return t == o && warm == otherWarm
}

// Host is the registration of a host.
type Host struct {
	ID          ident.HostID
	Incarnation ident.Incarnation
	Location    ident.Location
	// CallerAddress and PeerAddress are IP:port.
	CallerAddress string
	PeerAddress   string
	// Millicores is the CPU share of the host in thousandths of a core.
	Millicores int
	// LinkMbps is the bandwidth of the host's link in Mbit/s, 0 if unknown.
	LinkMbps int
}

// TargetRecord is a store record of a target. A nil Target means that the target was
// removed, unless Overwritten is set.
type TargetRecord struct {
	ID       ident.TargetID
	Position Position
	Target   *Target
	// Former is the last known record of a target that was removed, and RemovedEra the era of
	// its removal. Both are set by hosts, not in a record from the store.
	Former     *Target
	RemovedEra uint64
	// Drained is set if the target was draining before its removal.
	Drained bool
	// Overwritten is set if the newest record of the key cannot be decoded or was brought back by
	// a rollback. Target is then the valid one, nil in a record from the store.
	Overwritten bool
}

// RemovedHost names a process of a host that was removed because it was silent for a long time.
type RemovedHost struct {
	ID          ident.HostID
	Incarnation ident.Incarnation
}

// HostRecord is a store record of a host. A nil Host means that the host was removed.
type HostRecord struct {
	ID       ident.HostID
	Position Position
	Host     *Host
}
