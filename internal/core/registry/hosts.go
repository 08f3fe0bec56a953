package registry

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Hosts is the set of known hosts. It is not safe for concurrent use.
type Hosts struct {
	records map[ident.HostID]HostRecord
	// removed holds the hosts that were removed recently, so that other hosts learn of it and
	// their lists do not add them again.
	removed map[ident.HostID]removal
	hash    uint64
}

// NewHosts returns an empty set.
func NewHosts() *Hosts {
	return &Hosts{records: map[ident.HostID]HostRecord{}, removed: map[ident.HostID]removal{}}
}

// Apply applies a record of a host and reports whether anything changed. A record from
// the store replaces only one with an earlier position. A record that a host sent about
// itself has no position and replaces any record.
func (h *Hosts) Apply(r HostRecord) bool {
	old, ok := h.records[r.ID]
	if ok && r.Position != (Position{}) && !old.Position.Before(r.Position) {
		return false
	}
	r.Position = r.Position.Later(old.Position)
	if ok && old.Host != nil && r.Host != nil && *old.Host == *r.Host {
		h.records[r.ID] = r
		return false
	}
	h.records[r.ID] = r
	delete(h.removed, r.ID)
	h.hash ^= old.hash() ^ r.hash()
	return true
}

// removal is the removal of a host. incarnation is that of the removed process, and position that
// of its last known record in the store.
type removal struct {
	incarnation ident.Incarnation
	position    Position
	at          time.Time
}

// Remove removes a process of a host and reports whether anything changed. A later process of
// the host, or one of which nothing is known here, remains.
func (h *Hosts) Remove(now time.Time, r RemovedHost) bool {
	old := h.records[r.ID]
	if old.Host == nil || old.Host.Incarnation > r.Incarnation {
		return false
	}
	h.hash ^= old.hash()
	delete(h.records, r.ID)
	h.removed[r.ID] = removal{r.Incarnation, old.Position, now}
	return true
}

// Removed returns the hosts that were removed within tombstoneTTL, ordered by ID.
func (h *Hosts) Removed(now time.Time) []RemovedHost {
	var list []RemovedHost
	for id, r := range h.removed {
		if now.Sub(r.at) >= tombstoneTTL {
			delete(h.removed, id)
			continue
		}
		list = append(list, RemovedHost{id, r.incarnation})
	}
	slices.SortFunc(list, func(a, b RemovedHost) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Add adds a host that another host or the store lists, and reports whether anything changed. A
// host that is known is not replaced by what others say of it. One that was removed recently is
// added if it is a later process, or if its record was written again since the removal.
func (h *Hosts) Add(r HostRecord) bool {
	if h.Contains(r.ID) {
		return false
	}
	if removed, ok := h.removed[r.ID]; ok && r.Host.Incarnation <= removed.incarnation && !removed.position.Before(r.Position) {
		return false
	}
	return h.Apply(r)
}

// Contains reports whether a host is registered.
func (h *Hosts) Contains(id ident.HostID) bool { return h.records[id].Host != nil }

// Hash identifies the registered hosts by their addresses. It does not change when a
// host restarts, so restarts cause no transfer of the list.
func (h *Hosts) Hash() uint64 { return h.hash }

// List returns the registered hosts, ordered by ID.
func (h *Hosts) List() []Host {
	list := make([]Host, 0, len(h.records))
	for _, r := range h.records {
		if r.Host != nil {
			list = append(list, *r.Host)
		}
	}
	slices.SortFunc(list, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// hash returns the hash of a host's addresses, or zero if the host was removed.
func (r HostRecord) hash() uint64 {
	if r.Host == nil {
		return 0
	}
	h := fnv.New64a()
	for _, part := range []string{string(r.Host.ID), r.Host.CallerAddress, r.Host.PeerAddress} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
