package app

import (
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// maxNamedRejections bounds the resources that are named in the log and in metrics for one
// configuration. One mistake of an operator may concern thousands of them.
const maxNamedRejections = 50

// rejections holds the resources of the active configuration that this host does not understand. It
// is safe for concurrent use.
type rejections struct {
	mu   sync.Mutex
	list []registry.Rejection
}

// replace takes over the rejected resources of a configuration. It logs those that were not rejected
// before.
func (r *rejections) replace(c *registry.Configuration, log logrus.FieldLogger) {
	r.mu.Lock()
	before := r.list
	r.list = c.Rejected
	r.mu.Unlock()
	known := make(map[registry.Rejection]bool, len(before))
	for _, rejected := range before {
		known[rejected] = true
	}
	named, left := 0, 0
	for _, rejected := range c.Rejected {
		switch {
		case known[rejected]:
		case named == maxNamedRejections:
			left++
		default:
			named++
			log.WithFields(logrus.Fields{"revision": c.Version, "kind": rejected.Kind, "name": rejected.Name, "reason": rejected.Reason}).Warn("rejected a resource of the configuration")
		}
	}
	if left > 0 {
		log.WithFields(logrus.Fields{"revision": c.Version, "count": left}).Warn("rejected further resources of the configuration")
	}
}

// writeMetrics writes the number of rejected resources and a gauge for each of the first ones.
func (r *rejections) writeMetrics(w io.Writer) {
	r.mu.Lock()
	list := r.list
	r.mu.Unlock()
	metrics.WriteGaugeUint64(w, "sapphirehaven_rejected_resources", uint64(len(list)))
	var names []string
	for _, rejected := range list[:min(len(list), maxNamedRejections)] {
		names = append(names, fmt.Sprintf("sapphirehaven_rejected_resource{kind=%q,name=%q}", rejected.Kind, rejected.Name))
	}
	// Two resources may have the same name, and a scrape with a repeated series is invalid.
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		metrics.WriteGaugeUint64(w, name, 1)
	}
}
