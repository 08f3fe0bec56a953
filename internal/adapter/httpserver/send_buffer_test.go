package httpserver

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// TestLongResponsesTakeMemory guards against responses that lie in the kernel's buffers beyond the budget, against a
// reservation that outlasts the response, and against one for a short response.
func TestLongResponsesTakeMemory(t *testing.T) {
	const buffer = 32 << 10
	memory := membudget.New(membudget.Config{Size: 1 << 20, Max: [membudget.NumClasses]int64{membudget.Transit: 2 * buffer}})
	transit := func() int64 { return memory.Status().Used[membudget.Transit] }
	s, address := startServer(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := 1 << 10
		if r.URL.Path == "/long" {
			size = 8 << 20
		}
		_, _ = io.WriteString(w, strings.Repeat("a", size))
	}), Limits: Limits{Memory: memory, SendBuffer: 8 << 10, ResponseSendBuffer: buffer}})
	exchange := func(path string) func() {
		c, br := dial(t, address)
		write(t, c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		return func() {
			t.Helper()
			res, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				t.Fatal(err)
			}
		}
	}
	exchange("/short")()
	if transit() != 0 {
		t.Errorf("a short response took %d bytes", transit())
	}
	first, second := exchange("/long"), exchange("/long")
	for end := time.Now().Add(10 * time.Second); s.LimitStats().SendsNarrowed == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("counted %+v", s.LimitStats())
		}
	}
	if transit() != 2*buffer {
		t.Errorf("%d bytes are reserved, want %d", transit(), 2*buffer)
	}
	first()
	second()
	for end := time.Now().Add(10 * time.Second); transit() != 0; time.Sleep(time.Millisecond) {
		if s.ReleaseSent(); time.Now().After(end) {
			t.Fatalf("%d bytes are reserved after all responses were read", transit())
		}
	}
}
