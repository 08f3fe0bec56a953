//go:build linux

package systemtest

import (
	"errors"
	"fmt"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
)

var httpClient = &http.Client{Timeout: 20 * time.Second}

// response is what a caller got.
type response struct {
	status       int
	outcome      string
	body         string
	closesAfter  bool
	revisionSeen string
}

// send makes one request; nothing repeats it.
func send(client *http.Client, method, url string, header http.Header) (response, error) {
	var body io.Reader
	if method == http.MethodPost {
		// A reader of an unknown type keeps net/http from repeating the request.
		body = io.MultiReader(strings.NewReader("retract article 17"))
	}
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return response{}, err
	}
	if header != nil {
		req.Header = header
	}
	res, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header.Get(dialect.Native().Outcome), string(data), res.Close, res.Header.Get(dialect.Native().Revision)}, err
}

// caller follows address answers as the platform's callers do. It is not safe
// for concurrent use.
type caller struct {
	service string
	known   []string
	expires time.Time
	client  *http.Client
}

func (f *fleet) newCaller(service string) *caller {
	c := &caller{service: service, client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}}
	for _, h := range f.hosts {
		c.known = append(c.known, h.caller)
	}
	f.t.Cleanup(c.client.CloseIdleConnections)
	return c
}

// addresses returns the hosts to use, in order, and asks again when the last
// answer has run out.
func (c *caller) addresses() ([]string, error) {
	if time.Now().Before(c.expires) {
		return c.known, nil
	}
	a, err := c.ask("")
	if err != nil {
		return nil, err
	}
	return c.known, a.err
}

type addressAnswer struct {
	ingress.AddressResponse
	err error
}

// ask takes an answer from the first host that gives one.
func (c *caller) ask(query string) (addressAnswer, error) {
	err := errors.New("no host known")
	for _, url := range c.known {
		asked := time.Now()
		var a addressAnswer
		if err = get(url+"/.sapphirehaven/v1/addresses?service="+c.service+query, &a.AddressResponse); err != nil || len(a.Hosts) == 0 {
			continue
		}
		c.known, c.expires = nil, asked.Add(time.Duration(a.MaxAgeMs)*time.Millisecond)
		for _, h := range a.Hosts {
			c.known = append(c.known, "http://"+h.Address)
		}
		return a, nil
	}
	return addressAnswer{}, err
}

// lookup sends an idempotent request and tries the other addresses when one
// does not answer. It returns the number of failed tries.
func (c *caller) lookup(path string) (tries int, err error) {
	addresses, err := c.addresses()
	if err != nil {
		return 0, err
	}
	for i, address := range addresses {
		var r response
		if r, err = send(c.client, http.MethodGet, address+path, nil); err == nil && r.status == http.StatusOK {
			return i, nil
		}
		if err == nil {
			err = fmt.Errorf("%s: status %d, outcome %s: %s", address, r.status, r.outcome, r.body)
		}
	}
	return len(addresses), err
}

// notice is a non-idempotent request and what its caller was told.
type notice struct {
	key, ticket string
	told        response
	// certain tells that the last response named an outcome.
	certain bool
}

// ticketed sends a request with a ticket, and repeats it with the same ticket
// at other addresses until an outcome is told.
func (c *caller) ticketed(key string, header http.Header) (notice, error) {
	n := notice{key: key}
	for range 20 {
		a, err := c.ask("&tickets=1")
		if err != nil {
			return n, err
		}
		if len(a.Tickets) > 0 {
			n.ticket = a.Tickets[0]
			break
		}
	}
	if n.ticket == "" {
		return n, errors.New("no ticket")
	}
	for _, address := range c.known {
		var err error
		if n.told, err = send(c.client, http.MethodPost, address+"/notices/1", n.header(header)); err == nil {
			n.certain = true
			return n, nil
		}
	}
	return n, nil
}

func (n *notice) header(extra http.Header) http.Header {
	h := http.Header{"X-Run-Key": {n.key}, dialect.Native().Ticket: {n.ticket}}
	for name, values := range extra {
		h[name] = values
	}
	return h
}

// runs adds up the executions of each run key at the targets.
func (f *fleet) runs() map[string]int {
	f.t.Helper()
	sum := map[string]int{}
	for _, address := range f.press {
		var report struct{ Runs map[string]int }
		if err := get("http://"+address+"/runs", &report); err != nil {
			f.t.Fatal(err)
		}
		for key, count := range report.Runs {
			sum[key] += count
		}
	}
	return sum
}

// checkRuns compares what callers were told with what the targets executed.
func (f *fleet) checkRuns(notices []notice) (answered, notRun, unknown int) {
	f.t.Helper()
	runs := f.runs()
	for _, n := range notices {
		count := runs[n.key]
		wrong := count > 1
		switch {
		case !n.certain || n.told.outcome == ingress.OutcomeUnknown:
			unknown++
		case n.told.outcome == ingress.OutcomeAnswered:
			answered++
			wrong = count != 1
		case n.told.outcome == ingress.OutcomeNotRun:
			notRun++
			wrong = count != 0
		default:
			wrong = true
		}
		if wrong {
			f.t.Errorf("%s ran %d times, its caller was told %q: %d %s", n.key, count, n.told.outcome, n.told.status, n.told.body)
		}
	}
	return answered, notRun, unknown
}

// load is a bounded stream of requests of several callers.
type load struct {
	done    sync.WaitGroup
	mu      sync.Mutex
	count   int
	retried int
	notices []notice
}

// run starts workers that make a bounded number of requests each, with pauses,
// until stop is closed.
func (l *load) run(workers, requests int, stop <-chan struct{}, request func(worker, i int)) {
	for worker := range workers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			for i := range requests {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				request(worker, i)
				l.mu.Lock()
				l.count++
				l.mu.Unlock()
			}
		}()
	}
}

func (l *load) requests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// lookupLoad makes workers follow address answers with lookups.
func (f *fleet) lookupLoad(t testing.TB, l *load, workers, requests int, stop <-chan struct{}) {
	callers := make([]*caller, workers)
	for i := range callers {
		callers[i] = f.newCaller("index")
	}
	l.run(workers, requests, stop, func(worker, i int) {
		tries, err := callers[worker].lookup(fmt.Sprintf("/errata/%d", i))
		if err != nil {
			t.Errorf("a lookup was lost: %v", err)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.retried += tries
	})
}

// noticeLoad makes workers send notices with tickets. Every eighth has too
// short a deadline, so that some are refused.
func (f *fleet) noticeLoad(t testing.TB, l *load, workers, requests int, stop <-chan struct{}) {
	callers := make([]*caller, workers)
	for i := range callers {
		callers[i] = f.newCaller("press")
	}
	l.run(workers, requests, stop, func(worker, i int) {
		header := http.Header{}
		if i%8 == 7 {
			header.Set(dialect.Native().Deadline, "1")
		}
		n, err := callers[worker].ticketed(fmt.Sprintf("notice-%d-%d", worker, i), header)
		if err != nil {
			t.Errorf("a notice got no ticket: %v", err)
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.notices = append(l.notices, n)
	})
}
