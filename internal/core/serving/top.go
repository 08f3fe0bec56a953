package serving

import "slices"

// ranked is a host with its weight for one key.
type ranked struct {
	weight uint64
	host   *Host
}

func (r ranked) before(o ranked) bool {
	if r.weight != o.weight {
		return r.weight > o.weight
	}
	return r.host.ID < o.host.ID
}

// top holds the hosts of highest weight for a key, highest first.
type top struct {
	key   key
	limit int
	list  []ranked
}

// add inserts a host if it is among the highest and reports whether it did.
func (t *top) add(h *Host) bool {
	r := ranked{t.key.weight(h.ID), h}
	if len(t.list) == t.limit && !r.before(t.list[len(t.list)-1]) {
		return false
	}
	at := len(t.list)
	for at > 0 && r.before(t.list[at-1]) {
		at--
	}
	if len(t.list) == t.limit {
		t.list = t.list[:len(t.list)-1]
	}
	t.list = slices.Insert(t.list, at, r)
	return true
}

// remove deletes a host and reports whether it was among the highest. The next
// one is taken from hosts, which no longer has the removed host.
func (t *top) remove(h *Host, hosts []*Host) bool {
	at := slices.IndexFunc(t.list, func(r ranked) bool { return r.host == h })
	if at < 0 {
		return false
	}
	full := len(t.list) == t.limit
	t.list = slices.Delete(t.list, at, at+1)
	if full && len(hosts) >= t.limit {
		t.list = append(t.list, t.next(hosts))
	}
	return true
}

// next returns the highest of hosts that comes after the list.
func (t *top) next(hosts []*Host) ranked {
	var best ranked
	for _, h := range hosts {
		r := ranked{t.key.weight(h.ID), h}
		if len(t.list) > 0 && !t.list[len(t.list)-1].before(r) {
			continue
		}
		if best.host == nil || r.before(best) {
			best = r
		}
	}
	return best
}
