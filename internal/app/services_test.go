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

// TestCrossRegionRate guards against a pace that is not taken from the document,
// not the smallest one, or kept when the document has none any more.
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

// TestActivatePacesUploads guards against a pace that does not reach the
// transport: at 1 byte per second the body can't be sent before the deadline.
func TestActivatePacesUploads(t *testing.T) {
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
	s.activate(1, &document.Document{Services: []document.Service{{Name: "s", Classes: []document.Class{class}}}})
	if send() {
		t.Fatal("the upload was not paced")
	}
}
