package target

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
)

// Errors reported in Trace.Err. Other errors are those of the connection.
var (
	ErrTooManyConnections = errors.New("target: too many open connections to the target")
	ErrSlowCaller         = errors.New("target: the caller sends its body too slowly")
	ErrCallerBody         = errors.New("target: the caller's body could not be read")
	ErrRequestIDMismatch  = errors.New("target: the response is for another request")
	ErrResponseTooLong    = errors.New("target: the response is longer than declared")
	ErrHeadTooLarge       = errors.New("target: the response head is too large")
	ErrBadResponse        = errors.New("target: malformed response")
	ErrBadRequest         = errors.New("target: the request has an invalid method, URI, host or content length")
	ErrFirstByteTimeout   = errors.New("target: no response on a reused connection within the first-byte timeout")
	ErrClosed             = errors.New("target: the transport is closed")
	ErrPeerClosed         = errors.New("target: the target closed the connection")
	ErrWithdrawn          = errors.New("target: the attempt was withdrawn before the first byte")
)

// Attempt describes one attempt to run a request. It is sent at most once.
type Attempt struct {
	// Address is the IP:port of the target.
	Address string
	Method  string
	// URI is the request target in origin form, sent unchanged.
	URI string
	// Host is the value of the Host header; defaults to Address.
	Host string
	// Header is not modified.
	Header http.Header
	// Team, if set, is the name of the caller's team. It replaces a header of the same name.
	Team string
	// Via, if set, is sent as an additional Via header.
	Via string
	// Body is nil if the request has none. A streamed body (longer than
	// Config.InlineBodyBytes, or of unknown length) is read by a separate
	// goroutine, which has ended when Finish returns or Do fails.
	Body io.Reader
	// InterruptBody makes blocked and future Reads of Body return. It must not
	// block and may be called more than once, but is not called after the
	// attempt has ended or the body was read completely. Without it, a failing
	// attempt ends while the goroutine of a streamed body may still be blocked in
	// Read, and waits for the Read of a small body.
	InterruptBody func()
	// ReleaseBody, if set, states that Body stays readable after the attempt has ended, and
	// is called once when it is no longer read. A target that has answered with success
	// before it has read the whole body then gets the rest while the response is passed on.
	// Without it, the response is held back until the body is written.
	ReleaseBody func()
	// ContentLength is the length of Body, or -1 if unknown.
	ContentLength int64
	// Idempotent requests may use any idle connection.
	Idempotent bool
	// FirstByteTimeout bounds the wait for the first response byte on a reused
	// connection after the whole request was written; with 0 only ctx bounds it.
	// It allows a retry on another connection, before the deadline, when a
	// connection has stopped responding.
	FirstByteTimeout time.Duration
	// NewConnection forces a new connection.
	NewConnection bool
	// RequestID, if set, is sent to the target and compared with the request ID
	// of the response, if the response has one.
	RequestID string
	// ExpectTarget, if set, is the ID of the only target that may run the request.
	ExpectTarget string
	Statuses     Statuses
	// MinBodyBytesPerSecond is the minimum rate at which the caller must send
	// the body; 0 disables the check.
	MinBodyBytesPerSecond int64
	// CrossRegion marks traffic between regions: the body is paced and its
	// bytes are counted under Class.
	CrossRegion bool
	Class       string
	// MayWrite, if set, is called before a connection is used for the attempt, and
	// again directly before the first byte of the request is written. An error withdraws
	// the attempt, which then ends as not sent.
	MayWrite func() error
	// OnPause, if set, is called when a response head asks for no requests for a time,
	// before the body is read.
	OnPause func(RetryAfter)
	// Trace, if set, is filled in with the details of the attempt.
	Trace *Trace
}

// Statuses lists the response statuses to which the document assigns a meaning.
type Statuses struct {
	Failure []int
	Shed    []int
	// NotRun lists the statuses with which the target declares that it did not
	// run the request.
	NotRun []int
}

// Trace holds details of an attempt beyond its result. It may be read after Do
// returned without a response, or after Finish.
type Trace struct {
	// Stage is the last stage that the attempt reached before it ended.
	Stage outcome.Stage
	// Err is the cause of a failure.
	Err error
	// Reused reports whether the connection had carried an earlier request.
	Reused bool
	// BytesWritten counts the bytes of head and body written to the connection.
	BytesWritten int64
	// BodyBytesRead counts the bytes read from Body. A further attempt has to
	// send them again.
	BodyBytesRead int64
	// ResponseBytes counts the bytes read from the body of the response.
	ResponseBytes int64
	// UnsentBody is the whole Body if it was read but no byte of the request was written.
	// Another attempt can then be made although Body cannot be read again.
	UnsentBody []byte
	// Draining reports whether the target announced that it is draining.
	Draining bool
	// Load is the target's load as reported by the response, or nil.
	Load *Load
	// Pause is the longest pause that a response asked for.
	Pause RetryAfter
	// RateLimit is what the response says about the rate that the target accepts.
	RateLimit ratelimit.Statement
	// Leaving is what the response says about whether the target is leaving. It may also
	// be read as soon as Do has returned a response.
	Leaving attempt.LeavingStatement
}

// validate rejects values that would change the framing of the request.
func (a *Attempt) validate() error {
	// After CONNECT the connection no longer carries HTTP.
	if a.Method == "" || a.Method == http.MethodConnect || strings.ContainsFunc(a.Method, isNotTokenChar) {
		return ErrBadRequest
	}
	if !strings.HasPrefix(a.URI, "/") && a.URI != "*" {
		return ErrBadRequest
	}
	if strings.ContainsFunc(a.URI, isSpaceOrControl) || strings.ContainsFunc(a.Host, isSpaceOrControl) {
		return ErrBadRequest
	}
	if a.Body == nil && a.ContentLength > 0 {
		return ErrBadRequest
	}
	return nil
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

func isNotTokenChar(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}
