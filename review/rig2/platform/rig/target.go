package rig

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval of a target's records.
const heartbeat = 1500 * time.Millisecond

// Run is one request that a target ran.
type Run struct {
	ID, Method, Path, Target string
	BodyBytes                int64
	At                       time.Time
}

// Target is a stand-in for an upstream. It runs each request that reaches it, up to its slots at once, and
// rejects the others.
type Target struct {
	ID, Service, Zone, Address string
	Slots                      int
	Work                       time.Duration
	// failing is the percentage of the requests that the target runs and answers with 500.
	failing  atomic.Int64
	born     time.Time
	sequence atomic.Int64
	running  atomic.Int64
	store    *Store
	log      *Recorder

	mu   sync.Mutex
	runs map[string][]Run
}

// StartTarget serves a target on a loopback address and registers it in the store.
func StartTarget(store *Store, t *Target, log *Recorder) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.Address, t.born, t.store, t.log, t.runs = l.Addr().String(), time.Now(), store, log, map[string][]Run{}
	server := &http.Server{Handler: t, IdleTimeout: 30 * time.Second}
	go func() { _ = server.Serve(l) }()
	t.Beat()
	go func() {
		for range time.Tick(heartbeat) {
			t.Beat()
		}
	}()
	return nil
}

// Record returns the target's record in the store.
func (t *Target) Record() map[string]any {
	return map[string]any{
		"service": t.Service, "address": t.Address, "zone": t.Zone, "version": "v1", "slots": t.Slots, "state": "ready",
		"warmupLeft": "0ms", "sequence": t.sequence.Add(1), "born": t.born.UnixMilli(),
	}
}

// Beat writes the target's record to the store.
func (t *Target) Beat() { t.store.Put(TargetTopic, t.ID, t.Record()) }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != t.ID {
		h.Set("Instance-Id", t.ID)
		h.Set("Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Request-Id", id)
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	running := t.running.Add(1)
	defer t.running.Add(-1)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", min(running, int64(t.Slots)), t.Slots))
	if running > int64(t.Slots) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := Run{ID: id, Method: r.Method, Path: r.RequestURI, Target: t.ID, BodyBytes: n, At: time.Now()}
	t.mu.Lock()
	t.runs[id] = append(t.runs[id], run)
	t.mu.Unlock()
	t.log.Printf("run id=%s service=%s target=%s method=%s path=%s body=%d", id, t.Service, t.ID, r.Method, r.RequestURI, n)
	select {
	case <-time.After(t.Work):
	case <-r.Context().Done():
		return
	}
	h.Set("Response-Signature", "sig."+t.Service+"."+id)
	if rand.Int64N(100) < t.failing.Load() {
		w.WriteHeader(http.StatusInternalServerError)
	}
	fmt.Fprintf(w, "%s ran %s", t.ID, id)
}

// SetFailing sets the percentage of the requests that the target runs and answers with 500.
func (t *Target) SetFailing(percent int64) { t.failing.Store(percent) }

// Runs returns the runs of a request.
func (t *Target) Runs(id string) []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}
