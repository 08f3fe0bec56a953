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

const (
	// maxInformational bounds the 1xx responses before a final one.
	maxInformational = 8
	// maxStray bounds the late responses to earlier requests that are skipped
	// before the awaited one, and maxStrayBytes the body of each.
	maxStray      = 2
	maxStrayBytes = 1 << 20
)

// receive reads the head of the final response.
func (x *exchange) receive() (*Response, error) {
	stray := 0
	for range maxInformational {
		head, err := x.readHead()
		if err != nil {
			return nil, err
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: unexpected upgrade", ErrBadResponse)
		}
		if head.StatusCode < 200 {
			continue
		}
		if !x.otherRequest(head) {
			return x.respond(head)
		}
		if stray++; !x.c.reused || stray > maxStray || !skipStray(head) {
			return nil, ErrRequestIDMismatch
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
		return ErrSilentTimeout
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

// otherRequest tells whether a response belongs to another request than this one, or
// may do so.
func (x *exchange) otherRequest(head *http.Response) bool {
	d := &x.t.cfg.Dialect
	id := head.Header.Get(d.RequestID)
	if id == "" {
		return d.TargetsEchoRequestID && x.c.reused && x.a.RequestID != ""
	}
	return x.a.RequestID != "" && id != x.a.RequestID
}

// skipStray reads the rest of a late response to an earlier request, so that the
// awaited one can follow on the same connection. It fails when the end of that
// response is not certain.
func skipStray(head *http.Response) bool {
	if head.Close || unverifiable(head) {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxStrayBytes+1))
	return err == nil && n <= maxStrayBytes
}

// respond checks a final head and prepares the body.
func (x *exchange) respond(head *http.Response) (*Response, error) {
	d := &x.t.cfg.Dialect
	if x.c.reused && head.StatusCode == http.StatusRequestTimeout && head.Close {
		// The target timed out the idle connection while the request was sent.
		// This is not the response to it.
		return nil, ErrPeerClosed
	}
	r := &Response{
		Status: head.StatusCode, Header: head.Header, ContentLength: head.ContentLength,
		Draining:     d.Draining != "" && strings.EqualFold(head.Header.Get(d.Draining), "true"),
		Unverifiable: unverifiable(head) && !d.AllowCloseDelimited,
		x:            x, body: head.Body, close: head.Close || unverifiable(head),
		identified: x.a.RequestID != "" && head.Header.Get(d.RequestID) == x.a.RequestID,
	}
	x.c.readKeepAlive(head.Header)
	if x.a.Trace != nil {
		x.a.Trace.Draining = r.Draining
		x.a.Trace.Load = parseLoadHeader(head.Header.Get(d.Load))
	}
	r.meaning = meaning(r, x.a.Statuses)
	if d.NotRun != "" && head.Header.Get(d.NotRun) != "" {
		r.meaning.NotRun = true
		if r.meaning.Kind == attempt.Answered {
			r.meaning.Kind = attempt.Shed
		}
	}
	if head.StatusCode == http.StatusMisdirectedRequest && d.ExpectTarget != "" && x.a.ExpectTarget != "" {
		// Another target has taken over the address.
		r.meaning.Kind, r.meaning.NotRun = attempt.Draining, true
	}
	r.Body = bodyReader{r}
	removeHopByHop(r.Header)
	if head.StatusCode >= 300 {
		// The target refused or redirected the request before reading all of
		// it. After an early 2xx the target may still read the body.
		x.settleWriter(x.t.cfg.BodyFlushWait)
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
func meaning(r *Response, s Statuses) outcome.Classification {
	m := outcome.Classification{Kind: attempt.Answered, NotRun: slices.Contains(s.NotRun, r.Status)}
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
