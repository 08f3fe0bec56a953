package ingress

import (
	"hash/fnv"
	"math"
	"sync"
	"sync/atomic"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
)

// splits counts the requests of each split route. It is safe for concurrent use.
type splits struct {
	// phase differs between hosts, so that the first requests of all hosts do not
	// go to the same share.
	phase  float64
	counts sync.Map
}

func newSplits(host ident.HostID) *splits {
	h := fnv.New32a()
	h.Write([]byte(host))
	return &splits{phase: float64(h.Sum32()) / math.MaxUint32}
}

// choose returns the service for the next request of a split route.
func (s *splits) choose(r *document.Route) ident.ServiceName {
	count, ok := s.counts.Load(r.Name)
	if !ok {
		count, _ = s.counts.LoadOrStore(r.Name, new(atomic.Uint64))
	}
	return route.Choose(r.Split, s.phase, count.(*atomic.Uint64).Add(1))
}
