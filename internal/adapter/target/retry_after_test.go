package target

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// TestParseRetryAfter guards against a value that is taken as none, as too short a pause,
// or as one without end.
func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	date := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	tests := []struct {
		name   string
		values []string
		date   string
		want   RetryAfter
	}{
		{"absent", nil, "", RetryAfter{}},
		{"seconds", []string{"3"}, "", RetryAfter{Present: true, Wait: 3 * time.Second}},
		{"fraction", []string{"1.5"}, "", RetryAfter{Present: true, Wait: 1500 * time.Millisecond}},
		{"fraction below one", []string{" .25 "}, "", RetryAfter{Present: true, Wait: 250 * time.Millisecond}},
		{"zero", []string{"0"}, "", RetryAfter{Present: true}},
		{"zero fraction", []string{"0.0"}, "", RetryAfter{Present: true}},
		{"negative", []string{"-3"}, "", RetryAfter{Present: true, Malformed: true}},
		{"plus sign", []string{"+3"}, "", RetryAfter{Present: true, Malformed: true}},
		{"exponent", []string{"3e2"}, "", RetryAfter{Present: true, Malformed: true}},
		{"infinity", []string{"Inf"}, "", RetryAfter{Present: true, Malformed: true}},
		{"not a number", []string{"NaN"}, "", RetryAfter{Present: true, Malformed: true}},
		{"empty", []string{""}, "", RetryAfter{Present: true, Malformed: true}},
		{"point", []string{"."}, "", RetryAfter{Present: true, Malformed: true}},
		{"two points", []string{"1.2.3"}, "", RetryAfter{Present: true, Malformed: true}},
		{"unit", []string{"3s"}, "", RetryAfter{Present: true, Malformed: true}},
		{"bound", []string{"3600"}, "", RetryAfter{Present: true, Wait: time.Hour}},
		{"above the bound", []string{"3600.5"}, "", RetryAfter{Present: true, Wait: time.Hour, Bounded: true}},
		{"above 63 bits", []string{"99999999999999999999"}, "", RetryAfter{Present: true, Wait: time.Hour, Bounded: true}},
		{"above a float", []string{strings.Repeat("9", 400)}, "", RetryAfter{Present: true, Wait: time.Hour, Bounded: true}},
		{"date", []string{date(90 * time.Second)}, "", RetryAfter{Present: true, Wait: 90 * time.Second}},
		{"past date", []string{date(-time.Second)}, "", RetryAfter{Present: true}},
		{"far date", []string{date(48 * time.Hour)}, "", RetryAfter{Present: true, Wait: time.Hour, Bounded: true}},
		{"date of a target whose clock differs", []string{date(70 * time.Second)}, date(time.Minute), RetryAfter{Present: true, Wait: 10 * time.Second}},
		{"malformed date", []string{"Sat, 05 Dec"}, "", RetryAfter{Present: true, Malformed: true}},
		{"longest of several", []string{"2", "7", "5"}, "", RetryAfter{Present: true, Wait: 7 * time.Second}},
		{"list", []string{"2, 4.5"}, "", RetryAfter{Present: true, Wait: 4500 * time.Millisecond}},
		{"valid and malformed", []string{"soon", "2"}, "", RetryAfter{Present: true, Wait: 2 * time.Second, Malformed: true}},
		{"date and seconds", []string{date(5 * time.Second), "2"}, "", RetryAfter{Present: true, Wait: 5 * time.Second}},
	}
	for _, tt := range tests {
		h := http.Header{}
		if tt.values != nil {
			h["Retry-After"] = tt.values
		}
		if tt.date != "" {
			h.Set("Date", tt.date)
		}
		if got := parseRetryAfter(h, now); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// readHead reads from a connection up to the end of a request head and reports whether
// one arrived.
func readHead(c net.Conn) bool {
	var head strings.Builder
	b := make([]byte, 1)
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		if _, err := c.Read(b); err != nil {
			return false
		}
		head.WriteByte(b[0])
	}
	return true
}

// TestPauseIsReportedAtHead guards against a pause that takes effect only when the body of
// the 503 has arrived, or not at all because the response is not accepted as the one to the
// request: it lacks the ID on a reused connection, carries that of another request, or its
// body is broken.
func TestPauseIsReportedAtHead(t *testing.T) {
	const paused = "HTTP/1.1 503 x\r\nRetry-After: 2\r\n"
	const ok = "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, second string
		want         bool
	}{
		{"complete", paused + "X-Id: r1\r\nContent-Length: 0\r\n\r\n", true},
		{"body withheld", paused + "X-Id: r1\r\nContent-Length: 5\r\n\r\n", true},
		{"no ID", paused + "Content-Length: 0\r\n\r\n", true},
		{"other ID", paused + "X-Id: r0\r\nContent-Length: 0\r\n\r\n", true},
		{"late response, body withheld", paused + "X-Id: r0\r\nContent-Length: 5\r\n\r\n", true},
		{"broken body", paused + "X-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true},
		{"not 503", "HTTP/1.1 429 x\r\nRetry-After: 2\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", false},
		{"no Retry-After", "HTTP/1.1 503 x\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			address := serveTCP(t, func(_ int, c net.Conn) {
				for _, raw := range []string{ok, tt.second} {
					if !readHead(c) {
						return
					}
					_, _ = c.Write([]byte(raw))
				}
				<-release
			})
			tr := newTransport(t, func(c *Config) {
				c.Dialect = dialect.Dialect{RequestID: "X-Id", TargetsEchoRequestID: true}
			})
			if _, _, res := doAndReadBody(t, tr, Attempt{Address: address, Idempotent: true, RequestID: "r0"}); res.Kind != attempt.Answered {
				t.Fatalf("first request: %+v", res)
			}
			reported := make(chan RetryAfter, maxResponseHeads)
			ended := make(chan struct{})
			trace := &Trace{}
			go func() {
				defer close(ended)
				doAndReadBody(t, tr, Attempt{
					Address: address, Idempotent: true, RequestID: "r1", Trace: trace,
					Statuses: Statuses{Shed: []int{429, 503}}, OnPause: func(p RetryAfter) { reported <- p },
				})
			}()
			var got RetryAfter
			if tt.want {
				select {
				case got = <-reported:
				case <-time.After(5 * time.Second):
					t.Error("the pause was not reported while the connection was open")
				}
			}
			close(release)
			<-ended
			select {
			case p := <-reported:
				t.Errorf("%+v was reported, want one report at most", p)
			default:
			}
			if tt.want && (got.Wait != 2*time.Second || trace.Pause != got) {
				t.Errorf("reported %+v, trace %+v", got, trace.Pause)
			}
		})
	}
}

// withdrawAt returns a MayWrite that withdraws the attempt at the given call, counted from 1.
func withdrawAt(call int) func() error {
	calls := 0
	return func() error {
		if calls++; calls >= call {
			return errors.New("paused")
		}
		return nil
	}
}

// TestWithdrawnAttempt guards against a byte of an attempt that is withdrawn while it waits
// for a connection or for its write, against a result that does not say so, and against
// the loss of the connection. The body may have been read only if the attempt is withdrawn
// at the third check, which only a small body has.
func TestWithdrawnAttempt(t *testing.T) {
	for name, length := range map[string]int64{"without body": 0, "small body": 4, "streamed body": 1 << 20} {
		checks := 2
		if name == "small body" {
			checks = 3
		}
		for call := 1; call <= checks; call++ {
			for _, reused := range []bool{false, true} {
				received := make(chan bool, 4)
				address := serveTCP(t, func(_ int, c net.Conn) {
					for readHead(c) {
						received <- true
						_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					}
				})
				tr := newTransport(t, nil)
				if reused {
					doAndReadBody(t, tr, Attempt{Address: address, Idempotent: true})
					<-received
				}
				trace := &Trace{}
				a := Attempt{Address: address, Method: http.MethodPost, Idempotent: true, ContentLength: length, MayWrite: withdrawAt(call), Trace: trace}
				if length > 0 {
					a.Body = strings.NewReader(strings.Repeat("b", int(length)))
				}
				resp, _, res := doAndReadBody(t, tr, a)
				if resp != nil || res.Kind != attempt.Withdrawn || !res.NotSent || !errors.Is(trace.Err, ErrWithdrawn) {
					t.Errorf("%s, call %d: %+v, error %v", name, call, res, trace.Err)
				}
				if trace.BytesWritten != 0 || len(trace.UnsentBody) != int(trace.BodyBytesRead) || (trace.BodyBytesRead != 0) != (call == 3) {
					t.Errorf("%s, call %d: %d bytes were written, %d of the body read", name, call, trace.BytesWritten, trace.BodyBytesRead)
				}
				doAndReadBody(t, tr, Attempt{Address: address, Idempotent: true})
				if s := tr.PoolStats(); s.Dials != 1 || s.Open != 1 || s.Idle != 1 || len(received) != 1 {
					t.Errorf("%s, call %d, reused %v: %+v and %d requests, want one connection and one request", name, call, reused, s, len(received))
				}
			}
		}
	}
}

// TestUnusedConnectionIsNotFresh guards against a non-idempotent request on a connection
// that was returned without use and may have been closed by the target since.
func TestUnusedConnectionIsNotFresh(t *testing.T) {
	address := serveTCP(t, func(_ int, c net.Conn) {
		for readHead(c) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	tr := newTransport(t, nil)
	doAndReadBody(t, tr, Attempt{Address: address, Idempotent: true, MayWrite: withdrawAt(2)})
	if s := tr.PoolStats(); s.Idle != 1 {
		t.Fatalf("%+v, want an idle connection", s)
	}
	if _, _, res := doAndReadBody(t, tr, Attempt{Address: address}); !res.FreshConnection {
		t.Errorf("%+v, want a new connection", res)
	}
}
