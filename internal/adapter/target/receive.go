package target

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
)

const (
	// maxResponseHeads bounds the response heads read for one request: 1xx responses,
	// late responses to earlier requests, and the final response.
	maxResponseHeads = 8
	// maxLateResponses bounds the responses to earlier requests that are discarded
	// before the expected one, and maxLateBodyBytes the body of each.
	maxLateResponses = 2
	maxLateBodyBytes = 1 << 20
	// minStatus and maxStatus are the bounds of the statuses of HTTP.
	minStatus = 100
	maxStatus = 599
	// maxDeclaredBytes bounds the declared length of a body: no longer one arrives within
	// the longest deadline of a request, one hour, at 2 Gbit/s.
	maxDeclaredBytes = 1 << 40
)

// receive reads response heads up to that of the final response.
func (x *exchange) receive() (*Response, error) {
	late := 0
	for range maxResponseHeads {
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
		x.notePause(head)
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
		if x.firstByteTimeoutApplies() {
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
	if head.StatusCode < minStatus || head.StatusCode > maxStatus {
		// net/http also accepts three digits such as 000. Taken for an informational
		// response, its body would be read as the next response.
		return nil, fmt.Errorf("%w: status %q", ErrBadResponse, head.Status)
	}
	if containsStatusLine(head) {
		return nil, fmt.Errorf("%w: a second status line within the head", ErrBadResponse)
	}
	return head, nil
}

// embeddedStatusLine matches the start of a status line.
var embeddedStatusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// containsStatusLine reports whether a head contains the status line of another one. A
// target may write the start of an earlier response directly in front of the next one;
// the parser joins the two where the first ends in a reason phrase or a header value.
func containsStatusLine(head *http.Response) bool {
	embedded := func(text string) bool {
		return strings.Contains(text, "HTTP/1.") && embeddedStatusLine.MatchString(text)
	}
	for _, values := range head.Header {
		if slices.ContainsFunc(values, embedded) {
			return true
		}
	}
	return embedded(head.Status)
}

// awaitFirstByte waits for the first byte of a response head.
func (x *exchange) awaitFirstByte() error {
	if x.firstByteTimeoutApplies() {
		x.c.setReadDeadline(time.Now().Add(x.a.FirstByteTimeout))
	}
	_, err := x.c.br.Peek(1)
	if x.firstByteTimeoutApplies() && errors.Is(err, os.ErrDeadlineExceeded) && x.ctx.Err() == nil {
		return ErrFirstByteTimeout
	}
	return err
}

// firstByteTimeoutApplies reports whether FirstByteTimeout bounds the current read.
func (x *exchange) firstByteTimeoutApplies() bool {
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

// mayAnswerEarlier reports whether a response without an ID may belong to an earlier
// request although its dialect does not require targets to return IDs: this target has
// returned one on this connection. Such a response proves nothing about the request.
func (x *exchange) mayAnswerEarlier(head *http.Response) bool {
	return x.c.reused && x.c.echoesID && head.Header.Get(x.t.cfg.Dialect.RequestID) == ""
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
	if head.ContentLength >= maxDeclaredBytes && head.Body != http.NoBody {
		return nil, fmt.Errorf("%w: the declared length is %d bytes", ErrBadResponse, head.ContentLength)
	}
	r := &Response{
		Status: head.StatusCode, Header: head.Header, ContentLength: head.ContentLength,
		Draining:     d.Draining != "" && strings.EqualFold(head.Header.Get(d.Draining), "true"),
		Unverifiable: closeDelimited(head) && !d.AllowCloseDelimited,
		x:            x, body: head.Body, close: head.Close || closeDelimited(head), closeDelimited: closeDelimited(head),
		requestIDMatches: x.a.RequestID != "" && head.Header.Get(d.RequestID) == x.a.RequestID,
	}
	x.c.parseKeepAlive(head.Header)
	x.enlargeReceiveBuffer(head.ContentLength)
	if x.a.Trace != nil {
		x.a.Trace.Draining = r.Draining
		x.a.Trace.Load = parseLoadHeader(head.Header.Get(d.Load))
	}
	r.classification = classify(r, x.a.Statuses)
	if d.NotRun != "" && head.Header.Get(d.NotRun) != "" {
		r.classification.NotRun = true
		if r.classification.Kind == attempt.Answered {
			r.classification.Kind = attempt.Shed
		}
	}
	if x.misdirected(head) {
		r.classification.Kind, r.classification.NotRun = attempt.Draining, true
	}
	if x.mayAnswerEarlier(head) {
		r.classification.NotRun = false
	}
	x.c.echoesID = x.c.echoesID || r.requestIDMatches
	if x.a.Trace != nil && d.RateLimit != "" {
		x.a.Trace.RateLimit = rateStatement(head.Header.Values(d.RateLimit), r.classification.Kind)
	}
	if x.a.Trace != nil && d.Leaving != "" && !x.misdirected(head) {
		x.a.Trace.Leaving = attempt.ParseLeaving(head.Header.Values(d.Leaving))
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

// misdirected reports whether the response says that the address now belongs to another
// target.
func (x *exchange) misdirected(head *http.Response) bool {
	return head.StatusCode == http.StatusMisdirectedRequest && x.t.cfg.Dialect.ExpectTarget != "" && x.a.ExpectTarget != ""
}

// rateStatement returns what a response says about the rate that the target accepts. A
// response without a limit tells that there is none only if it is a regular answer: an
// error may come from a part of the target that does not know of its limit, and a
// misdirected request was received by another target.
func rateStatement(values []string, kind attempt.Kind) ratelimit.Statement {
	if kind == attempt.Draining || (len(values) == 0 && kind != attempt.Answered) {
		return ratelimit.Statement{}
	}
	return ratelimit.ParseStatement(values)
}

// closeDelimited reports whether the end of the body is marked only by the close of
// the connection, so that a truncated body cannot be detected.
func closeDelimited(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0 && head.Body != http.NoBody
}

// classify classifies a response by the statuses declared in the document.
func classify(r *Response, s Statuses) outcome.Classification {
	c := outcome.Classification{Kind: attempt.Answered, NotRun: slices.Contains(s.NotRun, r.Status)}
	shed := slices.Contains(s.Shed, r.Status)
	switch {
	case r.Draining && (shed || c.NotRun):
		c.Kind = attempt.Draining
	case shed:
		c.Kind = attempt.Shed
	case slices.Contains(s.Failure, r.Status):
		c.Kind = attempt.ServerError
	case c.NotRun:
		c.Kind = attempt.Shed
	}
	c.RetryAfter = parseRetryAfter(r.Header, time.Now()).Wait
	return c
}
