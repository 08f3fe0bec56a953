package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestCanceledRequestWithEmptyBody guards against a data race between the end of an attempt's context and the
// send of a request with an empty body. Only the race detector reports it.
func TestCanceledRequestWithEmptyBody(t *testing.T) {
	address := serveTCP(t, func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		tr := newTransport(t, func(cfg *Config) {
			cfg.Dial = func(context.Context, string) (net.Conn, error) {
				defer cancel()
				return net.Dial("tcp", address)
			}
		})
		resp, res := tr.Do(ctx, Attempt{
			Address: address, Method: http.MethodPost, URI: "/", Body: strings.NewReader(""), ContentLength: 0, InterruptBody: func() {},
		})
		if resp != nil {
			t.Fatalf("a canceled attempt got a response: %+v", res)
		}
	}
}
