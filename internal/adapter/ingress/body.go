package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// readBody buffers the request body unless the class is an upload. This happens
// before admission, so that a slow caller does not occupy a slot.
func (q *request) readBody() *Problem {
	limit := int64(q.class.MaxRequestBytes)
	if q.r.ContentLength > limit {
		return q.bodyTooLarge()
	}
	if q.class.Upload != nil {
		return nil
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	_, err := q.readWholeBody()
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return q.bodyTooLarge()
	case errors.Is(err, errStopping):
		return q.stoppingProblem()
	case errors.Is(err, errMemoryFull):
		return q.memoryFullProblem()
	case errors.Is(err, errBodyStall):
		return bodyTimeoutProblem("the request body made no progress, and other requests needed its memory")
	case errors.As(err, &timeout) && timeout.Timeout():
		return bodyTimeoutProblem("the request body did not arrive before the deadline, or stalled")
	case err != nil:
		return notRunProblem(http.StatusBadRequest, "bad_body", "the request body is truncated")
	}
	q.setReadDeadline(time.Time{})
	return nil
}

func (q *request) bodyTooLarge() *Problem {
	return notRunProblem(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is larger than max_request_bytes of class %q: %d", q.class.Name, q.class.MaxRequestBytes))
}

// limitedBody returns a reader of the request body that fails at the size limit
// of the class.
func (q *request) limitedBody() io.ReadCloser {
	body := q.r.Body
	if q.caller != nil {
		body = &q.caller.body
	}
	return http.MaxBytesReader(q.w, body, int64(q.class.MaxRequestBytes))
}

func (q *request) newBody() io.Reader {
	if q.class.Upload != nil && q.bufferedBody == nil {
		return q.limitedBody()
	}
	if len(q.bufferedBody) > 0 {
		return bytes.NewReader(q.bufferedBody)
	}
	if q.body.size() == 0 {
		return nil
	}
	return q.body.reader()
}

func (q *request) contentLength() int64 {
	if q.class.Upload != nil {
		return q.r.ContentLength
	}
	return q.body.size()
}

// interruptBody aborts a blocked read of the request body.
func (q *request) interruptBody() {
	q.interrupted.Store(true)
	q.setReadDeadline(time.Now())
}
