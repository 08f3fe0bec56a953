// Package ingress serves callers: it answers which hosts to use, routes each
// request under exactly one revision of the document, carries out the attempts
// that the service's dispatcher decides on, and states the outcome of every
// request.
//
// Responses up to a configured size are held back until they are complete, so
// that another attempt can replace one that breaks off. A larger response is
// streamed, and when it breaks off the caller's connection is aborted, so that
// a truncated response never looks complete.
package ingress
