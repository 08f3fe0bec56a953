package target

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Response is a response whose head has arrived. It is used by one goroutine.
type Response struct {
	Status int
	// Header has no hop-by-hop headers.
	Header http.Header
	// ContentLength is the length of Body, -1 if unknown. For a HEAD request
	// it is what the header declares.
	ContentLength int64
	// Body returns an error other than io.EOF unless the response is complete.
	Body io.Reader
	// Unverifiable tells that only the end of the connection marks the end of
	// the body: a truncated body can't be told from a complete one.
	Unverifiable bool
	// Draining tells that the target announced that it is draining.
	Draining bool

	x     *exchange
	body  io.ReadCloser
	close bool
	// identified tells that the response names this request.
	identified bool
	meaning    outcome.Classification
	done       bool
	err        error
	res        attempt.Result
}

// errFinished is returned by reads after Finish.
var errFinished = errors.New("target: the response was finished")

type bodyReader struct{ r *Response }

// Read reads the body. io.EOF means that the response is complete.
func (b bodyReader) Read(p []byte) (int, error) {
	r := b.r
	if r.done {
		return 0, r.err
	}
	n, err := r.body.Read(p)
	switch {
	case err == io.EOF:
		r.complete()
		err = r.err
	case err != nil:
		r.failed(err)
	}
	return n, err
}

// Finish ends the attempt and returns its result. When the body was not read
// to its end, the attempt counts as canceled and the connection is closed.
func (r *Response) Finish() attempt.Result {
	if !r.done {
		r.failed(errFinished)
	}
	return r.res
}

// failed ends the attempt without a complete response.
func (r *Response) failed(err error) {
	r.done, r.err = true, err
	if err == errFinished {
		r.x.giveUp(err)
	}
	r.res = r.x.fail(err)
}

// complete ends the attempt after the last byte of the response and keeps the
// connection if it can carry another request.
func (r *Response) complete() {
	x := r.x
	extra := x.c.br.Buffered() > 0
	if extra && !r.identified {
		r.failed(ErrResponseTooLong)
		return
	}
	r.done, r.err = true, io.EOF
	x.settleWriter(x.t.cfg.BodyFlushWait)
	whole := x.requestWritten()
	detached := x.detach()
	// The result is taken first: once the connection is in the pool, another
	// attempt changes it.
	r.res = x.end(outcome.Event{Kind: outcome.ResponseComplete, Classification: r.meaning}, nil)
	if whole && detached && !extra && !r.close && !r.Draining {
		x.t.pool.put(x.c, time.Now())
	} else {
		x.t.pool.abandon(x.c, false)
	}
}

// requestWritten tells whether the whole request was written.
func (x *exchange) requestWritten() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.machine.FullySent()
}
