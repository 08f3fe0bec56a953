package logservice_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/logservice"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

func newClient(t *testing.T, url string) *logservice.Client {
	t.Helper()
	cfg := logservice.DefaultConfig(url)
	cfg.MaxResponseBytes = 1 << 10
	c, err := logservice.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// closeConnection closes the connection without a response, after the request
// was received.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// TestAppendClassification guards against reporting a record that may be in the
// log as not appended, and against sending a record twice.
func TestAppendClassification(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    string
	}{
		"acknowledged":      {respondWith(http.StatusOK, `{"offset":7}`), "ok"},
		"connection closed": {closeConnection, "unknown"},
		"redirect":          {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusTemporaryRedirect) }, "unknown"},
		"overload":          {respondWith(http.StatusServiceUnavailable, ""), "unknown"},
		"request timeout":   {respondWith(http.StatusRequestTimeout, ""), "unknown"},
		"too large":         {respondWith(http.StatusRequestEntityTooLarge, ""), "not appended"},
		"no offset":         {respondWith(http.StatusOK, `{}`), "unknown"},
		"not JSON":          {respondWith(http.StatusOK, `offset 7`), "unknown"},
		"endless response":  {respondWith(http.StatusOK, strings.Repeat(" ", 2<<10)), "unknown"},
	} {
		var requests atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			body, _ := io.ReadAll(r.Body)
			if r.URL.Path != "/v1/log/append" || string(body) != "record" {
				t.Errorf("%s: got %s with %q", name, r.URL.Path, body)
			}
			c.handler(w, r)
		}))
		client := newClient(t, srv.URL)
		for range 2 {
			offset, err := client.Append(context.Background(), []byte("record"))
			if got := classifyError(err); got != c.want || (err == nil && offset != 7) {
				t.Errorf("%s: offset %d, %s (%v), want %s", name, offset, got, err, c.want)
			}
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("%s: 2 appends sent %d requests", name, n)
		}
		srv.Close()
	}
}

func classifyError(err error) string {
	var unavailable *port.LogUnavailableError
	var unknown *port.AppendUnknownError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &unavailable):
		return "not appended"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return "untyped"
}

// TestAppendNotSent guards against reporting an unknown result, which causes a
// wait of a minute, when the record was certainly not sent.
func TestAppendNotSent(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	client := newClient(t, srv.URL)
	if _, err := client.Append(context.Background(), []byte("record")); classifyError(err) != "not appended" {
		t.Errorf("connection refused: %v", err)
	}
	if _, err := client.Append(context.Background(), make([]byte, 1<<20)); classifyError(err) != "not appended" {
		t.Errorf("record too large: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := client.Append(ctx, []byte("record")); classifyError(err) != "not appended" {
		t.Errorf("canceled before dialing: %v", err)
	}
}

// TestRead guards against accepting records with an offset gap, and against
// reading from a truncated offset as if the log were empty.
func TestRead(t *testing.T) {
	for name, c := range map[string]struct{ body, want string }{
		"two records": {`{"first":3,"next":7,"records":[{"offset":5,"time_ms":1000,"data":"YQ=="},{"offset":6,"time_ms":2000,"data":"Yg=="}]}`, "ok"},
		"none":        {`{"first":3,"next":5,"records":[]}`, "ok"},
		"truncated":   {`{"first":6,"next":6,"records":[]}`, "truncated"},
		"gap":         {`{"first":3,"next":7,"records":[{"offset":6,"time_ms":1000,"data":"YQ=="}]}`, "unavailable"},
		"too many":    {`{"first":3,"next":8,"records":[{"offset":5},{"offset":6},{"offset":7}]}`, "unavailable"},
		"no first":    {`{"next":5}`, "unavailable"},
		"bad base64":  {`{"first":3,"next":6,"records":[{"offset":5,"data":"*"}]}`, "unavailable"},
		"endless":     {strings.Repeat(" ", 2<<10), "unavailable"},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if got := r.URL.RequestURI(); got != "/v1/log/records?from=5&limit=2&wait_ms=1500" {
				t.Errorf("%s: got request URI %s", name, got)
			}
			_, _ = io.WriteString(w, c.body)
		}))
		batch, err := newClient(t, srv.URL).Read(context.Background(), 5, 2, 1500*time.Millisecond)
		var truncated *port.TruncatedError
		got := "ok"
		switch {
		case errors.As(err, &truncated) && truncated.FirstOffset == 6:
			got = "truncated"
		case classifyError(err) == "not appended":
			got = "unavailable"
		case err != nil:
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%s: got %s (%v), want %s", name, got, err, c.want)
		}
		if name == "two records" && (len(batch.Records) != 2 || string(batch.Records[1].Data) != "b" || batch.Records[1].Time.UnixMilli() != 2000) {
			t.Errorf("got %+v", batch)
		}
		srv.Close()
	}
}

// TestNewRejectsInvalidURL guards against an invalid URL that is detected only at
// the first read.
func TestNewRejectsInvalidURL(t *testing.T) {
	for _, url := range []string{"", "10.0.0.5:7000", "ftp://host", "http://"} {
		if _, err := logservice.New(logservice.DefaultConfig(url)); err == nil {
			t.Errorf("%q: no error", url)
		}
	}
}
