package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// leavingTransport returns a transport whose dialect has the leaving header X-Leaving.
func leavingTransport(t *testing.T) *Transport {
	return newTransport(t, func(c *Config) {
		c.Dialect.RequestID, c.Dialect.Leaving, c.Dialect.ExpectTarget = "X-Id", "X-Leaving", "X-Expect"
	})
}

// TestLeavingStatement guards against a statement that is missed because of the kind of
// the response, or that is attributed to the wrong target: a misdirected request was
// received by another one.
func TestLeavingStatement(t *testing.T) {
	leaving := attempt.LeavingStatement{Leaving: true}
	for _, c := range []struct {
		name, response string
		want           attempt.LeavingStatement
	}{
		{"none", "200 OK\r\nContent-Length: 2\r\n\r\nok", attempt.LeavingStatement{}},
		{"success", "200 OK\r\nX-Leaving: 1\r\nContent-Length: 2\r\n\r\nok", leaving},
		{"refusal", "503 Full\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", leaving},
		{"error", "500 Error\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", leaving},
		{"truncated body", "200 OK\r\nX-Leaving: 1\r\nContent-Length: 20\r\n\r\nok", leaving},
		{"after an informational response", "103 Early\r\n\r\nHTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", leaving},
		{"in an informational response", "103 Early\r\nX-Leaving: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", attempt.LeavingStatement{}},
		{"misdirected", "421 Other\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n", attempt.LeavingStatement{}},
		{"malformed", "200 OK\r\nX-Leaving: yes\r\nContent-Length: 2\r\n\r\nok", attempt.LeavingStatement{Malformed: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serveTCP(t, func(_ int, conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+c.response)
				}
			})
			var trace Trace
			response, _ := leavingTransport(t).Do(t.Context(), Attempt{Address: address, Method: "GET", URI: "/", ExpectTarget: "t", Trace: &trace})
			if response == nil {
				t.Fatalf("no response: %v", trace.Err)
			}
			defer response.Finish()
			if trace.Leaving != c.want {
				t.Errorf("%+v before the body was read, want %+v", trace.Leaving, c.want)
			}
		})
	}
}

// TestLeavingStatementOfOtherResponse guards against a statement that is taken from a
// response to an earlier request, which may come from another process at the address.
func TestLeavingStatementOfOtherResponse(t *testing.T) {
	address := serveTCP(t, func(_ int, conn net.Conn) {
		br := bufio.NewReader(conn)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if n > 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
		}
	})
	tr := leavingTransport(t)
	for id := range 2 {
		var trace Trace
		a := Attempt{Address: address, Idempotent: true, RequestID: fmt.Sprint(id), Trace: &trace}
		if _, _, result := doAndReadBody(t, tr, a); result.Kind != attempt.Answered {
			t.Fatalf("request %d: %v, %v", id, result.Kind, trace.Err)
		}
		if trace.Leaving != (attempt.LeavingStatement{}) || trace.Reused != (id > 0) {
			t.Errorf("request %d: %+v, connection reused: %t", id, trace.Leaving, trace.Reused)
		}
	}
}
