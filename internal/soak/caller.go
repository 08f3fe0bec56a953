package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/platform"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

const (
	// routeTimeout is the timeout of all routes.
	routeTimeout = 3 * time.Second
	// addressAge is how long callers use an answer to their question for addresses.
	addressAge = time.Second
	// callerPatience is the time after its deadline until which a caller waits.
	callerPatience = time.Second
	// maxThink is the longest pause between two requests of a caller.
	maxThink = 90 * time.Millisecond
	// maxUploadBytes is the largest body of an upload.
	maxUploadBytes = 96 << 10
	dialTimeout    = time.Second
)

// Numbers of requests or connections of which one shows a behaviour.
const (
	pipelineShare = 12
	leaveShare    = 40
	followerShare = 3
)

// directory tells callers where to connect.
type directory interface {
	// addresses asks a host for the hosts to use and returns their indices.
	addresses(ctx context.Context, zone int) ([]int, error)
	// dialAddress returns the address of a host's link for callers.
	dialAddress(host int) string
	// paths returns the paths that callers use, the idempotent ones first.
	paths(rng *rand.Rand) (path string, kind string)
}

// caller sends requests on one connection at a time.
type caller struct {
	index, zone int
	rng         *rand.Rand
	directory   directory
	recorder    *recorder
	sequence    int
	// team is the team of the caller, "" if the configuration has none.
	team string

	hosts   []int
	askedAt time.Time
	// avoid is the host that failed last.
	avoid int
}

func newCaller(index int, cfg *Config, d directory, r *recorder) *caller {
	c := &caller{index: index, zone: index, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(index)+1)), directory: d, recorder: r, avoid: none}
	if cfg.hasTeams() {
		c.team = teams[teamOfCaller[index%len(teamOfCaller)]].Name
	}
	return c
}

// loop sends requests until the context ends.
func (c *caller) loop(ctx context.Context) {
	for ctx.Err() == nil {
		c.ask(ctx)
		host, ok := c.chooseHost()
		if ok {
			c.useConnection(ctx, host)
		}
		c.think()
	}
}

func (c *caller) think() { time.Sleep(rand.N(maxThink)) }

// ask asks for the hosts to use once the last answer is old.
func (c *caller) ask(ctx context.Context) {
	if time.Since(c.askedAt) < addressAge {
		return
	}
	if hosts, err := c.directory.addresses(ctx, c.zone); err == nil {
		c.hosts, c.askedAt = hosts, time.Now()
	}
}

func (c *caller) chooseHost() (int, bool) {
	if len(c.hosts) == 0 {
		return 0, false
	}
	host := c.hosts[c.rng.IntN(len(c.hosts))]
	if host == c.avoid {
		host = c.hosts[c.rng.IntN(len(c.hosts))]
	}
	return host, true
}

// useConnection sends requests on a new connection until it ends. Most callers keep it until the
// host closes it; the others leave a host that the answers no longer name.
func (c *caller) useConnection(ctx context.Context, host int) {
	conn, err := net.DialTimeout("tcp", c.directory.dialAddress(host), dialTimeout)
	if err != nil {
		c.avoid = host
		return
	}
	defer conn.Close()
	follows := c.rng.IntN(followerShare) == 0
	k := &keptConn{caller: c, host: host, conn: conn, br: bufio.NewReader(conn)}
	for ctx.Err() == nil && k.exchange() {
		c.ask(ctx)
		if follows && !contains(c.hosts, host) {
			return
		}
		c.think()
		if !k.checkSilent() {
			return
		}
	}
	if k.failed {
		c.avoid = host
	}
}

func contains(list []int, n int) bool {
	for _, m := range list {
		if m == n {
			return true
		}
	}
	return false
}

// keptConn is a connection of a caller.
type keptConn struct {
	*caller
	host   int
	conn   net.Conn
	br     *bufio.Reader
	served bool
	failed bool
}

// outgoing is a request with its bytes.
type outgoing struct {
	call
	data []byte
}

// exchange sends one request, or several idempotent ones at once, and reads the answers. It
// reports whether the connection can be used again.
func (k *keptConn) exchange() bool {
	batch := []outgoing{k.newRequest()}
	if batch[0].idempotent && k.rng.IntN(pipelineShare) == 0 {
		for len(batch) < 3 {
			if o := k.newRequest(); o.idempotent {
				batch = append(batch, o)
			}
		}
	}
	leaves := k.rng.IntN(leaveShare) == 0
	if !k.send(batch) {
		return false
	}
	usable := true
	for n := range batch {
		if usable {
			usable = k.receive(&batch[n].call, leaves)
		} else {
			// The first request without an answer ended the connection for those behind it.
			k.endBehind(&batch[n].call, &batch[n-1].call)
		}
		k.recorder.putCall(batch[n].call)
	}
	k.failed = !usable
	return usable && !leaves
}

func (k *keptConn) newRequest() outgoing {
	k.sequence++
	path, kind := k.directory.paths(k.rng)
	o := outgoing{call: call{
		request: request{id: fmt.Sprintf("%04x%012x", k.index, k.sequence), method: http.MethodGet, path: path},
		host:    k.host, idempotent: kind == platformtest.Idempotent, kept: k.served,
		timeout: min(routeTimeout, time.Duration(1500+k.rng.IntN(1500))*time.Millisecond),
	}}
	var body []byte
	if !o.idempotent {
		o.method = http.MethodPost
		size := 1 + k.rng.IntN(200)
		if kind == platformtest.Upload {
			size = k.rng.IntN(maxUploadBytes)
		}
		body = make([]byte, size)
		for n := range body {
			body[n] = byte('a' + k.rng.IntN(26))
		}
	}
	o.bodySum = sum(body)
	d := platform.Dialect()
	var fields, trailer string
	if k.team != "" {
		fields, trailer = o.addKey(k.team, k.rng)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", o.method, path, platformtest.RouteHost, d.RequestID, o.id, d.Deadline, o.timeout.Milliseconds(), fields)
	switch {
	case body == nil:
		o.data = []byte(head + "\r\n")
	case k.rng.IntN(3) == 0:
		half := len(body) / 2
		o.data = fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		for _, part := range [][]byte{body[:half], body[half:]} {
			if len(part) > 0 {
				o.data = fmt.Appendf(o.data, "%x\r\n%s\r\n", len(part), part)
			}
		}
		o.data = append(o.data, "0\r\n"+trailer+"\r\n"...)
	default:
		o.data = fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	return o
}

// send writes the requests in one go.
func (k *keptConn) send(batch []outgoing) bool {
	var data []byte
	now := time.Now()
	for n := range batch {
		batch[n].startedAt = now
		batch[n].sentAt = now
		k.recorder.putCall(batch[n].call)
		data = append(data, batch[n].data...)
	}
	_ = k.conn.SetDeadline(now.Add(routeTimeout + callerPatience))
	_, err := k.conn.Write(data)
	now = time.Now()
	for n := range batch {
		batch[n].sentAt = now
		if err != nil {
			batch[n].ending, batch[n].endedAt = unsent, now
		}
		k.recorder.putCall(batch[n].call)
	}
	k.failed = err != nil
	return err == nil
}

// endBehind ends a request behind one that was not answered, or whose answer was the last.
func (k *keptConn) endBehind(c, before *call) {
	c.endedAt, c.left = time.Now(), before.left
	if c.ending, c.behindClose = before.ending, before.behindClose; before.ending == answered {
		c.ending, c.behindClose = closed, true
	}
	if c.ending == partial {
		c.ending = closed
	}
}

// maxLeaveAfter is the longest time that a caller waits that leaves early.
const maxLeaveAfter = 60 * time.Millisecond

// receive reads the answer to a request and reports whether the connection can be used again.
func (k *keptConn) receive(c *call, leaves bool) bool {
	// A host reads a pipelined request once the one before it is answered.
	deadline := time.Now().Add(c.timeout + callerPatience)
	if leaves {
		deadline = time.Now().Add(rand.N(maxLeaveAfter))
	}
	_ = k.conn.SetReadDeadline(deadline)
	_, err := k.br.Peek(1)
	if err == nil {
		return k.readAnswer(c, leaves)
	}
	c.endedAt = time.Now()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.ending, c.left = abandoned, leaves
	case errors.Is(err, syscall.ECONNRESET):
		c.ending = reset
	default:
		c.ending = closed
	}
	return false
}

// readAnswer reads an answer that has begun and checks that it is that of the request.
func (k *keptConn) readAnswer(c *call, leaves bool) bool {
	res, err := http.ReadResponse(k.br, nil)
	if err != nil && strings.Contains(err.Error(), "malformed") {
		k.recorder.addBreach(*c.breach(ruleAnswer, time.Now(), "bytes that are no answer: %v", err))
	}
	var body []byte
	if err == nil {
		defer res.Body.Close()
		body, err = io.ReadAll(res.Body)
	}
	c.endedAt = time.Now()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.ending, c.left = abandoned, leaves
		return false
	}
	if err != nil {
		c.ending = partial
		return false
	}
	c.ending, c.status = answered, res.StatusCode
	signed := res.Header.Get(platformtest.SignatureHeader)
	c.signed = signed != ""
	if wrong := c.verify(res.StatusCode, res.Header.Get(platform.Dialect().RequestID), signed, body); wrong != "" {
		k.recorder.addBreach(*c.breach(ruleAnswer, c.endedAt, "%s", wrong))
	}
	k.served = true
	return !res.Close
}

// silencePeek is how long a caller waits for bytes that no request asked for.
const silencePeek = time.Millisecond

// checkSilent checks that the host sent no success while no request was waiting. It reports whether
// the connection is still open.
func (k *keptConn) checkSilent() bool {
	_ = k.conn.SetReadDeadline(time.Now().Add(silencePeek))
	if _, err := k.br.Peek(1); err != nil {
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	_ = k.conn.SetReadDeadline(time.Now().Add(callerPatience))
	res, err := http.ReadResponse(k.br, nil)
	if err != nil || res.StatusCode < 400 {
		k.recorder.addBreach(breach{ruleAnswer, time.Now(), "", fmt.Sprintf("host %d sent bytes while no request was waiting: %v, %v", k.host+1, res, err)})
	}
	return false
}
