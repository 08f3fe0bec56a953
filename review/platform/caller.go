package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// callers are the requesters of one zone. They ask a host of the directory for addresses, keep the answer
// for its ttl and keep connections open.
type callers struct {
	d    *deployment
	zone string

	mu        sync.Mutex
	addresses []string
	idle      map[string][]*callerConn
	rng       *rand.Rand
	next      int
}

type callerConn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
}

// kind is a kind of request.
type kind struct {
	class, method, prefix string
	idempotent            bool
	bodyBytes             int
	deadline              time.Duration
}

func newCallers(d *deployment, zone string, seed int64) *callers {
	c := &callers{d: d, zone: zone, idle: map[string][]*callerConn{}, rng: rand.New(rand.NewSource(seed))}
	return c
}

// resolveLoop keeps the addresses current.
func (c *callers) resolveLoop(end <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		ttl := c.resolve(client)
		select {
		case <-end:
			return
		case <-time.After(ttl):
		}
	}
}

func (c *callers) resolve(client *http.Client) time.Duration {
	// The directory nodes nearest first.
	var nodes []*host
	for _, near := range []bool{true, false} {
		for _, h := range c.d.hosts {
			if (h.zone == c.zone) == near {
				nodes = append(nodes, h)
			}
		}
	}
	q := url.Values{"name": {routeHost}, "region": {c.d.zones[c.zone]}, "zone": {c.zone}}
	for _, h := range nodes[:min(3, len(nodes))] {
		res, err := client.Get("http://" + h.directory + "/api/resolve?" + q.Encode())
		if err != nil {
			continue
		}
		var v struct {
			Addresses []string
			TTL       string
		}
		err = json.NewDecoder(res.Body).Decode(&v)
		res.Body.Close()
		ttl, ttlErr := time.ParseDuration(v.TTL)
		if err != nil || res.StatusCode != 200 || len(v.Addresses) == 0 || ttlErr != nil {
			continue
		}
		c.mu.Lock()
		c.addresses = v.Addresses
		c.mu.Unlock()
		return min(ttl, 5*time.Second)
	}
	return 200 * time.Millisecond
}

// load sends requests of a kind at a rate, evenly spaced with jitter, until end is closed.
func (c *callers) load(k kind, perSecond float64, end <-chan struct{}, wg *sync.WaitGroup) {
	interval := time.Duration(float64(time.Second) / perSecond)
	next := time.Now()
	for {
		select {
		case <-end:
			return
		case <-time.After(time.Until(next)):
		}
		c.mu.Lock()
		next = next.Add(time.Duration((0.5 + c.rng.Float64()) * float64(interval)))
		c.mu.Unlock()
		wg.Go(func() { c.request(k) })
	}
}

// pick returns an idle connection to one of the addresses, or the address for a new one.
func (c *callers) pick() (conn *callerConn, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return nil, ""
	}
	address = c.addresses[c.rng.Intn(len(c.addresses))]
	for list := c.idle[address]; len(list) > 0; list = c.idle[address] {
		last := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		// Connections are reused within four fifths of the idle limit.
		if time.Since(last.idleSince) < 12*time.Second {
			return last, address
		}
		last.Close()
	}
	return nil, address
}

func (c *callers) keep(address string, conn *callerConn) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], conn)
}

// request sends one request and records its end.
func (c *callers) request(k kind) {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%s-%s-%06d", c.zone, k.class, c.next)
	body := make([]byte, k.bodyBytes)
	c.rng.Read(body)
	c.mu.Unlock()
	conn, address := c.pick()
	q := &sentRequest{id: id, class: k.class, host: address, idempotent: k.idempotent, body: crc32.ChecksumIEEE(body), line: k.method + " " + k.prefix + id}
	c.d.rec.send(q)
	if address == "" {
		c.d.rec.end(q, -1, "no address")
		return
	}
	deadline := time.Now().Add(k.deadline)
	if conn == nil {
		nc, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			c.d.rec.end(q, -1, "connect failed")
			return
		}
		conn = &callerConn{Conn: nc, br: bufio.NewReader(nc)}
	}
	_ = conn.SetDeadline(deadline)
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", k.method, k.prefix, id, routeHost, id, k.deadline.Milliseconds())
	if k.bodyBytes > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", k.bodyBytes)
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		conn.Close()
		c.d.rec.end(q, 0, "write: "+brief(err))
		return
	}
	res, err := http.ReadResponse(conn.br, &http.Request{Method: k.method})
	if err != nil {
		conn.Close()
		if isTimeout(err) {
			c.d.rec.end(q, -1, "no answer within the deadline")
			return
		}
		c.d.rec.end(q, 0, "closed without an answer: "+brief(err))
		return
	}
	sum := crc32.NewIEEE()
	n, err := io.Copy(sum, res.Body)
	if err != nil {
		conn.Close()
		c.d.rec.end(q, 0, fmt.Sprintf("broken off: status %d, %d bytes, %s", res.StatusCode, n, brief(err)))
		return
	}
	detail := ""
	if res.StatusCode/100 == 2 {
		want := fmt.Sprintf("%s.%d.%08x", id, n, sum.Sum32())
		if res.Header.Get("Response-Signature") != want {
			detail = "WRONG ANSWER"
		}
	}
	c.d.rec.end(q, res.StatusCode, detail)
	if res.Close {
		conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	c.keep(address, conn)
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

func brief(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}
