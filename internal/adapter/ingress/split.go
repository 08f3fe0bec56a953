package ingress

import (
	"crypto/sha256"
	"encoding/binary"
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

func newSplitRouter(host ident.HostID) *splitRouter { return &splitRouter{phase: splitPhase(host)} }

// splitPhase returns a number from 0 to 1 that is evenly distributed over hosts. The names of
// hosts often differ in their last characters only, which a hash such as FNV-1a maps to
// similar values.
func splitPhase(host ident.HostID) float64 {
	sum := sha256.Sum256([]byte(host))
	return float64(binary.BigEndian.Uint64(sum[:8])) / math.MaxUint64
}

// choose selects the service for the next request of a split route.
func (s *splitRouter) choose(r *document.Route) ident.ServiceName {
	count, ok := s.counts.Load(r.Name)
	if !ok {
		count, _ = s.counts.LoadOrStore(r.Name, new(atomic.Uint64))
	}
	return route.ChooseService(r.Split, s.phase, count.(*atomic.Uint64).Add(1))
}

// next returns the service that choose would select for the next request, without counting it.
func (s *splitRouter) next(r *document.Route) ident.ServiceName {
	n := uint64(0)
	if count, ok := s.counts.Load(r.Name); ok {
		n = count.(*atomic.Uint64).Load()
	}
	return route.ChooseService(r.Split, s.phase, n+1)
}
