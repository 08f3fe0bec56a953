package ingress

import (
	"net/http"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// maxRecordedBytes is the maximum size of a response body that is stored for
// retries.
const maxRecordedBytes = 64 << 10

// recordingWriter forwards a response and keeps a copy for retries.
type recordingWriter struct {
	http.ResponseWriter
	status   int
	body     []byte
	tooLarge bool
}

// WriteHeader implements http.ResponseWriter.
func (w *recordingWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *recordingWriter) Write(p []byte) (int, error) {
	w.tooLarge = w.tooLarge || len(w.body)+len(p) > maxRecordedBytes
	if !w.tooLarge {
		w.body = append(w.body, p...)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *recordingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// stored returns the copy of the response, or nil if the response was too large.
func (w *recordingWriter) stored() *ticket.Response {
	if w.tooLarge {
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

// bufferWriter buffers the response to a relayed request.
type bufferWriter struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (w *bufferWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *bufferWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *bufferWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body = append(w.body, p...)
	return len(p), nil
}

func (w *bufferWriter) response() port.RelayedResponse {
	return port.RelayedResponse{Status: w.status, Header: w.header, Body: w.body}
}
