package soak

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// storeFaults are the faults of the store for one host.
type storeFaults struct {
	// refuses answers all calls with 503.
	refuses bool
	// losesAnswers does what is asked and never answers.
	losesAnswers bool
	// delay holds back each answer after it was made, so that it may be older than one that is
	// received before it.
	delay time.Duration
}

// storeFront is the store as one host sees it.
type storeFront struct {
	address string
	store   http.Handler
	server  *http.Server

	mu     sync.Mutex
	faults storeFaults
}

func newStoreFront(store http.Handler) (*storeFront, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	f := &storeFront{address: listener.Addr().String(), store: store}
	f.server = &http.Server{Handler: f}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

func (f *storeFront) setFaults(s storeFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = s
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	switch {
	case faults.refuses:
		http.Error(w, "the store is down", http.StatusServiceUnavailable)
	case faults.losesAnswers:
		f.store.ServeHTTP(discardResponse{}, r)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
		f.store.ServeHTTP(&delayedResponse{w, faults.delay}, r)
	}
}

// delayedResponse is a response that is held back before its first byte.
type delayedResponse struct {
	http.ResponseWriter
	delay time.Duration
}

func (d *delayedResponse) Write(p []byte) (int, error) {
	time.Sleep(d.delay)
	d.delay = 0
	return d.ResponseWriter.Write(p)
}

// discardResponse is a response that is lost.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(p []byte) (int, error) { return len(p), nil }
func (discardResponse) WriteHeader(int)             {}
