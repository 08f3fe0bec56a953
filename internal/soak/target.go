package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/platform"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

// targetFaults are the faults of a target.
type targetFaults struct {
	// failing answers half of the requests with 500, truncating cuts a part of the answers, and
	// garbling replaces a part of them by bytes that are no answer.
	failing, truncating, garbling bool
	// repeating rejects a part of the requests, and sends a part of the answers and all rejections
	// a second time, late.
	repeating bool
	// slow adds to the duration of each request.
	slow time.Duration
}

// faultyShare is the number of requests of which a fault hits one.
const faultyShare = 3

// hits reports whether a fault hits a request.
func hits(fault, id string, share uint64) bool { return hash(fault+id)%share == 0 }

// Durations of requests at a target without faults.
const (
	minWork      = 4 * time.Millisecond
	workSpread   = 30 * time.Millisecond
	longWork     = 1200 * time.Millisecond
	longShare    = 25
	maxBodyBytes = 1 << 20
	// slotsOfTarget is the number of requests that a target works on at the same time.
	slotsOfTarget = 24
)

// target is one process of a target.
type target struct {
	platformtest.Target
	place    int
	recorder *recorder
	listener net.Listener

	mu      sync.Mutex
	faults  targetFaults
	leaving bool
	// notices is set if the answers state that the target leaves.
	notices bool
	// pausedUntil is the end of the pause that the target asks for; pauseStated is set once it has.
	pausedUntil time.Time
	pauseStated bool
	// unlisted is set once the record of the target has been removed.
	unlisted bool
	ended    bool
	running  map[runKey]bool
	conns    map[net.Conn]bool
}

// runKey names a run of the recorder.
type runKey struct {
	id    string
	index int
}

// startTarget starts a target on a free address of its own.
func startTarget(t platformtest.Target, place int, r *recorder) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &target{Target: t, place: place, recorder: r, listener: listener, running: map[runKey]bool{}, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

func (t *target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		go t.serve(conn)
	}
}

func (t *target) setFaults(f targetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// end ends the process: what runs is broken off, and its connections are reset.
func (t *target) end() {
	t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	for key := range t.running {
		t.recorder.endRun(key.id, key.index, brokeOff)
	}
	for conn := range t.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

func (t *target) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	x := &exchange{target: t, conn: conn, br: bufio.NewReader(conn)}
	for x.next() {
	}
}

// exchange serves the requests of one connection.
type exchange struct {
	*target
	conn net.Conn
	br   *bufio.Reader
	// copy is an answer that is sent once more before the next one.
	copy []byte
}

// next serves one request and reports whether another may follow.
func (x *exchange) next() bool {
	req, err := http.ReadRequest(x.br)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyBytes))
	if err != nil {
		return false
	}
	if leaks(req.RequestURI, req.Header, req.Trailer) {
		x.recorder.addBreach(breach{ruleKey, time.Now(), req.Header.Get(platform.Dialect().RequestID), fmt.Sprintf("target %s got a key with %s %s", x.ID, req.Method, req.RequestURI)})
	}
	if req.URL.Path == platformtest.HealthPath {
		return x.answerHealth()
	}
	d := platform.Dialect()
	remaining, _ := strconv.Atoi(req.Header.Get(d.Deadline))
	r := run{
		request: request{req.Header.Get(d.RequestID), req.Method, req.URL.RequestURI(), sum(body)},
		target:  x.ID, service: x.Service, place: x.place, at: time.Now(), remaining: time.Duration(remaining) * time.Millisecond,
		team: toldTeam(req.Header, req.Trailer),
	}
	if expected := req.Header.Get(d.ExpectTarget); expected != "" && expected != x.ID {
		r.expected = expected
		return x.reject(r, http.StatusMisdirectedRequest, rejectedInstance, "")
	}
	if left := x.pauseLeft(); left > 0 {
		return x.reject(r, http.StatusServiceUnavailable, rejected, fmt.Sprintf("Retry-After: %.3f\r\n", left.Seconds()))
	}
	key, faults, ok := x.begin(r)
	if !ok {
		return x.reject(r, http.StatusServiceUnavailable, rejected, "")
	}
	time.Sleep(workTime(r.id) + faults.slow)
	return x.answer(r.request, key, faults)
}

// workTime returns how long a target without faults works on a request.
func workTime(id string) time.Duration {
	choice := hash("work" + id)
	if choice%longShare == 0 {
		return longWork
	}
	return minWork + time.Duration(choice/longShare)%workSpread
}

// pauseLeft returns the rest of the pause that the target asks for. The pause counts from its first
// statement.
func (t *target) pauseLeft() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := time.Until(t.pausedUntil)
	if left > 0 && !t.pauseStated {
		t.pauseStated = true
		t.recorder.addPause(requestedPause{t.ID, time.Now(), t.pausedUntil})
	}
	return left
}

// pause makes the target ask for a pause.
func (t *target) pause(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pausedUntil, t.pauseStated = time.Now().Add(d), false
}

// begin takes a slot for a request.
func (t *target) begin(r run) (runKey, targetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.running) >= slotsOfTarget || t.ended {
		return runKey{}, targetFaults{}, false
	}
	r.progress, r.leaving = working, t.leaving && t.notices
	index := t.recorder.startRun(r)
	key := runKey{r.id, index}
	t.running[key] = true
	return key, t.faults, true
}

// finish gives the slot of a request back and records its result. It returns false if the process
// has ended.
func (t *target) finish(key runKey, p progress) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, key)
	if t.ended {
		return false
	}
	t.recorder.endRun(key.id, key.index, p)
	return true
}

// reject states that a request did not run.
func (x *exchange) reject(r run, status int, p progress, header string) bool {
	r.endedAt, r.progress = r.at, p
	x.recorder.startRun(r)
	return x.write(rejection(r.request, status, header))
}

// rejection returns the bytes of an answer that states that the request did not run.
func rejection(r request, status int, header string) []byte {
	d := platform.Dialect()
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), d.RequestID, r.id, d.NotRun, header)
}

func (x *exchange) answerHealth() bool {
	x.mu.Lock()
	// A part of the targets passes health checks until the end, so that hosts learn only from the store
	// that these leave.
	leaving := x.leaving && hash("health"+x.ID)%2 == 0
	x.mu.Unlock()
	status := http.StatusOK
	if leaving {
		status = http.StatusServiceUnavailable
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), platformtest.InstanceHeader, x.ID)
	return x.write([]byte(head))
}

// answer sends the answer to a request, or what a fault makes of it.
func (x *exchange) answer(r request, key runKey, faults targetFaults) bool {
	status := http.StatusOK
	if faults.failing && hits("fail", r.id, 2) {
		status = http.StatusInternalServerError
	}
	data, last := x.render(r, status)
	result, rejects := complete, faults.repeating && hits("reject", r.id, faultyShare)
	if rejects {
		result, last = rejected, false
		data = rejection(r, http.StatusServiceUnavailable, "")
	}
	switch {
	case faults.truncating && hits("truncate", r.id, faultyShare):
		if last {
			// The answer may end with its connection. A clean end would make it look complete.
			_ = x.conn.(*net.TCPConn).SetLinger(0)
		}
		return x.finish(key, brokeOff) && x.write(data[:len(data)*2/3]) && false
	case faults.garbling && hits("garble", r.id, faultyShare):
		return x.finish(key, brokeOff) && x.write([]byte("these bytes are no answer\r\n\r\n")) && false
	case x.copy != nil:
		// The host can't tell what follows a stray answer.
		stray := x.copy
		x.copy = nil
		if !rejects {
			result = brokeOff
		}
		return x.finish(key, result) && x.write(append(stray, data...)) && !last
	}
	if !x.finish(key, result) || !x.write(data) || last {
		return false
	}
	if rejects || faults.repeating && hits("repeat", r.id, faultyShare) {
		return x.repeat(r, data)
	}
	return true
}

// repeat sends an answer once more: at once, a little later, or before the answer to the next request.
// A part of the copies has no ID.
func (x *exchange) repeat(r request, data []byte) bool {
	choice := hash("copy" + r.id)
	if choice%2 == 0 {
		line := fmt.Sprintf("%s: %s\r\n", platform.Dialect().RequestID, r.id)
		data = bytes.Replace(data, []byte(line), nil, 1)
	}
	const maxPause = 40 * time.Millisecond
	switch (choice / 2) % 3 {
	case 0:
		return x.write(data)
	case 1:
		time.Sleep(rand.N(maxPause))
		return x.write(data)
	}
	x.copy = data
	return true
}

// render returns the bytes of an answer, and whether it is the last on its connection.
func (x *exchange) render(r request, status int) (data []byte, last bool) {
	body := r.answerBody(x.ID)
	x.mu.Lock()
	last = x.leaving && hash("close"+r.id)%2 == 0
	states := x.leaving && x.notices
	x.mu.Unlock()
	framing := "length"
	switch hash("framing"+r.id) % 10 {
	case 0:
		framing, last = "end", true
	case 1, 2:
		framing = "chunks"
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n", status, http.StatusText(status), platform.Dialect().RequestID, r.id, platformtest.SignatureHeader, signature(status, body))
	if last {
		b.WriteString("Connection: close\r\n")
	}
	if states {
		b.WriteString(platformtest.LeavingHeader + ": 1\r\n")
	}
	switch framing {
	case "length":
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
		b.Write(body)
	case "chunks":
		half := len(body) / 2
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	case "end":
		b.WriteString("\r\n")
		b.Write(body)
	}
	return b.Bytes(), last
}

func (x *exchange) write(data []byte) bool {
	_, err := x.conn.Write(data)
	return err == nil
}
