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
	// maxInformational bounds the 1xx responses before the final response.
	maxInformational = 8
	// maxLateResponses bounds the responses to earlier requests that are discarded
	// before the expected one, and maxLateBodyBytes the body of each.
	maxLateResponses = 2
	maxLateBodyBytes = 1 << 20
)

// receive reads response heads up to that of the final response.
func (x *exchange) receive() (*Response, error) {
	late := 0
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
		if !x.answersOtherRequest(head) {
			return x.newResponse(head)
		}
		if late++; !x.c.reused || late > maxLateResponses || !discardLateResponse(head) {
			return nil, ErrRequestIDMismatch
		}
	}
	return nil, fmt.Errorf("%w: too many informational responses", ErrBadResponse)
}

// readHead reads one response head of at most Config.MaxHeadBytes.
func (x *exchange) readHead() (*http.Response, error) {
	x.c.limitHead(x.t.cfg.MaxHeadBytes)
	defer x.c.unlimitHead()
	if err := x.awaitFirstByte(); err != nil {
		if err == io.EOF && !x.responded {
			return nil, ErrPeerClosed
		}
		return nil, err
	}
	if !x.responded {
		if x.silentTimeoutApplies() {
			x.c.setReadDeadline(time.Time{})
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

// awaitFirstByte waits for the first byte of a response head.
func (x *exchange) awaitFirstByte() error {
	if x.silentTimeoutApplies() {
		x.c.setReadDeadline(time.Now().Add(x.a.FirstByteTimeout))
	}
	_, err := x.c.br.Peek(1)
	if x.silentTimeoutApplies() && errors.Is(err, os.ErrDeadlineExceeded) && x.ctx.Err() == nil {
		return ErrFirstByteTimeout
	}
	return err
}

// silentTimeoutApplies reports whether SilentTimeout bounds the current read.
func (x *exchange) silentTimeoutApplies() bool {
	return x.a.FirstByteTimeout > 0 && x.c.reused && !x.responded && x.requestWritten()
}

// headError distinguishes a malformed head from a connection error.
func headError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, ErrHeadTooLarge), errors.As(err, &netErr):
		return err
	}
	return fmt.Errorf("%w: %w", ErrBadResponse, err)
}

// answersOtherRequest reports whether a response belongs, or may belong, to a
// request other than this one.
func (x *exchange) answersOtherRequest(head *http.Response) bool {
	d := &x.t.cfg.Dialect
	id := head.Header.Get(d.RequestID)
	if id == "" {
		return d.TargetsEchoRequestID && x.c.reused && x.a.RequestID != ""
	}
	return x.a.RequestID != "" && id != x.a.RequestID
}

// discardLateResponse reads the rest of a late response to an earlier request, so
// that the expected response can be read from the same connection. It returns false
// if the end of the late response cannot be determined.
func discardLateResponse(head *http.Response) bool {
	if head.Close || closeDelimited(head) {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxLateBodyBytes+1))
	return err == nil && n <= maxLateBodyBytes
}

// newResponse checks the head of the final response and prepares its body.
func (x *exchange) newResponse(head *http.Response) (*Response, error) {
	d := &x.t.cfg.Dialect
	if x.c.reused && head.StatusCode == http.StatusRequestTimeout && head.Close {
		// The target's idle timeout expired while the request was being sent, so
		// this is not a response to the request.
		return nil, ErrPeerClosed
	}
	r := &Response{
		Status: head.StatusCode, Header: head.Header, ContentLength: head.ContentLength,
		Draining:     d.Draining != "" && strings.EqualFold(head.Header.Get(d.Draining), "true"),
		Unverifiable: closeDelimited(head) && !d.AllowCloseDelimited,
		x:            x, body: head.Body, close: head.Close || closeDelimited(head),
		identified: x.a.RequestID != "" && head.Header.Get(d.RequestID) == x.a.RequestID,
	}
	x.c.parseKeepAlive(head.Header)
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
		// The address now belongs to another target.
		r.meaning.Kind, r.meaning.NotRun = attempt.Draining, true
	}
	r.Body = bodyReader{r}
	removeHopByHop(r.Header)
	if head.StatusCode >= 300 {
		// The target rejected or redirected the request and need not read the
		// rest of it. After an early 2xx it may still read the body.
		x.stopWriter(x.t.cfg.BodyFlushWait)
	}
	if head.Body == http.NoBody {
		r.complete()
	}
	return r, nil
}

// closeDelimited reports whether the end of the body is marked only by the close of
// the connection, so that a truncated body cannot be detected.
func closeDelimited(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0 && head.Body != http.NoBody
}

// meaning classifies a response by the statuses declared in the document.
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
