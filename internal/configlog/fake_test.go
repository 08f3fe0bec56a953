package configlog_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/configlog"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

var errFault = errors.New("injected fault")

// fakeLog is a log service with faults.
type fakeLog struct {
	mu      sync.Mutex
	first   int64
	records []revision.Record
	down    bool
	// written is closed and replaced at every write.
	written chan struct{}
	// delay is added to every operation.
	delay time.Duration
	// onAppend, when set, handles one append and is cleared.
	onAppend func(data []byte) error
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Append(ctx context.Context, data []byte) (int64, error) {
	sleep(ctx, l.delay)
	var down bool
	var fault func([]byte) error
	l.set(func() { down, fault, l.onAppend = l.down, l.onAppend, nil })
	if down {
		return 0, &port.LogUnavailableError{Cause: errFault}
	}
	if fault != nil {
		return 0, fault(data)
	}
	return l.write(data), nil
}

// sleep waits for d. Receiving from a timer channel that is already due can
// crash the race detector of Go 1.26 in a synctest bubble, because several
// goroutines then share one race context; so the fake uses no such timer.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (l *fakeLog) write(data []byte) (offset int64) {
	l.set(func() {
		offset = int64(len(l.records))
		l.records = append(l.records, revision.Record{Offset: offset, Time: time.Now(), Data: data})
		close(l.written)
		l.written = make(chan struct{})
	})
	return offset
}

func (l *fakeLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (port.Batch, error) {
	sleep(ctx, l.delay)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		var written chan struct{}
		l.set(func() { written = l.written })
		batch, err := l.read(from, limit)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-written:
		case <-ctx.Done():
			return batch, nil
		}
	}
}

func (l *fakeLog) read(from int64, limit int) (port.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return port.Batch{}, &port.LogUnavailableError{Cause: errFault}
	}
	if from < l.first {
		return port.Batch{}, &port.TruncatedError{Offset: from, FirstOffset: l.first}
	}
	to := min(from+int64(limit), int64(len(l.records)))
	return port.Batch{FirstOffset: l.first, NextOffset: to, Records: append([]revision.Record(nil), l.records[from:to]...)}, nil
}

// host is one host's configuration log.
type host struct {
	*configlog.Follower
	writer *configlog.Writer
	mu     sync.Mutex
	events map[configlog.EventKind]int
}

func (h *host) count(k configlog.EventKind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events[k]
}

// fleet runs hosts on one log inside a synctest bubble.
type fleet struct {
	t   *testing.T
	ctx context.Context
	log *fakeLog
}

// inBubble runs a test in fake time and stops all hosts at its end.
func inBubble(t *testing.T, test func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		test(&fleet{t: t, ctx: ctx, log: &fakeLog{written: make(chan struct{})}})
	})
}

func (f *fleet) host(reading bool) *host {
	h := &host{events: map[configlog.EventKind]int{}}
	cfg := configlog.DefaultConfig()
	cfg.OnEvent = func(e configlog.Event) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.events[e.Kind]++
	}
	h.Follower = configlog.NewFollower(f.log, cfg)
	h.writer = configlog.NewWriter(f.log, h.Follower, revision.DefaultAppendConfig())
	h.SetReading(reading)
	go h.Run(f.ctx)
	return h
}

// propose adds a route to the host's active document.
func (f *fleet) propose(h *host, route, path string) revision.Report {
	f.t.Helper()
	return f.submit(h, f.draft(h, route, path))
}

func (f *fleet) submit(h *host, p revision.Proposal) revision.Report {
	f.t.Helper()
	report, err := h.writer.Propose(f.ctx, p)
	if err != nil {
		f.t.Fatal(err)
	}
	return report
}

// firstDocument is a valid document without routes.
const firstDocument = `
format: 1
name: desk
regions: [{name: wallonie, zones: [namur-a]}]
services:
  - name: order-svc
    targets: [{name: order-svc-1, address: "192.0.2.1:80", zone: namur-a}]
    classes: [{name: order}]
`

func (f *fleet) draft(h *host, route, path string) revision.Proposal {
	f.t.Helper()
	first, err := document.Parse([]byte(firstDocument))
	if err != nil {
		f.t.Fatal(err)
	}
	doc := *first
	if active := h.ActiveConfig().Document; active != nil {
		doc = *active
	}
	doc.Routes = append(doc.Routes[:len(doc.Routes):len(doc.Routes)], document.Route{Name: route, PathPrefix: path, Service: "order-svc", Class: "order"})
	p, err := h.Draft(&doc, "operator", "")
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

// want checks that a host is at a revision with the chain of another host.
func (f *fleet) want(h *host, rev uint64, same *host) {
	f.t.Helper()
	s := h.Status()
	if s.Revision != rev || (same != nil && s.Chain != same.Status().Chain) {
		f.t.Errorf("revision %d chain %s as of %d, want revision %d, same chain", s.Revision, s.Chain, s.AsOf, rev)
	}
}

// largePath makes a proposal of several chunks.
func largePath(seed uint64) string {
	const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	rng := rand.New(rand.NewPCG(seed, 0))
	b := make([]byte, 400<<10)
	for i := range b {
		b[i] = alphabet[rng.IntN(len(alphabet))]
	}
	return fmt.Sprintf("/%s", b)
}
