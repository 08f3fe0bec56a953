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

// response is the response that a caller received.
type response struct {
	status           int
	outcome          string
	body             string
	closesConnection bool
	revision         string
}

// send sends a request without retries.
func send(client *http.Client, method, url string, header http.Header) (response, error) {
	var body io.Reader
	if method == http.MethodPost {
		// net/http can't rewind a reader of this type, so it doesn't retry the
		// request.
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

// caller uses the hosts in address responses like the platform's callers do. It
// is not safe for concurrent use.
type caller struct {
	service       string
	hostURLs      []string
	hostsExpireAt time.Time
	client        *http.Client
}

func (f *fleet) newCaller(service string) *caller {
	c := &caller{service: service, client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}}
	for _, h := range f.hosts {
		c.hostURLs = append(c.hostURLs, h.caller)
	}
	f.t.Cleanup(c.client.CloseIdleConnections)
	return c
}

// addresses returns the base URLs of the hosts to use, in order of preference. It
// fetches new addresses when the last response has expired.
func (c *caller) addresses() ([]string, error) {
	if time.Now().Before(c.hostsExpireAt) {
		return c.hostURLs, nil
	}
	a, err := c.fetchAddresses("")
	if err != nil {
		return nil, err
	}
	return c.hostURLs, a.err
}

type addressResponse struct {
	ingress.AddressResponse
	err error
}

// fetchAddresses returns the address response of the first host that provides
// one.
func (c *caller) fetchAddresses(query string) (addressResponse, error) {
	err := errors.New("no known hosts")
	for _, url := range c.hostURLs {
		requestedAt := time.Now()
		var a addressResponse
		if err = get(url+"/.sapphirehaven/v1/addresses?service="+c.service+query, &a.AddressResponse); err != nil || len(a.Hosts) == 0 {
			continue
		}
		c.hostURLs, c.hostsExpireAt = nil, requestedAt.Add(time.Duration(a.MaxAgeMs)*time.Millisecond)
		for _, h := range a.Hosts {
			c.hostURLs = append(c.hostURLs, "http://"+h.Address)
		}
		return a, nil
	}
	return addressResponse{}, err
}

// lookup sends an idempotent request and tries the next address when one fails.
// It returns the number of failed attempts.
func (c *caller) lookup(path string) (failures int, err error) {
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

// notice is a non-idempotent request and the last response to it.
type notice struct {
	key, ticket  string
	lastResponse response
	// hasResponse is true if a response was received.
	hasResponse bool
}

// sendNotice sends a request with a ticket. It retries with the same ticket at
// the other addresses until it receives a response.
func (c *caller) sendNotice(key string, header http.Header) (notice, error) {
	n := notice{key: key}
	for range 20 {
		a, err := c.fetchAddresses("&tickets=1")
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
	for _, address := range c.hostURLs {
		var err error
		if n.lastResponse, err = send(c.client, http.MethodPost, address+"/notices/1", n.header(header)); err == nil {
			n.hasResponse = true
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

// executions returns the number of executions of each run key over all notice
// targets.
func (f *fleet) executions() map[string]int {
	f.t.Helper()
	sum := map[string]int{}
	for _, address := range f.noticeTargets {
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

// checkExecutions compares the outcomes that callers received with the executions
// at the targets.
func (f *fleet) checkExecutions(notices []notice) (answered, notRun, unknown int) {
	f.t.Helper()
	executions := f.executions()
	for _, n := range notices {
		count := executions[n.key]
		mismatch := count > 1
		switch {
		case !n.hasResponse || n.lastResponse.outcome == ingress.OutcomeUnknown:
			unknown++
		case n.lastResponse.outcome == ingress.OutcomeAnswered:
			answered++
			mismatch = count != 1
		case n.lastResponse.outcome == ingress.OutcomeNotRun:
			notRun++
			mismatch = count != 0
		default:
			mismatch = true
		}
		if mismatch {
			f.t.Errorf("%s was executed %d times, but its caller got outcome %q: %d %s", n.key, count, n.lastResponse.outcome, n.lastResponse.status, n.lastResponse.body)
		}
	}
	return answered, notRun, unknown
}

// load generates a bounded number of requests from concurrent workers.
type load struct {
	workerGroup sync.WaitGroup
	mu          sync.Mutex
	completed   int
	retried     int
	notices     []notice
}

// start starts workers that each send up to the given number of requests, with
// pauses, until stop is closed.
func (l *load) start(workers, requests int, stop <-chan struct{}, request func(worker, i int)) {
	for worker := range workers {
		l.workerGroup.Add(1)
		go func() {
			defer l.workerGroup.Done()
			for i := range requests {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				request(worker, i)
				l.mu.Lock()
				l.completed++
				l.mu.Unlock()
			}
		}()
	}
}

func (l *load) requestCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completed
}

// startLookups starts workers that send lookups to the hosts in address
// responses.
func (f *fleet) startLookups(t testing.TB, l *load, workers, requests int, stop <-chan struct{}) {
	callers := make([]*caller, workers)
	for i := range callers {
		callers[i] = f.newCaller("index")
	}
	l.start(workers, requests, stop, func(worker, i int) {
		failures, err := callers[worker].lookup(fmt.Sprintf("/errata/%d", i))
		if err != nil {
			t.Errorf("a lookup failed at all addresses: %v", err)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.retried += failures
	})
}

// startNotices starts workers that send notices with tickets. Every eighth notice
// has a deadline that is too short, so that some are refused.
func (f *fleet) startNotices(t testing.TB, l *load, workers, requests int, stop <-chan struct{}) {
	callers := make([]*caller, workers)
	for i := range callers {
		callers[i] = f.newCaller("press")
	}
	l.start(workers, requests, stop, func(worker, i int) {
		header := http.Header{}
		if i%8 == 7 {
			header.Set(dialect.Native().Deadline, "1")
		}
		n, err := callers[worker].sendNotice(fmt.Sprintf("notice-%d-%d", worker, i), header)
		if err != nil {
			t.Errorf("no ticket for a notice: %v", err)
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.notices = append(l.notices, n)
	})
}
