package target

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds the pause that a target can ask for, so that a wrong value does not
// keep a target out of use until this host restarts.
const maxRetryAfter = time.Hour

// RetryAfter is what the Retry-After header of a response says.
type RetryAfter struct {
	// Present is set if the response has the header.
	Present bool
	// Wait is the time from the arrival of the response for which the target wants no
	// requests, at most maxRetryAfter. It is 0 if no value is valid.
	Wait time.Duration
	// Bounded is set if a value was longer than maxRetryAfter.
	Bounded bool
	// Malformed is set if a value is neither a number of seconds nor a date.
	Malformed bool
}

// parseRetryAfter returns what the Retry-After header of a response that arrived now says.
// A value is a decimal number of seconds without sign or exponent, or a date (RFC 9110,
// section 10.2.3). Numbers may be combined in a list. Of several values the longest counts,
// because a longer pause does the target no harm.
func parseRetryAfter(h http.Header, now time.Time) RetryAfter {
	var r RetryAfter
	for _, value := range h.Values("Retry-After") {
		r.Present = true
		if at, err := http.ParseTime(strings.TrimSpace(value)); err == nil {
			r.add(at.Sub(dateOf(h, now)))
			continue
		}
		for part := range strings.SplitSeq(value, ",") {
			wait, ok := parseSeconds(part)
			if !ok {
				r.Malformed = true
				continue
			}
			r.add(wait)
		}
	}
	return r
}

// add applies a valid value.
func (r *RetryAfter) add(wait time.Duration) {
	r.Bounded = r.Bounded || wait > maxRetryAfter
	r.Wait = max(r.Wait, min(wait, maxRetryAfter))
}

// parseSeconds parses a decimal number of seconds. A number that exceeds maxRetryAfter is
// returned as a longer duration, whatever its size.
func parseSeconds(value string) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if value == "" || strings.Trim(value, "0123456789.") != "" {
		return 0, false
	}
	// A number that is out of range is +Inf.
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && seconds < maxRetryAfter.Seconds() {
		return 0, false
	}
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter + 1, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// dateOf returns the time at which the target sent a response by its own clock, which may
// differ from that of this host, or now if the response does not say.
func dateOf(h http.Header, now time.Time) time.Time {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		return at
	}
	return now
}

// notePause reports a response that asks for no requests for a time. Only a 503 does
// (RFC 9110, section 15.6.4); Retry-After of other statuses concerns the one request. The
// response need not belong to the current request: the target sent it on this connection.
func (x *exchange) notePause(head *http.Response) {
	if head.StatusCode != http.StatusServiceUnavailable {
		return
	}
	pause := parseRetryAfter(head.Header, time.Now())
	if !pause.Present {
		return
	}
	if x.a.Trace != nil && (!x.a.Trace.Pause.Present || pause.Wait > x.a.Trace.Pause.Wait) {
		x.a.Trace.Pause = pause
	}
	if x.a.OnPause != nil {
		x.a.OnPause(pause)
	}
}

// checkMayWrite returns an error if the attempt is withdrawn.
func (x *exchange) checkMayWrite() error {
	if x.a.MayWrite == nil {
		return nil
	}
	if err := x.a.MayWrite(); err != nil {
		return withdrawnError{err}
	}
	return nil
}

// withdrawnError marks an error as the reason why an attempt was withdrawn.
type withdrawnError struct{ error }

func (withdrawnError) Is(target error) bool { return target == ErrWithdrawn }
