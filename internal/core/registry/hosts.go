package registry

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Hosts is the list of hosts. It is not safe for concurrent use.
type Hosts struct {
	known map[ident.HostID]HostRecord
	hash  uint64
}

// NewHosts returns an empty list.
func NewHosts() *Hosts { return &Hosts{known: map[ident.HostID]HostRecord{}} }

// Learn takes a record of a host. Of two records the later one in the store
// wins, and one that a host sent about itself, which has no offset, wins over
// both. It reports whether anything changed.
func (l *Hosts) Apply(r HostRecord) bool {
	old, ok := l.known[r.ID]
	if ok && r.Offset > 0 && r.Offset <= old.Offset {
		return false
	}
	r.Offset = max(r.Offset, old.Offset)
	if ok && old.Host != nil && r.Host != nil && *old.Host == *r.Host {
		l.known[r.ID] = r
		return false
	}
	l.known[r.ID] = r
	l.hash ^= old.hash() ^ r.hash()
	return true
}

// Knows reports whether the list has a host.
func (l *Hosts) Contains(id ident.HostID) bool { return l.known[id].Host != nil }

// Hash identifies the known hosts by their addresses. It stays the same when a
// host restarts, so that restarts cause no transfer of the list.
func (l *Hosts) Hash() uint64 { return l.hash }

// List returns the hosts, ordered by ID.
func (l *Hosts) List() []Host {
	list := make([]Host, 0, len(l.known))
	for _, r := range l.known {
		if r.Host != nil {
			list = append(list, *r.Host)
		}
	}
	slices.SortFunc(list, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// hash is that of a host's addresses, zero if the host is gone.
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
