package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Archive is a stand-in for an upstream that stores uploads. It reads at most BytesPerSecond. If Early is
// set, it answers as soon as it has read the first part of a long body, keeps the connection and reads on.
type Archive struct {
	*Target
	Early          bool
	BytesPerSecond int64

	mu     sync.Mutex
	stored map[string]Stored
}

// Stored is what an archive got of an upload.
type Stored struct {
	Got, Declared int64
	Done          bool
	Err           error
}

// firstPart is the part of a body after which an early answer is sent.
const firstPart = 64 << 10

// StartArchive serves an archive on a loopback address and registers it in the store.
func StartArchive(store *Store, a *Archive, log *Recorder) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a.Address, a.born, a.store, a.log, a.stored = l.Addr().String(), time.Now(), store, log, map[string]Stored{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(c)
		}
	}()
	a.Beat()
	go func() {
		for range time.Tick(heartbeat) {
			a.Beat()
		}
	}()
	return nil
}

// serve answers the requests of one connection.
func (a *Archive) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !a.serveUpload(c, r) {
			return
		}
	}
}

// serveUpload runs one upload and reports whether the connection can carry another request.
func (a *Archive) serveUpload(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != a.ID {
		a.answer(c, id, http.StatusMisdirectedRequest, "Instance-Id: "+a.ID+"\r\n", "")
		return false
	}
	a.log.Printf("run id=%s service=%s target=%s method=%s path=%s declared=%d", id, a.Service, a.ID, r.Method, r.RequestURI, r.ContentLength)
	s := Stored{Declared: r.ContentLength}
	answered := false
	success := func() {
		answered = true
		a.log.Printf("answer id=%s status=200 after %d of %d bytes", id, s.Got, s.Declared)
		a.answer(c, id, http.StatusOK, "Response-Signature: sig."+a.Service+"."+id+"\r\n", "stored "+id)
	}
	start := time.Now()
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buf)
		s.Got += int64(n)
		if err != nil {
			s.Done = true
			if err != io.EOF {
				s.Err = err
			}
			break
		}
		if a.Early && !answered && s.Got >= firstPart {
			success()
		}
		if ahead := time.Duration(float64(s.Got)/float64(a.BytesPerSecond)*float64(time.Second)) - time.Since(start); ahead > 0 {
			time.Sleep(ahead)
		}
	}
	a.log.Printf("body id=%s got=%d declared=%d err=%v", id, s.Got, s.Declared, s.Err)
	a.mu.Lock()
	a.stored[id] = s
	a.mu.Unlock()
	if s.Err != nil {
		return false
	}
	if !answered {
		success()
	}
	return true
}

func (a *Archive) answer(c net.Conn, id string, status int, headers, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %s\r\n\r\n%s", status, http.StatusText(status), id, headers, strconv.Itoa(len(body)), body)
}

// Stored returns what the archive got of an upload, and whether any of it reached it.
func (a *Archive) Stored(id string) (Stored, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.stored[id]
	return s, ok
}
