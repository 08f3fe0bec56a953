package app

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// TestCrossRegionRate guards against a rate limit that is not the lowest one of the document, or that
// is not 0 for a document without one.
func TestCrossRegionRate(t *testing.T) {
	upload := func(rate document.Size) document.Class {
		return document.Class{Upload: &document.Upload{MaxBytesPerSecondAcrossRegions: rate}}
	}
	for _, c := range []struct {
		classes []document.Class
		want    int64
	}{
		{nil, 0},
		{[]document.Class{{}, upload(0)}, 0},
		{[]document.Class{upload(300), {}, upload(200), upload(0), upload(400)}, 200},
	} {
		doc := &document.Document{Services: []document.Service{{}, {Classes: c.classes}}}
		if got := crossRegionRate(doc); got != c.want {
			t.Errorf("rate %d, want %d", got, c.want)
		}
	}
}

// TestActivateLimitsUploadRate guards against a rate limit that is not passed to the transport. At 1
// byte per second, the body cannot be sent before the deadline.
func TestActivateLimitsUploadRate(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	defer srv.Close()
	transport := target.New(target.DefaultConfig())
	defer transport.Close()
	s := newServices(dispatch.Self{Host: "h"}, transport, nil)
	defer s.close()
	send := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		response, _ := transport.Do(ctx, target.Attempt{
			Address: srv.Listener.Addr().String(), Method: "POST", URI: "/", Host: "h",
			Body: strings.NewReader(strings.Repeat("x", 200<<10)), ContentLength: 200 << 10, CrossRegion: true, Class: "scan",
		})
		if response != nil {
			response.Finish()
		}
		return response != nil
	}
	class := document.Class{Name: "scan", Upload: &document.Upload{MaxBytesPerSecondAcrossRegions: 1}}
	s.apply(1, &document.Document{Services: []document.Service{{Name: "s", Classes: []document.Class{class}}}})
	if send() {
		t.Fatal("the upload was not rate-limited")
	}
}
