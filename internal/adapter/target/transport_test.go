package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// hangLimit only protects a test from hanging.
const hangLimit = 20 * time.Second

// serve runs a raw TCP fake; handle gets each connection and its number.
func serve(t *testing.T, handle func(n int, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(hangLimit))
				handle(n, c)
			}()
		}
	}()
	return l.Addr().String()
}

func newTransport(t *testing.T, change func(*Config)) *Transport {
	t.Helper()
	cfg := DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	if err := cfg.Validate(); err != nil {
		t.Fatal(err)
	}
	tr := New(cfg)
	t.Cleanup(tr.Close)
	return tr
}

// exchangeBody sends one attempt and returns the response, its body and result.
func exchangeBody(t *testing.T, tr *Transport, a Attempt) (*Response, string, attempt.Result) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), hangLimit)
	defer cancel()
	if a.Method == "" {
		a.Method = http.MethodGet
	}
	if a.URI == "" {
		a.URI = "/"
	}
	resp, res := tr.Do(ctx, a)
	if resp == nil {
		return nil, "", res
	}
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body), resp.Finish()
}
