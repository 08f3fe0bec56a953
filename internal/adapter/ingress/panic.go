package ingress

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
)

// abandon ends a request whose goroutine panics. The request is canceled before its attempt
// is finished, so that the dispatcher starts no further one. Both calls have no effect if
// the request or the attempt has already ended.
func (q *request) abandon() {
	q.call.Cancel()
	if q.response != nil {
		q.response.Finish()
	}
	q.backend.Engine.Finish(q.current, dispatch.Result{Kind: attempt.Canceled})
}

// recoverPanic logs a panic and returns the problem to send to the caller, or nil if the
// response has already begun and must be broken off.
func (q *request) recoverPanic(cause any) *Problem {
	if cause == http.ErrAbortHandler {
		return nil
	}
	q.aborted = true
	recovery.Count()
	q.server.cfg.Log.Write(requestlog.Line{
		Event:   "panic",
		Request: q.wireID,
		Fields:  logrus.Fields{"panic": fmt.Sprint(cause), "stack": string(debug.Stack())},
	})
	if q.caller == nil || q.caller.started {
		return nil
	}
	// Headers of a target must not appear in a response of this host.
	h := q.w.Header()
	clear(h)
	h.Set(q.server.cfg.Dialect.RequestID, q.wireID)
	return unknownOutcomeProblem(http.StatusBadGateway, "internal", "the request ended with an internal error; it may have run")
}
