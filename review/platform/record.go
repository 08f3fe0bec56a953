package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// recorder keeps what was sent, answered and run.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	sent  map[string]*sentRequest
	order []string
	notes []string
}

type sentRequest struct {
	id, class, line, host string
	idempotent            bool
	sentAt, endedAt       time.Duration
	body                  uint32
	// status is that of the answer, 0 if the connection ended without one, -1 if the caller gave up.
	status int
	detail string
	runs   []run
}

type run struct {
	at       time.Duration
	upstream string
	line     string
	body     uint32
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), sent: map[string]*sentRequest{}}
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f ", r.now().Seconds()) + fmt.Sprintf(format, args...)
	r.notes = append(r.notes, text)
	fmt.Println(text)
}

func (r *recorder) send(q *sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.sentAt = r.now()
	r.sent[q.id] = q
	r.order = append(r.order, q.id)
}

func (r *recorder) end(q *sentRequest, status int, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.endedAt, q.status, q.detail = r.now(), status, detail
}

func (r *recorder) ran(id, upstream, line string, body uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.sent[id]
	if q == nil {
		q = &sentRequest{id: id, class: "never sent"}
		r.sent[id] = q
		r.order = append(r.order, id)
	}
	q.runs = append(q.runs, run{r.now(), upstream, line, body})
}

// between counts the requests that were sent in a span, and those of them that were served.
func (r *recorder) between(class string, from, to time.Duration) (sent, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.sent {
		if (class == "" || q.class == class) && q.sentAt >= from && q.sentAt < to {
			sent++
			if q.status == 200 {
				served++
			}
		}
	}
	return sent, served
}

// write writes the record of the whole run.
func (r *recorder) write(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, n := range r.notes {
		b.WriteString(n + "\n")
	}
	b.WriteString("\nsent (s)  ended (s)  status  class  host  id  runs\n")
	ids := append([]string(nil), r.order...)
	sort.SliceStable(ids, func(i, j int) bool { return r.sent[ids[i]].sentAt < r.sent[ids[j]].sentAt })
	for _, id := range ids {
		q := r.sent[id]
		fmt.Fprintf(&b, "%.3f %.3f %d %s %s %s %s", q.sentAt.Seconds(), q.endedAt.Seconds(), q.status, q.class, q.host, q.id, q.detail)
		for _, x := range q.runs {
			fmt.Fprintf(&b, " [%.3f %s]", x.at.Seconds(), x.upstream)
		}
		b.WriteByte('\n')
	}
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		fmt.Println("record:", err)
	}
}
