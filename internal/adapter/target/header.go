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

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the hop-by-hop headers, including those listed in the
// Connection header.
func removeHopByHop(h http.Header) {
	for _, name := range connectionHeaders(h) {
		delete(h, name)
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// isNotForwarded reports whether a header of the caller is not sent to the target:
// hop-by-hop headers, and headers that are derived from the attempt.
func isNotForwarded(d *dialect.Dialect, name string) bool {
	switch name {
	case "Host", "Content-Length", "Expect", d.Ticket, d.Deadline, d.RequestID, d.ExpectTarget:
		return true
	}
	return slices.Contains(hopByHopHeaders, name)
}

// connectionHeaders returns the header names listed in the Connection header.
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

// appendRequestHeader appends the header of an attempt, except Host. The framing
// headers are derived from the attempt, never copied from the caller.
func appendRequestHeader(b []byte, d *dialect.Dialect, a *Attempt, remaining time.Duration) []byte {
	connectionNamed := connectionHeaders(a.Header)
	for name, values := range a.Header {
		name = textproto.CanonicalMIMEHeaderKey(name)
		if isNotForwarded(d, name) || a.Team != "" && name == d.Team || slices.Contains(connectionNamed, name) || name == "" || strings.ContainsFunc(name, isNotTokenChar) {
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
	if d.Team != "" && a.Team != "" {
		b = appendHeader(b, d.Team, a.Team)
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

// lineBreakReplacer replaces characters that would end a header line.
var lineBreakReplacer = strings.NewReplacer("\r", " ", "\n", " ")

func appendHeader(b []byte, name, value string) []byte {
	if strings.ContainsAny(value, "\r\n") {
		value = lineBreakReplacer.Replace(value)
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, textproto.TrimString(value)...)
	return append(b, "\r\n"...)
}

// chunked reports whether the body has no declared length and is sent chunked.
func (a *Attempt) chunked() bool { return a.Body != nil && a.ContentLength < 0 }

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
