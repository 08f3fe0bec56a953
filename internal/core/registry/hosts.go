package registry

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Hosts is the set of known hosts. It is not safe for concurrent use.
type Hosts struct {
	records map[ident.HostID]HostRecord
	hash    uint64
}

// NewHosts returns an empty set.
func NewHosts() *Hosts { return &Hosts{records: map[ident.HostID]HostRecord{}} }

// Apply applies a record of a host and reports whether anything changed. A record from
// the store replaces only one with a lower offset. A record that a host sent about
// itself has no offset and replaces any record.
func (h *Hosts) Apply(r HostRecord) bool {
	old, ok := h.records[r.ID]
	if ok && r.Offset > 0 && r.Offset <= old.Offset {
		return false
	}
	r.Offset = max(r.Offset, old.Offset)
	if ok && old.Host != nil && r.Host != nil && *old.Host == *r.Host {
		h.records[r.ID] = r
		return false
	}
	h.records[r.ID] = r
	h.hash ^= old.hash() ^ r.hash()
	return true
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
