package serving

import "slices"

// weightedHost is a host with its rendezvous weight for one key.
type weightedHost struct {
	weight uint64
	host   *Host
}

func (w weightedHost) before(o weightedHost) bool {
	if w.weight != o.weight {
		return w.weight > o.weight
	}
	return w.host.ID < o.host.ID
}

// topHosts holds up to limit hosts of the highest weight for a key, in descending order.
type topHosts struct {
	key   key
	limit int
	list  []weightedHost
}

// add inserts a host if it is among those of the highest weight, and reports whether it
// was inserted.
func (t *topHosts) add(h *Host) bool {
	w := weightedHost{t.key.weight(h.ID), h}
	if len(t.list) == t.limit && !w.before(t.list[len(t.list)-1]) {
		return false
	}
	at := len(t.list)
	for at > 0 && w.before(t.list[at-1]) {
		at--
	}
	if len(t.list) == t.limit {
		t.list = t.list[:len(t.list)-1]
	}
	t.list = slices.Insert(t.list, at, w)
	return true
}

// remove deletes a host and reports whether it was in the list. Its place is filled from
// hosts, which no longer contains the removed host.
func (t *topHosts) remove(h *Host, hosts []*Host) bool {
	at := slices.IndexFunc(t.list, func(w weightedHost) bool { return w.host == h })
	if at < 0 {
		return false
	}
	full := len(t.list) == t.limit
	t.list = slices.Delete(t.list, at, at+1)
	if full && len(hosts) >= t.limit {
		t.list = append(t.list, t.nextBelow(hosts))
	}
	return true
}

// nextBelow returns the host of highest weight in hosts that ranks after the whole list.
func (t *topHosts) nextBelow(hosts []*Host) weightedHost {
	var best weightedHost
	for _, h := range hosts {
		w := weightedHost{t.key.weight(h.ID), h}
		if len(t.list) > 0 && !t.list[len(t.list)-1].before(w) {
			continue
		}
		if best.host == nil || w.before(best) {
			best = w
		}
	}
	return best
}
