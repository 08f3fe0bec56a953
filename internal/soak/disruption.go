package soak

import "time"

// none is the index of no host or no place.
const none = -1

// cause is the kind of a disruption, as far as the promises tell them apart.
type cause int

const (
	// planned is a SIGTERM with the SIGKILL and the start that follow it.
	planned cause = iota
	// hangup is a SIGHUP. It disrupts nothing.
	hangup
	// unplanned is any other signal or fault on a host, its link to callers or a place of a target.
	unplanned
	// storeReachFault keeps one host from the store.
	storeReachFault
	// storeFault is a fault of the store for all hosts.
	storeFault
	// started is a start of a host's process, until it is ready.
	started
	// stalled is a time in which this process got no processor time, so that callers and links were late.
	stalled
)

// disruption is something that was done to a host, to a place of a target or to the store.
type disruption struct {
	cause cause
	// host and place are indices or none.
	host, place int
	name        string
	// restores is set if the store is restored from an older copy, and ends once what it lost is written
	// again.
	restores bool
	// end is zero while the disruption lasts.
	start, end time.Time
}

// overlaps reports whether the disruption lasted at any moment from one time to another.
func (i *disruption) overlaps(from, to time.Time) bool {
	return !i.start.After(to) && (i.end.IsZero() || !i.end.Before(from))
}

type disruptions []disruption

// any reports whether a disruption that matches lasted at any moment between two times.
func (l disruptions) any(from, to time.Time, match func(i *disruption) bool) bool {
	for n := range l {
		if match(&l[n]) && l[n].overlaps(from, to) {
			return true
		}
	}
	return false
}

// inTouch reports whether a host was in touch at a time: for the whole stability window before,
// its process ran without signals and faults, and so did its links and the store.
func (l disruptions) inTouch(host int, at time.Time) bool {
	return !l.any(at.Add(-stabilityWindow), at, func(i *disruption) bool {
		return i.cause == storeFault || i.host == host && i.cause != hangup
	})
}

// coreStable reports whether the store had no fault in the stability window before a time.
func (l disruptions) coreStable(at time.Time) bool {
	return !l.any(at.Add(-stabilityWindow), at, func(i *disruption) bool { return i.cause == storeFault })
}

// disrupted reports whether a host or its link to callers had an unplanned fault at any moment between
// two times. Faults of the store and of the way to it are none: they excuse no lost request.
func (l disruptions) disrupted(host int, from, to time.Time) bool {
	return l.any(from, to, func(i *disruption) bool { return i.cause == unplanned && i.host == host })
}

// placeDisrupted reports whether a place of a target or its link had a fault at any moment between
// two times.
func (l disruptions) placeDisrupted(place int, from, to time.Time) bool {
	return l.any(from, to, func(i *disruption) bool { return i.cause == unplanned && i.place == place })
}

// stalled reports whether callers and links were late at any moment between two times.
func (l disruptions) stalled(from, to time.Time) bool {
	return l.any(from, to, func(i *disruption) bool { return i.cause == stalled })
}

// stopOf returns the last SIGTERM of a host whose work covers a time: until one second after the
// grace period.
func (l disruptions) stopOf(host int, at time.Time) (signaledAt time.Time, ok bool) {
	for n := range l {
		i := &l[n]
		if i.cause == planned && i.host == host && !at.Before(i.start) && !at.After(i.start.Add(grace+time.Second)) {
			signaledAt, ok = i.start, true
		}
	}
	return signaledAt, ok
}

// hangupCovers reports whether a request belongs to the planned work of a SIGHUP of its host: it was
// sent up to configApply after it and ended after it.
func (l disruptions) hangupCovers(c *call) bool {
	return l.any(c.sentAt.Add(-configApply), c.endedAt, func(i *disruption) bool {
		return i.cause == hangup && i.host == c.host && !c.sentAt.After(i.start.Add(configApply)) && !c.endedAt.Before(i.start)
	})
}
