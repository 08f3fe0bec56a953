package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// NewID returns the ID of a requester attempt.
func NewID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastRequest.Add(1))
}

// Answer is what a requester saw of one attempt.
type Answer struct {
	// Status is 0 if the connection ended without a complete answer, and Err tells why.
	Status    int
	Signature string
	Body      string
	Err       error
	// Kept is set if the connection had carried an answered request before.
	Kept bool
	// SentAt is the time after the last byte of the request.
	SentAt, EndedAt time.Time
}

// Conn is a requester's connection, which is kept for many requests.
type Conn struct {
	net.Conn
	reader  *bufio.Reader
	answers int
	closing bool
}

// Dial opens a connection to a host.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Usable reports whether the connection may carry another request.
func (c *Conn) Usable() bool { return c != nil && !c.closing }

// Request is one requester attempt.
type Request struct {
	ID, Method, Path string
	Body             io.Reader
	BodyBytes        int64
	Deadline         time.Duration
}

// Do sends a request and waits for its answer.
func (c *Conn) Do(r Request) Answer {
	a := Answer{Kept: c.answers > 0}
	defer func() { a.EndedAt = time.Now() }()
	_ = c.SetDeadline(time.Now().Add(r.Deadline + 2*time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", r.Method, r.Path, CallerHost, r.ID, r.Deadline.Milliseconds())
	if r.Body != nil {
		head += "Content-Length: " + strconv.FormatInt(r.BodyBytes, 10) + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return c.end(a, err)
	}
	if r.Body != nil {
		if _, err := io.Copy(c, r.Body); err != nil {
			// An answer may have been sent before the end of the body.
			a.Err = err
		}
	}
	a.SentAt = time.Now()
	res, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		return c.end(a, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return c.end(a, err)
	}
	c.answers++
	c.closing = res.Close
	a.Status, a.Signature, a.Body, a.Err = res.StatusCode, res.Header.Get("Response-Signature"), string(body), nil
	a.EndedAt = time.Now()
	return a
}

func (c *Conn) end(a Answer, err error) Answer {
	c.closing = true
	a.Err, a.EndedAt = err, time.Now()
	return a
}

// zeros is a reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Zeros returns a body of n bytes.
func Zeros(n int64) io.Reader { return io.LimitReader(zeros{}, n) }

var checks = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// IsReady reports whether a host answers its readiness check.
func IsReady(h *Host) bool {
	res, err := checks.Get("http://" + h.Ready() + "/api/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Resolve asks a host which addresses a requester should use.
func Resolve(h *Host, region, zone string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	query := url.Values{"name": {CallerHost}, "region": {region}, "zone": {zone}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Directory()+"/api/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil
	}
	res, err := checks.Do(req)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var v struct {
		Addresses []string `json:"addresses"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&v) != nil {
		return nil
	}
	return v.Addresses
}
