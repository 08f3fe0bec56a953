package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
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

// endlessMemory: some targets give some of their answers no length and send bytes until the host closes the
// connection.
func endlessMemory(root, dir string, trouble bool) int {
	rec := newRecorder()
	d := newDeployment(root, dir, rec, map[string]string{"cairo-maadi": "cairo", "cairo-nasr": "cairo"})
	current = d
	zones := []string{"cairo-maadi", "cairo-nasr"}
	d.store.putConfiguration(7, []routeSpec{
		{"/lookup/", "safe", "errata-index", 6 * time.Second, 3 * time.Second, 2},
		{"/issue/", "unsafe", "notice-press", 6 * time.Second, 3 * time.Second, 2},
		{"/proofs/", "upload", "proof-vault", 6 * time.Second, 3 * time.Second, 2},
	})
	kinds := []kind{
		{class: "lookup", method: "GET", prefix: "/lookup/", idempotent: true, deadline: 6 * time.Second},
		{class: "issue", method: "POST", prefix: "/issue/", bodyBytes: 4000, deadline: 6 * time.Second},
		{class: "proofs", method: "POST", prefix: "/proofs/", bodyBytes: 60000, deadline: 6 * time.Second},
	}
	var active atomic.Bool
	var endless, open atomic.Int64
	x := envFloat("X", 0.4)
	share := envFloat("SHARE", 0.5)
	perSecond := envFloat("PACE", 1)
	for _, service := range []struct {
		name  string
		count int
		work  time.Duration
	}{{"errata-index", 10, 620 * time.Millisecond}, {"notice-press", 15, 460 * time.Millisecond}, {"proof-vault", 8, 550 * time.Millisecond}} {
		for i := range service.count {
			u := startUpstream(d.store, rec, fmt.Sprintf("%s-%02d", service.name, i), service.name, zones[i%2], 6, service.work, int64(i))
			if float64(i) < share*float64(service.count) {
				u.trouble = func(u *upstream, r *http.Request, c net.Conn) bool {
					if !active.Load() || !u.chance(x) {
						return false
					}
					endless.Add(1)
					open.Add(1)
					sendUnframed(c, r.Header.Get("Request-Id"), perSecond)
					open.Add(-1)
					return true
				}
			}
		}
	}
	d.addHosts(284, zones...)
	d.start()
	d.awaitReady(10 * time.Second)
	rec.note("the hosts are ready")
	end := make(chan struct{})
	var wg sync.WaitGroup
	rates := []float64{30.6, 59.9, 9.18}
	for i, zone := range zones {
		c := newCallers(d, zone, int64(i))
		c.resolve(&http.Client{Timeout: time.Second})
		go c.resolveLoop(end)
		for n, k := range kinds {
			wg.Go(func() { c.load(k, rates[n]/2, end, &wg) })
		}
	}
	for range 4 {
		time.Sleep(5 * time.Second)
		active.Store(trouble)
		rec.note("the disruption starts")
		for range 6 {
			time.Sleep(time.Second)
			rec.note("%d answers without end so far, %d open; memory %s", endless.Load(), open.Load(), d.memory())
		}
		active.Store(false)
		rec.note("the disruption ends; %d answers without end so far; memory %s", endless.Load(), d.memory())
	}
	time.Sleep(7 * time.Second)
	close(end)
	wg.Wait()
	rec.note("memory %s", d.memory())
	machines := 0
	for _, h := range d.hosts {
		rec.note("%s: killed for its memory %d times, ended otherwise %d times", h.name, h.memoryKills, h.ends)
		if h.memoryKills+h.ends >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		return exitBroken
	}
	return exitHeld
}

// sendUnframed writes an answer without a length, and bytes until the peer closes the connection or half a
// minute has passed.
func sendUnframed(c net.Conn, id string, mbPerSecond float64) {
	_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nConnection: close\r\n\r\n"))
	part := bytes.Repeat([]byte("x"), 32<<10)
	pause := time.Duration(float64(time.Second) * float64(len(part)) / (mbPerSecond * (1 << 20)))
	for end := time.Now().Add(30 * time.Second); err == nil && time.Now().Before(end); time.Sleep(pause) {
		_, err = c.Write(part)
	}
}

func envFloat(name string, value float64) float64 {
	if v, err := strconv.ParseFloat(os.Getenv(name), 64); err == nil {
		return v
	}
	return value
}

// memory returns the memory of each machine now and at its peak.
func (d *deployment) memory() string {
	text := ""
	for _, h := range d.hosts {
		h.mu.Lock()
		now := 0.0
		if h.process != nil {
			now = residentMb(h.process.Pid)
		}
		text += fmt.Sprintf(" %.0f (peak %.0f) MB", now, h.peakMb)
		h.mu.Unlock()
	}
	return text
}
