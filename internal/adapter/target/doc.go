// Package target is the transport to targets. It sends one attempt once and
// reports exactly how far the attempt got.
//
// # Why not http.Transport
//
// http.Transport repeats a request on another connection when a reused one
// closes before the response and the request has no body and is idempotent by
// method or carries an Idempotency-Key. A target that ran the request and then
// closed the connection runs it twice. This package keeps its own connections,
// counts the bytes written to each and never repeats anything by itself.
//
// # Connections
//
// A connection carries one request at a time. It is reused only after the
// whole request was written, the whole response was read, nothing else is
// buffered and neither side asked to close. After a timeout, a cancellation
// or a malformed response it is closed, so a late response reaches nobody.
// Non-idempotent requests use a new connection or one that delivered a
// response within Config.NonIdempotentReuse. When a reused connection is found
// dead or silent, the idle connections that were opened before are closed.
//
// # Memory
//
// An attempt holds one read buffer (Config.ReadBufferBytes, default 4 KiB),
// at most Config.MaxHeadBytes of response head, and for the request body one
// buffer: the whole body when its declared length is at most
// Config.InlineBodyBytes (default 16 KiB), otherwise a streaming buffer of
// 32 KiB. The kernel's socket buffers come on top. The size of a streamed body
// does not change these bounds.
//
// # Request bodies
//
// A body is first read after a connection is ready, so a server that sends
// "100 Continue" on the first Read invites the caller only then. Small bodies
// are read whole before the first byte is sent: a caller that fails while
// sending one leaves the request provably not sent.
package target
