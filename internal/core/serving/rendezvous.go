package serving

import "github.com/sapphirehaven/sapphirehaven/internal/core/ident"

// Rendezvous ranks hosts for a name by rendezvous hashing. The ranks of the other hosts do
// not change when one is added or removed.
type Rendezvous struct{ state key }

// NewRendezvous returns the ranking for a name, such as that of a team.
func NewRendezvous(name string) Rendezvous { return Rendezvous{newKey(name)} }

// Weight returns the weight of a host; the one with the highest weight comes first.
func (r Rendezvous) Weight(id ident.HostID) uint64 { return r.state.weight(id) }

// Best returns the host with the highest weight, empty if there is none.
func (r Rendezvous) Best(hosts []ident.HostID) ident.HostID {
	var best ident.HostID
	var bestWeight uint64
	for _, id := range hosts {
		w := r.Weight(id)
		if best == "" || w > bestWeight || (w == bestWeight && id < best) {
			best, bestWeight = id, w
		}
	}
	return best
}
