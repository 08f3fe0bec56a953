// Package target implements the HTTP transport to targets. It sends each attempt
// at most once and reports exactly which stage the attempt reached.
//
// # Why not http.Transport
//
// http.Transport retries a request on another connection when a reused one is
// closed before the response, if the request has no body and either has an
// idempotent method or carries an Idempotency-Key. A target that ran the request
// and then closed the connection would run it twice. This package manages its
// own connections, counts the bytes written to each and never retries.
//
// # Connections
//
// A connection carries one request at a time. It is reused only after the
// whole request was written, the whole response was read, no further bytes are
// buffered and neither side requested to close it. After a timeout, a
// cancellation or a malformed response it is closed, so that a late response is
// not delivered to another caller. Non-idempotent requests use a new connection
// or one that delivered a response within Config.NonIdempotentReuse. When a
// reused connection turns out to be dead or unresponsive, all idle connections
// to that target are closed.
//
// # Rejections
//
// A rejection proves that its request did not run only if it is known to belong to that
// request: it carries the ID of the request, or it has no ID and the connection has
// carried no earlier rejection without one. Targets may write an earlier rejection once
// more, at any time. Therefore a connection is not reused after a rejection without the
// ID of its request, nor for a request that was rejected on it before. A rejection
// without an ID proves nothing if the target has returned IDs on its connection, and
// neither does one that is followed by further bytes or is incomplete. A head that
// contains a second status line is malformed: it may be the start of an earlier rejection
// joined with the response to the request.
//
// # Memory
//
// An attempt holds one read buffer (Config.ReadBufferBytes, default 4 KiB),
// at most Config.MaxHeadBytes of response head, and one buffer for the request
// body: the whole body if its declared length is at most
// Config.InlineBodyBytes (default 16 KiB), otherwise a streaming buffer of
// 32 KiB. The kernel's socket buffers are additional. The size of a streamed
// body does not affect these bounds.
//
// # Request bodies
//
// The body is not read before a connection is established, so a server that
// sends "100 Continue" on the first Read sends it only then. Small bodies are
// read completely before the first byte is sent: if the caller fails while
// sending one, the request is known not to have been sent.
package target
