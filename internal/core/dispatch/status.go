package dispatch

import "time"

// Status returns the state of every target in document order, as of the last
// event.
func (d *Dispatcher) Status() []TargetStatus {
	var list []TargetStatus
	for _, s := range d.health.Status() {
		status := TargetStatus{Status: s}
		if t := d.targets[s.Target]; t != nil {
			status.InFlight = t.inFlight
			status.Limit = t.limitAt(d.now, s.Weight)
			status.OtherLoad = t.reported.Load(d.now)
			status.Paused = t.limit.Paused(d.now)
		}
		list = append(list, status)
	}
	return list
}

// ServiceStatus returns the state of the queue, the limits and the budget.
func (d *Dispatcher) ServiceStatus(now time.Time) ServiceStatus {
	s := ServiceStatus{
		Service:     d.cfg.Service,
		Revision:    d.cfg.Revision,
		InFlight:    len(d.attempts),
		Uploads:     d.uploads,
		Waiting:     d.queue.Len(),
		QueueLength: max(0, d.cfg.QueueLength),
		RetriesLeft: d.budget.Remaining(now),
	}
	for _, c := range d.order {
		s.Classes = append(s.Classes, ClassStatus{
			Class:               c.Name,
			Queued:              c.flow.Len(),
			Capacity:            c.capacity,
			ServiceTime:         c.service.Mean(now),
			CrossRegionAttempts: c.crossAttempts,
			CrossRegionBytes:    c.crossBytes,
		})
	}
	return s
}
