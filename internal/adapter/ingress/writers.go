package ingress

import (
	"net/http"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// maxRecordedBytes bounds the body that is kept for a repeat of a request.
const maxRecordedBytes = 64 << 10

// recordingWriter passes a response on and keeps a copy of it for repeats.
type recordingWriter struct {
	http.ResponseWriter
	status   int
	body     []byte
	overlong bool
}

// WriteHeader implements http.ResponseWriter.
func (w *recordingWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *recordingWriter) Write(p []byte) (int, error) {
	w.overlong = w.overlong || len(w.body)+len(p) > maxRecordedBytes
	if !w.overlong {
		w.body = append(w.body, p...)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *recordingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// stored returns the copy, or nil when the response was too large.
func (w *recordingWriter) stored() *ticket.Response {
	if w.overlong {
		return nil
	}
	r := &ticket.Response{Status: w.status, Body: w.body}
	for name, values := range w.Header() {
		if name == "Connection" {
			continue
		}
		for _, v := range values {
			r.Headers = append(r.Headers, ticket.Header{Name: name, Value: v})
		}
	}
	return r
}

// memoryWriter holds a response for the peer protocol.
type memoryWriter struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (w *memoryWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *memoryWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *memoryWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body = append(w.body, p...)
	return len(p), nil
}

func (w *memoryWriter) response() port.RelayedResponse {
	return port.RelayedResponse{Status: w.status, Header: w.header, Body: w.body}
}
