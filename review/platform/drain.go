package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sort"
	"sync"
	"syscall"
	"time"
)

// drainBound is the time after the acknowledgement of a drain from which no request may arrive.
const drainBound = 2500 * time.Millisecond

// lostDrain: targets of a service are replaced one after the other while the process of a host is killed.
func lostDrain(root, dir string, trouble bool) int {
	rec := newRecorder()
	zones := []string{"cairo-maadi", "cairo-nasr", "cairo-dokki"}
	d := newDeployment(root, dir, rec, map[string]string{"cairo-maadi": "cairo", "cairo-nasr": "cairo", "cairo-dokki": "cairo"})
	current = d
	d.store.putConfiguration(7, []routeSpec{{"/proofs/", "upload", "proof-vault", 6 * time.Second, 3 * time.Second, 2}})
	began := time.Now()
	var ups []*upstream
	started := 0
	add := func() *upstream {
		u := startUpstream(d.store, rec, fmt.Sprintf("i-%02d", started), "proof-vault", zones[started%len(zones)], 6, 1500*time.Millisecond, int64(started))
		started++
		ups = append(ups, u)
		return u
	}
	for range 4 {
		add()
	}
	d.addHosts(284, zones...)
	d.start()
	d.awaitReady(10 * time.Second)
	rec.note("the hosts are ready")
	end := make(chan struct{})
	var wg sync.WaitGroup
	k := kind{class: "proofs", method: "POST", prefix: "/proofs/", bodyBytes: 60000, deadline: 6 * time.Second}
	for i, zone := range zones {
		c := newCallers(d, zone, int64(i))
		c.resolve(&http.Client{Timeout: time.Second})
		go c.resolveLoop(end)
		// One request in six seconds from each zone.
		wg.Go(func() { sendEvery(c, k, began.Add(200*time.Millisecond), 6*time.Second, end, &wg) })
	}
	order := coordinationOrder(d.hosts)
	coordinator := 0
	broken := 0
	for round := range 3 {
		kill := began.Add(25200*time.Millisecond + time.Duration(round)*30*time.Second)
		time.Sleep(time.Until(kill))
		follower := order[2]
		y := lastUsed(rec, follower.front, ups)
		x := unusedBy(rec, ups, y)
		if trouble {
			rec.note("SIGKILL of the process of %s", order[coordinator].name)
			order[coordinator].signal(syscall.SIGKILL)
			coordinator = 1 - coordinator
		}
		time.Sleep(time.Until(kill.Add(400 * time.Millisecond)))
		rec.note("target %s leaves without a report; its entry is removed", x.id)
		x.remove()
		time.Sleep(time.Until(kill.Add(1400 * time.Millisecond)))
		y.drain()
		drained := rec.now()
		rec.note("target %s reports draining", y.id)
		time.Sleep(time.Until(kill.Add(3000 * time.Millisecond)))
		x.exit()
		time.Sleep(time.Until(kill.Add(5900 * time.Millisecond)))
		rec.note("target %s ends", y.id)
		y.exit()
		time.Sleep(500 * time.Millisecond)
		late, lost := lateRequests(rec, y.id, drained+drainBound, order[2])
		rec.note("requests that reached %s through %s later than %s after it reported draining: %d, of which lost when it ended: %d", y.id, order[2].name, drainBound, late, lost)
		broken += late
		time.Sleep(time.Until(kill.Add(7 * time.Second)))
		ups = without(ups, x, y)
		// The new targets beat in time with the others.
		time.Sleep(time.Until(kill.Add(7800 * time.Millisecond)))
		add()
		add()
	}
	close(end)
	wg.Wait()
	rec.note("DRAIN: %d late requests", broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// coordinationOrder is the order in which hosts of a region with equal processors read the store for it.
func coordinationOrder(hosts []*host) []*host {
	list := append([]*host(nil), hosts...)
	hash := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name))
		return h.Sum64()
	}
	sort.Slice(list, func(i, j int) bool { return hash(list[i].name) < hash(list[j].name) })
	return list
}

// lastUsed returns the target that ran the last request that was sent to a host.
func lastUsed(rec *recorder, front string, ups []*upstream) *upstream {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var found *upstream
	latest := time.Duration(-1)
	for _, q := range rec.sent {
		for _, r := range q.runs {
			for _, u := range ups {
				if u.id == r.upstream && q.host == front && r.at > latest {
					found, latest = u, r.at
				}
			}
		}
	}
	if found == nil {
		found = ups[0]
	}
	return found
}

// unusedBy returns a target other than y, the one that has been unused the longest.
func unusedBy(rec *recorder, ups []*upstream, y *upstream) *upstream {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	latest := map[string]time.Duration{}
	for _, q := range rec.sent {
		for _, r := range q.runs {
			latest[r.upstream] = max(latest[r.upstream], r.at)
		}
	}
	var found *upstream
	for _, u := range ups {
		if u != y && (found == nil || latest[u.id] < latest[found.id]) {
			found = u
		}
	}
	return found
}

// lateRequests counts the requests that reached a target after a time through hosts that were not disturbed, and
// those of them that got no answer of it.
func lateRequests(rec *recorder, id string, after time.Duration, through ...*host) (late, lost int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, q := range rec.sent {
		undisturbed := slices.ContainsFunc(through, func(h *host) bool { return h.front == q.host })
		for _, r := range q.runs {
			if undisturbed && r.upstream == id && r.at > after {
				late++
				if q.status != 200 {
					lost++
				}
			}
		}
	}
	return late, lost
}

func without(ups []*upstream, gone ...*upstream) []*upstream {
	var list []*upstream
	for _, u := range ups {
		keep := true
		for _, g := range gone {
			keep = keep && u != g
		}
		if keep {
			list = append(list, u)
		}
	}
	return list
}
