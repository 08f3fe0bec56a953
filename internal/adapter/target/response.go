package target

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Response is a response whose head has arrived. It is not safe for concurrent use.
type Response struct {
	Status int
	// Header contains no hop-by-hop headers.
	Header http.Header
	// ContentLength is the length of Body, or -1 if unknown. For a HEAD request
	// it is the declared length.
	ContentLength int64
	// Body returns an error other than io.EOF unless the response is complete.
	Body io.Reader
	// Unverifiable reports that the body is delimited by the close of the
	// connection, so that a truncated body cannot be distinguished from a complete
	// one, and that the dialect does not accept such responses.
	Unverifiable bool
	// Draining reports whether the target announced that it is draining.
	Draining bool

	x     *exchange
	body  io.ReadCloser
	close bool
	// closeDelimited is set if only the close of the connection ends the body.
	closeDelimited bool
	// requestIDMatches reports whether the response carries the ID of this request.
	requestIDMatches bool
	classification   outcome.Classification
	ended            bool
	err              error
	result           attempt.Result
}

// errUnreadBody is the error of an attempt whose Response was finished before its
// end, and of reads after that.
var errUnreadBody = errors.New("target: the response was finished before its end")

// Rejection reports whether the status and header of the response state that the target
// rejected the request. Whether the request did not run is part of the result.
func (r *Response) Rejection() bool {
	return r.classification.Kind == attempt.Shed || r.classification.Kind == attempt.Draining
}

type bodyReader struct{ r *Response }

// Read reads the body. io.EOF means that the response is complete.
func (b bodyReader) Read(p []byte) (int, error) {
	r := b.r
	if r.ended {
		return 0, r.err
	}
	n, err := r.body.Read(p)
	r.x.responseBytes += int64(n)
	switch {
	case err == io.EOF && r.closeDelimited && r.x.resetWhileWriting():
		err = io.ErrUnexpectedEOF
		r.endWithError(err)
	case err == io.EOF:
		r.complete()
		err = r.err
	case err != nil:
		r.endWithError(err)
	}
	return n, err
}

// Finish ends the attempt and returns its result. If the body was not read to its
// end, the attempt counts as canceled and the connection is closed.
func (r *Response) Finish() attempt.Result {
	if !r.ended {
		r.endWithError(errUnreadBody)
	}
	return r.result
}

// endWithError ends the attempt without a complete response.
func (r *Response) endWithError(err error) {
	r.ended, r.err = true, err
	if err == errUnreadBody {
		r.x.abort(err)
	}
	r.result = r.x.fail(err)
}

// complete ends the attempt after the last byte of the response. It returns the
// connection to the pool if it can carry another request, and closes it otherwise.
func (r *Response) complete() {
	x := r.x
	extra := x.c.br.Buffered() > 0
	if extra && !r.requestIDMatches {
		r.endWithError(ErrResponseTooLong)
		return
	}
	if extra {
		// The further bytes may be the response to the request, so that a rejection
		// before them does not prove that the target did not run it.
		r.classification.NotRun = false
	}
	reuse := !extra && !r.close && !r.Draining
	if r.classification.NotRun {
		reuse = x.c.recordRejection(x.a.RequestID, r.requestIDMatches) && reuse
	}
	r.ended, r.err = true, io.EOF
	if r.Status < http.StatusMultipleChoices && x.writesBody() {
		r.completeBeforeRequest(reuse)
		return
	}
	x.stopWriter(x.t.cfg.BodyFlushWait)
	wholeRequest := x.requestWritten()
	contextLive := x.stopWatchingContext()
	// The result is determined first: as soon as the connection is in the pool,
	// another attempt may modify it.
	r.result = x.end(outcome.Event{Kind: outcome.ResponseComplete, Classification: r.classification}, nil)
	if wholeRequest && contextLive && reuse {
		x.t.pool.putIdle(x.c, time.Now())
	} else {
		if !wholeRequest || r.Status >= http.StatusMultipleChoices {
			x.t.pool.discardUnsent(x.c)
		}
		x.t.pool.closeInUse(x.c, false)
	}
}

// requestWritten reports whether the whole request was written.
func (x *exchange) requestWritten() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.RequestWritten()
}
