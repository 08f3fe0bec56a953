package target

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// TestRoundTrips guards against wrong framing of any kind of body, checked
// against the standard library's server, against headers that must not pass,
// and against a lost reuse.
func TestRoundTrips(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		_, _ = io.Copy(sum, r.Body)
		w.Header().Set("Seen", r.Method+" "+r.RequestURI)
		w.Header().Set("Hop-Seen", r.Header.Get("X-Hop")+r.Header.Get("Te")+r.Header.Get(dialect.Native().Ticket)+r.Header.Get("Expect"))
		w.Header().Set("Left", r.Header.Get(dialect.Native().Deadline))
		w.Header().Set(dialect.Native().RequestID, r.Header.Get(dialect.Native().RequestID))
		w.Header().Set("Keep-Alive", "x")
		_, _ = io.WriteString(w, hex.EncodeToString(sum.Sum(nil)))
	}))
	defer srv.Close()
	tr := newTransport(t, nil)
	for _, size := range []int{0, 1, 16 << 10, 16<<10 + 1, 1 << 20} {
		for _, known := range []bool{true, false} {
			body := make([]byte, size)
			_, _ = rand.Read(body)
			length := int64(size)
			if !known {
				length = -1
			}
			trace := &Trace{}
			resp, got, res := exchangeBody(t, tr, Attempt{
				Address: srv.Listener.Addr().String(), Method: http.MethodPost, URI: "/a%2Fb?c=d;e",
				Header: http.Header{"Connection": {"X-Hop"}, "X-Hop": {"x"}, "Te": {"x"}, dialect.Native().Ticket: {"x"}, "Expect": {"100-continue"}},
				Body:   bytes.NewReader(body), ContentLength: length, RequestID: "r1", Trace: trace,
			})
			want := sha256.Sum256(body)
			if got != hex.EncodeToString(want[:]) || res.Kind != attempt.Answered {
				t.Fatalf("size %d known %v: body %q result %+v trace %+v", size, known, got, res, trace)
			}
			left, _ := strconv.Atoi(resp.Header.Get("Left"))
			if left <= 0 || time.Duration(left)*time.Millisecond > hangLimit-tr.cfg.DeadlineReserve {
				t.Fatalf("%d ms left", left)
			}
			if h := resp.Header; h.Get("Seen") != "POST /a%2Fb?c=d;e" || h.Get("Hop-Seen") != "" || h.Get("Keep-Alive") != "" || trace.Stage != outcome.Responding {
				t.Fatalf("%v %+v", h, trace)
			}
		}
	}
	if s := tr.PoolStats(); s.Dials != 1 || s.Reuses != 9 {
		t.Fatalf("dials %d, reuses %d; want 1 and 9", s.Dials, s.Reuses)
	}
}
