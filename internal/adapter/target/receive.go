package target

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// maxInformational bounds the 1xx responses before a final one.
const maxInformational = 8

// receive reads the head of the final response.
func (x *exchange) receive() (*Response, error) {
	for range maxInformational {
		head, err := x.readHead()
		if err != nil {
			return nil, err
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: unexpected upgrade", ErrBadResponse)
		}
		if head.StatusCode >= 200 {
			return x.respond(head)
		}
	}
	return nil, fmt.Errorf("%w: too many informational responses", ErrBadResponse)
}

// readHead reads one response head within the bound.
func (x *exchange) readHead() (*http.Response, error) {
	x.c.limitHead(x.t.cfg.MaxHeadBytes)
	defer x.c.unlimit()
	if err := x.awaitFirstByte(); err != nil {
		if err == io.EOF && !x.responded {
			return nil, ErrPeerClosed
		}
		return nil, err
	}
	if !x.responded {
		if x.boundsSilence() {
			x.c.boundRead(time.Time{})
		}
		x.responded = true
		x.firstByte = time.Since(x.start)
		x.apply(outcome.ResponseStarted)
	}
	head, err := http.ReadResponse(x.c.br, &http.Request{Method: x.a.Method})
	if err != nil {
		return nil, headError(err)
	}
	return head, nil
}

// awaitFirstByte waits for the first byte of a head.
func (x *exchange) awaitFirstByte() error {
	if x.boundsSilence() {
		x.c.boundRead(time.Now().Add(x.a.SilentTimeout))
	}
	_, err := x.c.br.Peek(1)
	if x.boundsSilence() && errors.Is(err, os.ErrDeadlineExceeded) && x.ctx.Err() == nil {
		return ErrSilent
	}
	return err
}

// boundsSilence tells whether SilentTimeout applies now.
func (x *exchange) boundsSilence() bool {
	return x.a.SilentTimeout > 0 && x.c.reused && !x.responded && x.requestWritten()
}

// headError separates a malformed head from a broken connection.
func headError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, ErrHeadTooLarge), errors.As(err, &netErr):
		return err
	}
	return fmt.Errorf("%w: %w", ErrBadResponse, err)
}

// respond checks a final head and prepares the body.
func (x *exchange) respond(head *http.Response) (*Response, error) {
	if id := head.Header.Get(headerRequestID); id != "" && x.a.RequestID != "" && id != x.a.RequestID {
		return nil, ErrRequestIDMismatch
	}
	if x.c.reused && head.StatusCode == http.StatusRequestTimeout && head.Close {
		// The target timed out the idle connection while the request was sent.
		// This is not the response to it.
		return nil, ErrPeerClosed
	}
	r := &Response{
		Status: head.StatusCode, Header: head.Header, ContentLength: head.ContentLength,
		Draining:     strings.EqualFold(head.Header.Get(headerDraining), "true"),
		Unverifiable: unverifiable(head),
		x:            x, body: head.Body, close: head.Close,
	}
	if x.a.Trace != nil {
		x.a.Trace.Draining = r.Draining
	}
	r.meaning = meaning(r, x.a.Statuses)
	r.Body = bodyReader{r}
	removeHopByHop(r.Header)
	if head.StatusCode >= 300 {
		// The target refused or redirected the request before reading all of
		// it. After an early 2xx the target may still read the body.
		x.settleWriter(x.t.cfg.EarlyResponseWait)
	}
	if head.Body == http.NoBody {
		r.complete()
	}
	return r, nil
}

// unverifiable tells whether only the end of the connection marks the end of
// the body, so that a truncated body looks complete.
func unverifiable(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0 && head.Body != http.NoBody
}

// meaning applies the document's statuses.
func meaning(r *Response, s Statuses) outcome.Meaning {
	m := outcome.Meaning{Kind: attempt.Answered, NotRun: slices.Contains(s.NotRun, r.Status)}
	shed := slices.Contains(s.Shed, r.Status)
	switch {
	case r.Draining && (shed || m.NotRun):
		m.Kind = attempt.Draining
	case shed:
		m.Kind = attempt.Shed
	case slices.Contains(s.Failure, r.Status):
		m.Kind = attempt.ServerError
	case m.NotRun:
		m.Kind = attempt.Shed
	}
	m.RetryAfter = retryAfter(r.Header, time.Now())
	return m
}
