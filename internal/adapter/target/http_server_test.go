package target

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// TestRoundTrips guards against wrong framing of any kind of body, checked
// against the standard library's server, and against a lost reuse.
func TestRoundTrips(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		_, _ = io.Copy(sum, r.Body)
		w.Header().Set("Seen", r.Method+" "+r.RequestURI)
		w.Header().Set("Connection-Seen", r.Header.Get("X-Hop"))
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
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
			_, got, res := exchangeBody(t, tr, Attempt{
				Address: srv.Listener.Addr().String(), Method: http.MethodPost, URI: "/a%2Fb?c=d;e",
				Header: http.Header{"Connection": {"X-Hop"}, "X-Hop": {"x"}},
				Body:   bytes.NewReader(body), ContentLength: length, RequestID: "r1", Trace: trace,
			})
			want := sha256.Sum256(body)
			if got != hex.EncodeToString(want[:]) || res.Kind != attempt.Answered {
				t.Fatalf("size %d known %v: body %q result %+v trace %+v", size, known, got, res, trace)
			}
			if trace.Stage != outcome.Responding {
				t.Fatalf("stage %v", trace.Stage)
			}
		}
	}
	if s := tr.PoolStats(); s.Dials != 1 || s.Reuses != 9 {
		t.Fatalf("dials %d, reuses %d; want 1 and 9", s.Dials, s.Reuses)
	}
}
