package target

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// hopByHop lists headers that concern one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes headers of one connection, including those that the
// Connection header names.
func removeHopByHop(h http.Header) {
	for _, name := range connectionHeaders(h) {
		delete(h, name)
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// notForwarded tells whether a header of the caller is not sent: hop-by-hop
// headers, and those that follow from the attempt.
func notForwarded(d *dialect.Dialect, name string) bool {
	switch name {
	case "Host", "Content-Length", "Expect", d.Ticket, d.Deadline, d.RequestID, d.ExpectTarget:
		return true
	}
	return slices.Contains(hopByHop, name)
}

// connectionHeaders returns the headers that the Connection header names.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				names = append(names, textproto.CanonicalMIMEHeaderKey(name))
			}
		}
	}
	return names
}

// appendRequestHeader appends the header of an attempt, without Host. The
// framing headers follow from the attempt and never from the caller.
func appendRequestHeader(b []byte, d *dialect.Dialect, a *Attempt, remaining time.Duration) []byte {
	named := connectionHeaders(a.Header)
	for name, values := range a.Header {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if notForwarded(d, name) || slices.Contains(named, name) || name == "" || strings.ContainsFunc(name, notToken) {
			continue
		}
		for _, value := range values {
			b = appendHeader(b, name, value)
		}
	}
	if a.Via != "" {
		b = appendHeader(b, "Via", a.Via)
	}
	if a.RequestID != "" {
		b = appendHeader(b, d.RequestID, a.RequestID)
	}
	if d.ExpectTarget != "" && a.ExpectTarget != "" {
		b = appendHeader(b, d.ExpectTarget, a.ExpectTarget)
	}
	if remaining > 0 {
		b = append(b, d.Deadline...)
		b = append(b, ": "...)
		b = strconv.AppendInt(b, max(1, remaining.Milliseconds()), 10)
		b = append(b, "\r\n"...)
	}
	switch {
	case a.chunked():
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case a.ContentLength > 0 || methodHasBody(a.Method):
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, max(0, a.ContentLength), 10)
		b = append(b, "\r\n"...)
	}
	return b
}

// lineBreaks replaces what would end a header line.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func appendHeader(b []byte, name, value string) []byte {
	if strings.ContainsAny(value, "\r\n") {
		value = lineBreaks.Replace(value)
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, textproto.TrimString(value)...)
	return append(b, "\r\n"...)
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
