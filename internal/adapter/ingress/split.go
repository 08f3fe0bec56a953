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

// splitRouter distributes the requests of split routes over their services. It is
// safe for concurrent use.
type splitRouter struct {
	// phase is an offset derived from the host ID. It keeps the first requests of
	// all hosts from going to the same service.
	phase float64
	// counts maps the name of a route to its number of requests.
	counts sync.Map
}

func newSplitRouter(host ident.HostID) *splitRouter {
	h := fnv.New32a()
	h.Write([]byte(host))
	return &splitRouter{phase: float64(h.Sum32()) / math.MaxUint32}
}

// choose selects the service for the next request of a split route.
func (s *splitRouter) choose(r *document.Route) ident.ServiceName {
	count, ok := s.counts.Load(r.Name)
	if !ok {
		count, _ = s.counts.LoadOrStore(r.Name, new(atomic.Uint64))
	}
	return route.ChooseService(r.Split, s.phase, count.(*atomic.Uint64).Add(1))
}
