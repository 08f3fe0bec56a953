package target

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers of the protocol between hosts and targets.
const (
	headerRequestID = "Sapphirehaven-Request-Id"
	headerDeadline  = "Sapphirehaven-Deadline-Ms"
	headerDraining  = "Sapphirehaven-Draining"
	headerTicket    = "Sapphirehaven-Ticket"
)

// hopByHop lists headers that concern one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes headers of one connection, including those that the
// Connection header names.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// requestHeader returns the header to send for an attempt, without Host. The
// framing headers follow from the attempt and never from the caller.
func requestHeader(a *Attempt, remaining time.Duration) http.Header {
	h := a.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	removeHopByHop(h)
	for _, name := range []string{"Host", "Content-Length", "Expect", headerTicket, headerDeadline, headerRequestID} {
		h.Del(name)
	}
	if a.RequestID != "" {
		h.Set(headerRequestID, a.RequestID)
	}
	if remaining > 0 {
		h.Set(headerDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	}
	switch {
	case a.chunked():
		h.Set("Transfer-Encoding", "chunked")
	case a.ContentLength > 0 || methodHasBody(a.Method):
		h.Set("Content-Length", strconv.FormatInt(max(0, a.ContentLength), 10))
	}
	return h
}

// chunked tells whether the body has no declared length.
func (a *Attempt) chunked() bool { return a.Body != nil && a.ContentLength < 0 }

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// retryAfter parses a Retry-After header given in seconds or as a date.
func retryAfter(h http.Header, now time.Time) time.Duration {
	const limit = time.Hour
	value := h.Get("Retry-After")
	if value == "" {
		return 0
	}
	wait := time.Duration(0)
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		wait = time.Duration(seconds) * time.Second
	} else if at, err := http.ParseTime(value); err == nil {
		wait = at.Sub(now)
	}
	return min(max(0, wait), limit)
}
