package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Each zone sends clumps of requests, one request after the other, every 6 s.
const (
	clump     = 6
	clumpStep = 150 * time.Millisecond
)

// lostRemoval: targets of a service are replaced while many hosts are killed at the same moment.
func lostRemoval(root, dir string, trouble bool) int {
	rec := newRecorder()
	zones := []string{"cairo-maadi", "cairo-nasr", "cairo-zamalek", "cairo-dokki", "cairo-giza", "cairo-heliopolis"}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "cairo"
	}
	d := newDeployment(root, dir, rec, regions)
	current = d
	d.store.putConfiguration(7, []routeSpec{{"/proofs/", "upload", "proof-vault", 6 * time.Second, 3 * time.Second, 2}})
	began := time.Now()
	var ups []*upstream
	started := 0
	add := func() {
		ups = append(ups, startUpstream(d.store, rec, fmt.Sprintf("i-%02d", started), "proof-vault", zones[started%len(zones)], 6, 1500*time.Millisecond, int64(started)))
		started++
	}
	for range 6 {
		add()
		time.Sleep(170 * time.Millisecond)
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
		for n := range clump {
			wg.Go(func() {
				sendEvery(c, k, began.Add(200*time.Millisecond+time.Duration(n)*clumpStep), 6*time.Second, end, &wg)
			})
		}
	}
	order := coordinationOrder(d.hosts)
	broken := 0
	for round := range 4 {
		kill := began.Add(14700*time.Millisecond + time.Duration(round)*24*time.Second)
		time.Sleep(time.Until(kill))
		survivor := order[3+round%3]
		x := lastUsed(rec, survivor.front, ups)
		if trouble {
			rec.note("SIGKILL of the processes of %s, %s and %s", order[0].name, order[1].name, order[2].name)
			for _, h := range order[:3] {
				h.signal(syscall.SIGKILL)
			}
		}
		time.Sleep(time.Until(kill.Add(400 * time.Millisecond)))
		x.remove()
		gone := rec.now()
		rec.note("target %s leaves without a report; its entry is removed", x.id)
		time.Sleep(time.Until(kill.Add(5600 * time.Millisecond)))
		rec.note("target %s ends", x.id)
		x.exit()
		time.Sleep(500 * time.Millisecond)
		late, lost := lateRequests(rec, x.id, gone+drainBound, order[3:]...)
		rec.note("requests that reached %s through the other hosts later than %s after its entry was removed: %d, of which lost when it ended: %d", x.id, drainBound, late, lost)
		broken += late
		ups = without(ups, x)
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

// sendEvery sends a request at fixed intervals.
func sendEvery(c *callers, k kind, first time.Time, interval time.Duration, end <-chan struct{}, wg *sync.WaitGroup) {
	for at := first; ; at = at.Add(interval) {
		if time.Until(at) < 0 {
			continue
		}
		select {
		case <-end:
			return
		case <-time.After(time.Until(at)):
		}
		wg.Go(func() { c.request(k) })
	}
}
