// Package timeline records the events of a host. Each event gets a timestamp, is kept in a ring buffer
// of the newest events, written as one log line and counted in a metric.
package timeline

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// capacity is the number of events that a host keeps, which take about 1 MB.
const capacity = 4096

// Timeline holds the newest events of a host. It is safe for concurrent use.
type Timeline struct {
	host ident.HostID
	log  logrus.FieldLogger

	mu    sync.Mutex
	clock event.Clock
	ring  *event.Ring
}

// New returns an empty timeline that also writes its events to log.
func New(host ident.HostID, log logrus.FieldLogger) *Timeline {
	return &Timeline{host: host, log: log, ring: event.NewRing(capacity)}
}

// Record timestamps and adds an event, and writes it to the log and the metric.
func (t *Timeline) Record(kind event.Kind, fields ...event.Field) {
	t.mu.Lock()
	e := event.Event{Stamp: t.clock.Now(time.Now()), Host: t.host, Kind: kind, Fields: fields}
	t.ring.Add(e)
	t.mu.Unlock()
	metrics.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_events_total{kind=%q}", kind)).Inc()
	logFields := logrus.Fields{"event": string(kind), "stamp": e.Stamp.String()}
	for _, f := range fields {
		logFields[f.Key] = f.Value
	}
	t.log.WithFields(logFields).Info("event")
}

// Stamp returns the current time of the hybrid logical clock for a message to another host.
func (t *Timeline) Stamp() event.Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now(time.Now())
}

// Observe advances the clock to the timestamp of a message from another host.
func (t *Timeline) Observe(remote event.Stamp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock.Observe(time.Now(), remote)
}

// Events returns the retained events, oldest first.
func (t *Timeline) Events() []event.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ring.Events()
}
