package target

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Errors that a Trace reports. Other errors come from the connection.
var (
	ErrTooManyConnections = errors.New("target: too many open connections to the target")
	ErrSlowCaller         = errors.New("target: the caller sends its body too slowly")
	ErrCallerBody         = errors.New("target: the caller's body could not be read")
	ErrRequestIDMismatch  = errors.New("target: the response is for another request")
	ErrResponseTooLong           = errors.New("target: the response is longer than declared")
	ErrHeadTooLarge       = errors.New("target: the response head is too large")
	ErrBadResponse        = errors.New("target: malformed response")
	ErrBadRequest         = errors.New("target: the request cannot be sent")
	ErrSilentTimeout             = errors.New("target: no response on a reused connection")
	ErrClosed             = errors.New("target: the transport is closed")
	ErrPeerClosed         = errors.New("target: the target closed the connection")
)

// Attempt describes one attempt. It is sent at most once.
type Attempt struct {
	// Address is the target's IP:port.
	Address string
	Method  string
	// URI is the request target in origin form, sent unchanged.
	URI string
	// Host is the Host header; Address if empty.
	Host string
	// Header is not changed.
	Header http.Header
	// Via, if set, is added to the Via headers.
	Via string
	// Body is nil when there is none. A body that streams (longer than
	// Config.InlineBodyBytes, or of unknown length) is read by another
	// goroutine, which has ended when Finish or a failing Do returns.
	Body io.Reader
	// InterruptBody makes a blocked Read of Body, and later ones, return. It
	// must not block, and may be called more than once, but not after the
	// attempt has ended or the body was read whole. Without it a failing
	// attempt leaves the Read of a streamed body behind, and waits for the
	// Read of a small one.
	InterruptBody func()
	// ContentLength is the length of Body, -1 if unknown.
	ContentLength int64
	// Idempotent requests may use any idle connection.
	Idempotent bool
	// SilentTimeout bounds the wait for the first byte on a reused connection
	// whose request was written whole; 0 leaves it to ctx. It lets a retry
	// leave a connection that stopped responding before the deadline.
	SilentTimeout time.Duration
	// Fresh asks for a new connection.
	Fresh bool
	// RequestID, if set, is sent and compared with the one that the response
	// carries, if any.
	RequestID string
	// ExpectTarget, if set, names the only target that may run the request.
	ExpectTarget string
	Statuses     Statuses
	// MinBodyBytesPerSecond is the rate below which the caller is too slow;
	// 0 disables the check.
	MinBodyBytesPerSecond int64
	// CrossRegion marks traffic over the link between regions: the body is
	// paced and bytes are counted under Class.
	CrossRegion bool
	Class       string
	// Trace, if set, receives the details of the attempt.
	Trace *Trace
}

// Statuses are the statuses that the document gives a meaning.
type Statuses struct {
	Failure []int
	Shed    []int
	// NotRun statuses declare that the target did not run the request.
	NotRun []int
}

// Trace tells how an attempt went, beyond its result. It may be read when Do
// returned without a response or after Finish.
type Trace struct {
	// Stage is the last stage before the end.
	Stage outcome.Stage
	// Err is the reason of a failure.
	Err error
	// Reused tells that the connection had carried a request before.
	Reused bool
	// BytesWritten counts bytes of head and body that left this host.
	BytesWritten int64
	// BodyBytesRead counts bytes taken from Body. Another attempt needs them
	// again.
	BodyBytesRead int64
	// Draining tells that the target announced that it is draining.
	Draining bool
	// Load is what the response said about the target's load, nil if nothing.
	Load *Load
}

// validate refuses what would change the framing of the request.
func (a *Attempt) validate() error {
	// After a CONNECT the connection carries no HTTP any more.
	if a.Method == "" || a.Method == http.MethodConnect || strings.ContainsFunc(a.Method, notToken) {
		return ErrBadRequest
	}
	if !strings.HasPrefix(a.URI, "/") && a.URI != "*" {
		return ErrBadRequest
	}
	if strings.ContainsFunc(a.URI, notVisible) || strings.ContainsFunc(a.Host, notVisible) {
		return ErrBadRequest
	}
	if a.Body == nil && a.ContentLength > 0 {
		return ErrBadRequest
	}
	return nil
}

func notVisible(r rune) bool { return r <= ' ' || r == 0x7f }

func notToken(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
}
