package roster

import (
	"math"
	"time"
)

// deliveries spreads a beacon over the hosts of the region. In a large region the
// first hosts of the order that live pass it on, about as many as each of them has
// receivers. The receivers of a relay change with every beacon, so that a relay that
// is lost costs each host one beacon now and then, until its silence is noticed. Only
// the coordinator decides who forwards to whom, so there is no cycle, and nothing is
// forwarded without a beacon of its own.
func (r *Roster) deliveries(now time.Time) []Delivery {
	var hosts, usable []*peer
	for _, p := range r.order {
		if p.ID == r.self.ID {
			continue
		}
		hosts = append(hosts, p)
		if !p.leaving && !p.heard.IsZero() && r.alive(now, p) {
			usable = append(usable, p)
		}
	}
	relays := min(len(usable), int(math.Ceil(math.Sqrt(float64(len(hosts))))))
	if len(hosts) <= r.cfg.RelayThreshold || relays == 0 {
		return direct(hosts)
	}
	list := direct(usable[:relays])
	index := make(map[*peer]bool, relays)
	for _, p := range usable[:relays] {
		index[p] = true
	}
	next := int(r.beacons % uint64(relays))
	for _, p := range hosts {
		if index[p] {
			continue
		}
		d := &list[next]
		d.Forward = append(d.Forward, p.PeerAddress)
		next = (next + 1) % relays
	}
	return list
}

func direct(hosts []*peer) []Delivery {
	list := make([]Delivery, len(hosts))
	for i, p := range hosts {
		list[i] = Delivery{Host: p.Host}
	}
	return list
}
