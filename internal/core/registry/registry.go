// Package registry holds what a host knows of the configuration in force, the
// targets that registered themselves and the other hosts, with the position in
// the store up to which it knows it. It is pure: records go in, from the store or
// from another host, and whoever is later in the store's order wins.
package registry

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Document *document.Document
	Callers  CallerLimits
}

// CallerLimits bound what callers may send and how long they may take.
type CallerLimits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Target is a target as it registered itself.
type Target struct {
	ID      ident.TargetID
	Service ident.ServiceName
	// Address is IP:port.
	Address string
	Zone    ident.Zone
	// Version is that of the target's software.
	Version  string
	Slots    int
	Draining bool
	// WarmUpLeft is how much longer the target was slow after its start, when it
	// wrote the record.
	WarmUpLeft time.Duration
	// Born is the start of the target's process in milliseconds since the Unix
	// epoch, 0 if unknown. A later start under the same ID knows nothing of the
	// earlier one.
	StartUnixMilli int64
	// Sequence counts the records of one start.
	Sequence int64
}

// olderThan tells whether a record was written before another one of the same
// target, although it may stand behind it in the store: a write that was delayed.
func (t Target) olderThan(o Target) bool {
	if t.StartUnixMilli == 0 || o.StartUnixMilli == 0 {
		return false
	}
	return t.StartUnixMilli < o.StartUnixMilli || (t.StartUnixMilli == o.StartUnixMilli && t.Sequence < o.Sequence)
}

// sameAs tells whether two records differ in nothing that decisions depend on.
// The time left of a warm-up counts only by whether there is any.
func (t Target) sameAs(o Target) bool {
	warm, otherWarm := t.WarmUpLeft > 0, o.WarmUpLeft > 0
	t.WarmUpLeft, o.WarmUpLeft = 0, 0
	t.Sequence, o.Sequence = 0, 0
	return t == o && warm == otherWarm
}

// Host is a host as it registered itself.
type Host struct {
	ID          ident.HostID
	Incarnation ident.Incarnation
	Location    ident.Location
	// CallerAddress and PeerAddress are IP:port.
	CallerAddress string
	PeerAddress   string
	// Millicores is the processor share of the host in thousandths of a core.
	Millicores int
}

// TargetRecord is one record of a target; a nil Target tells that it is gone.
type TargetRecord struct {
	ID     ident.TargetID
	Offset int64
	Target *Target
	// Drained tells that a target that is gone was draining before.
	Drained bool
}

// HostRecord is one record of a host; a nil Host tells that it is gone.
type HostRecord struct {
	ID     ident.HostID
	Offset int64
	Host   *Host
}
