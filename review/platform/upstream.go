package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in for one server of a service. It follows the pages: slots and a short queue,
// Expect-Instance, Request-Id, Response-Signature, Server-Load, Not-Executed, heartbeats.
type upstream struct {
	id, service, zone, address string
	slots, queue               int
	work                       time.Duration
	store                      *store
	rec                        *recorder
	born                       time.Time
	// trouble, if set, is asked for each request that has run; a function that it returns writes
	// something in place of the answer and may return when the connection has closed.
	trouble func(u *upstream, r *http.Request, c net.Conn) bool

	mu               sync.Mutex
	running, waiting int
	freed            chan struct{}
	sequence         int
	state            string
	served           int
	// leaving is set when the upstream leaves: it says so in all its answers and ends soon.
	leaving, ended bool
	listener       net.Listener
	conns          map[net.Conn]bool
	rng            *rand.Rand
}

func startUpstream(s *store, rec *recorder, id, service, zone string, slots int, work time.Duration, seed int64) *upstream {
	l := listen()
	u := &upstream{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, queue: 4 * slots, work: work,
		store: s, rec: rec, born: time.Now(), freed: make(chan struct{}, 1), state: "ready", listener: l, conns: map[net.Conn]bool{}, rng: rand.New(rand.NewSource(seed))}
	u.beat()
	go func() {
		for range time.Tick(1500 * time.Millisecond) {
			u.beat()
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *upstream) beat() {
	u.mu.Lock()
	if u.ended {
		u.mu.Unlock()
		return
	}
	u.sequence++
	value := map[string]any{"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": u.state, "warmupLeft": "0ms", "sequence": u.sequence, "born": u.born.UnixMilli()}
	u.mu.Unlock()
	u.store.put("keyed.servers", u.id, value)
}

// duration draws the time that a request takes: 60 to 140 % of the mean.
func (u *upstream) duration() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration((0.6 + 0.8*u.rng.Float64()) * float64(u.work))
}

func (u *upstream) chance(p float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.Float64() < p
}

// idleClose is the time after which an idle connection is closed.
const idleClose = 10 * time.Second

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	u.mu.Lock()
	u.conns[c] = true
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c)
	}()
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !u.answer(c, br, r, body) {
			return
		}
	}
}

// answer serves one request and reports whether the connection stays open.
func (u *upstream) answer(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		return u.write(c, 200, id, "Instance-Id: "+u.id+"\r\n", nil) == nil
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != u.id {
		return u.write(c, 421, id, "Instance-Id: "+u.id+"\r\n", nil) == nil
	}
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get("Request-Deadline")); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	switch u.acquire(deadline) {
	case full:
		return u.write(c, 503, id, "Not-Executed: 1\r\n", nil) == nil
	case late:
		return u.write(c, 503, id, "Not-Executed: 1\r\n", nil) == nil
	}
	u.rec.ran(id, u.id, r.Method+" "+r.URL.RequestURI(), crc32.ChecksumIEEE(body))
	u.mu.Lock()
	u.served++
	u.mu.Unlock()
	took := u.duration()
	gone := closedWithin(c, br, min(took, time.Until(deadline)))
	u.release()
	if gone {
		return false
	}
	if time.Now().After(deadline) {
		return u.write(c, 504, id, "", []byte("deadline")) == nil
	}
	if u.trouble != nil && u.trouble(u, r, c) {
		return false
	}
	answer := []byte(fmt.Sprintf("%s ran %s\n", u.id, id))
	answer = append(answer, bytes.Repeat([]byte("."), 400-len(answer))...)
	return u.write(c, 200, id, signature(id, answer), answer) == nil
}

// closedWithin waits for a time and reports whether the peer has closed the connection meanwhile. Bytes of a
// further request stay in the reader.
func closedWithin(c net.Conn, br *bufio.Reader, d time.Duration) bool {
	end := time.Now().Add(d)
	_ = c.SetReadDeadline(end)
	defer c.SetReadDeadline(time.Time{})
	if _, err := br.Peek(1); err != nil {
		return !isTimeout(err)
	}
	time.Sleep(time.Until(end))
	return false
}

// signature is the header with the digest of a body.
func signature(id string, body []byte) string {
	return fmt.Sprintf("Response-Signature: %s.%d.%08x\r\n", id, len(body), crc32.ChecksumIEEE(body))
}

func (u *upstream) write(c net.Conn, status int, id, header string, body []byte) error {
	u.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", u.running, u.waiting, u.slots)
	if u.leaving {
		header += "Server-Leaving: 1\r\nConnection: close\r\n"
	}
	u.mu.Unlock()
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Load: %s\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n%s\r\n",
		status, http.StatusText(status), id, load, int(idleClose.Seconds()), len(body), header)
	_, err := c.Write(append([]byte(head), body...))
	return err
}

type admission int

const (
	admitted admission = iota
	full
	late
)

// acquire waits for a slot.
func (u *upstream) acquire(deadline time.Time) admission {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= u.slots && u.waiting >= u.queue {
		return full
	}
	u.waiting++
	for u.running >= u.slots {
		u.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		u.mu.Lock()
		if time.Now().After(deadline) {
			u.waiting--
			return late
		}
	}
	u.waiting--
	u.running++
	return admitted
}

func (u *upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// drain reports that the upstream leaves, and returns when the store has accepted that.
func (u *upstream) drain() {
	u.mu.Lock()
	u.leaving, u.state = true, "draining"
	u.mu.Unlock()
	u.beat()
}

// remove deletes the upstream's entry; it leaves without having reported "draining".
func (u *upstream) remove() {
	u.mu.Lock()
	removed := u.ended
	u.leaving, u.ended = true, true
	u.mu.Unlock()
	if removed {
		return
	}
	u.store.put("keyed.servers", u.id, nil)
}

// exit ends the upstream and removes its entry.
func (u *upstream) exit() {
	u.remove()
	u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.Close()
	}
}

// requests returns the number of requests that have run here.
func (u *upstream) requests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.served
}
