// Package ingress implements the HTTP server for callers. It returns host
// addresses and tickets, routes each request under exactly one revision of the
// document, executes the attempts chosen by the service's dispatcher, and
// reports the outcome of every request.
//
// Responses up to a configured size are buffered until they are complete, so
// that a truncated response can be replaced by another attempt. A larger
// response is streamed. If it is truncated, the caller's connection is aborted,
// so that the response never appears complete.
package ingress
