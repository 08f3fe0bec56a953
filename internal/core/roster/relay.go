package roster

import (
	"math"
	"time"
)

// deliveries returns the receivers of a beacon in the region. In a large region the
// beacon goes to the first live hosts in coordination order, which act as relays; their
// number is about the square root of the number of hosts, so that each relay has about
// as many receivers as there are relays. The receivers of a relay change with every
// beacon, so that a lost relay costs each host only an occasional beacon until the loss
// is detected. Only the coordinator assigns receivers to relays, and a forwarded beacon
// carries none, so there are no forwarding loops.
func (r *Roster) deliveries(now time.Time) []Delivery {
	var hosts, usable []*hostState
	for _, p := range r.order {
		if p.ID == r.self.ID {
			continue
		}
		hosts = append(hosts, p)
		if !p.leaving && !p.lastHeard.IsZero() && r.alive(now, p) {
			usable = append(usable, p)
		}
	}
	relays := min(len(usable), int(math.Ceil(math.Sqrt(float64(len(hosts))))))
	if len(hosts) <= r.cfg.RelayThreshold || relays == 0 {
		return directDeliveries(hosts)
	}
	list := directDeliveries(usable[:relays])
	isRelay := make(map[*hostState]bool, relays)
	for _, p := range usable[:relays] {
		isRelay[p] = true
	}
	next := int(r.beaconsSent % uint64(relays))
	for _, p := range hosts {
		if isRelay[p] {
			continue
		}
		d := &list[next]
		d.Forward = append(d.Forward, p.PeerAddress)
		next = (next + 1) % relays
	}
	return list
}

func directDeliveries(hosts []*hostState) []Delivery {
	list := make([]Delivery, len(hosts))
	for i, p := range hosts {
		list[i] = Delivery{Host: p.Host}
	}
	return list
}
