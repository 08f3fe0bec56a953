package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkGet compares a small GET request with http.Transport.
func BenchmarkGet(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1000))
	}))
	defer srv.Close()
	b.Run("transport", func(b *testing.B) {
		tr := New(DefaultConfig())
		defer tr.Close()
		for b.Loop() {
			ctx, cancel := context.WithTimeout(b.Context(), testTimeout)
			resp, res := tr.Do(ctx, Attempt{Address: srv.Listener.Addr().String(), Method: "GET", URI: "/", Idempotent: true})
			if resp == nil {
				b.Fatal(res)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Finish()
			cancel()
		}
	})
	b.Run("net-http", func(b *testing.B) {
		for b.Loop() {
			ctx, cancel := context.WithTimeout(b.Context(), testTimeout)
			req, _ := http.NewRequestWithContext(ctx, "GET", srv.URL, nil)
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			cancel()
		}
	})
}
