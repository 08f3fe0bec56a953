package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// floorShare, stabilityWindow and floorWindow are those of the users' pages.
const (
	floorShare      = 0.7
	stabilityWindow = 4 * time.Second
	floorWindow     = 2 * time.Second
)

// endlessLength: some targets give some of their answers the largest length that can be declared and send
// bytes until the host closes the connection. Afterwards all targets are sound.
func endlessLength(root, dir string, trouble bool) int {
	rec := newRecorder()
	d := newDeployment(root, dir, rec, map[string]string{"namur-a": "wallonie", "liege-b": "wallonie"})
	current = d
	d.store.putConfiguration(7, []routeSpec{{"/cut/", "unsafe", "order-svc", 2 * time.Second, 800 * time.Millisecond, 2}})
	const targets, bad, share = 12, 6, 0.05
	var active atomic.Bool
	var endless atomic.Int64
	var ups []*upstream
	for i := range targets {
		zone := []string{"namur-a", "liege-b"}[i%2]
		u := startUpstream(d.store, rec, fmt.Sprintf("i-%02d", i), "order-svc", zone, 2, 160*time.Millisecond, int64(i))
		if i < bad {
			u.trouble = func(u *upstream, r *http.Request, c net.Conn) bool {
				if !active.Load() || !u.chance(share) {
					return false
				}
				endless.Add(1)
				sendWithoutEnd(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 9223372036854775807\r\n\r\n", r.Header.Get("Request-Id")))
				return true
			}
		}
		ups = append(ups, u)
	}
	d.addHosts(284, "namur-a", "liege-b")
	d.start()
	d.awaitReady(10 * time.Second)
	rec.note("the hosts are ready")
	end := make(chan struct{})
	var wg sync.WaitGroup
	k := kind{class: "cut-order", method: "POST", prefix: "/cut/", bodyBytes: 2000, deadline: 2 * time.Second}
	for i, zone := range []string{"namur-a", "liege-b"} {
		c := newCallers(d, zone, int64(i))
		c.resolve(&http.Client{Timeout: time.Second})
		go c.resolveLoop(end)
		wg.Go(func() { c.load(k, 46, end, &wg) })
	}
	for range 4 {
		time.Sleep(5 * time.Second)
		active.Store(trouble)
		rec.note("the disruption starts")
		time.Sleep(5 * time.Second)
		active.Store(false)
		rec.note("the disruption ends; %d answers without end so far", endless.Load())
	}
	sound := rec.now()
	time.Sleep(2*stabilityWindow + 15*time.Second)
	stop := rec.now()
	time.Sleep(time.Second)
	close(end)
	wg.Wait()
	return checkFloor(rec, ups, sound+2*stabilityWindow, stop)
}

// sendWithoutEnd writes a head and then bytes, 256 KiB a second, until the peer closes the connection or half
// a minute has passed.
func sendWithoutEnd(c net.Conn, head string) {
	_, err := c.Write([]byte(head))
	part := bytes.Repeat([]byte("x"), 16<<10)
	for end := time.Now().Add(30 * time.Second); err == nil && time.Now().Before(end); time.Sleep(62 * time.Millisecond) {
		_, err = c.Write(part)
	}
}

// checkFloor applies the rule FLOOR to each span of two seconds.
func checkFloor(rec *recorder, ups []*upstream, from, to time.Duration) int {
	broken, spans := 0, 0
	worst := len(ups)
	for at := from; at+floorWindow <= to; at += 100 * time.Millisecond {
		spans++
		used := map[string]bool{}
		sent, unserved := 0, 0
		rec.mu.Lock()
		for _, q := range rec.sent {
			for _, x := range q.runs {
				if x.at >= at && x.at < at+floorWindow {
					used[x.upstream] = true
				}
			}
			if q.sentAt >= at && q.sentAt < at+floorWindow {
				sent++
				if q.status != 200 {
					unserved++
				}
			}
		}
		rec.mu.Unlock()
		worst = min(worst, len(used))
		share := float64(unserved) / float64(max(1, sent))
		if len(used) > 0 && float64(len(used)) < floorShare*float64(len(ups)) && share > 0.1 && share < 0.5 {
			broken++
		}
	}
	unanswered := 0
	rec.mu.Lock()
	for _, q := range rec.sent {
		if q.status == 0 {
			unanswered++
		}
	}
	rec.mu.Unlock()
	sent, served := rec.between("", from, to)
	rec.note("%d requests ended with a closed connection and no whole answer", unanswered)
	rec.note("from %.1f s to %.1f s, all targets sound: %d requests, %d served; at least %d of %d targets used in each 2 s", from.Seconds(), to.Seconds(), sent, served, worst, len(ups))
	rec.note("FLOOR: broken in %d of %d spans", broken, spans)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
