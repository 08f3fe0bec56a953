package ingress

import "net/http"

// ServesConcurrently reports whether a request may be served while an earlier one of its
// connection is: its route is idempotent under the current configuration. A stopping host
// starts no requests early, since it closes the connection after the next response.
func (s *Server) ServesConcurrently(r *http.Request) bool {
	active := s.active.Load()
	if active == nil || s.drain.draining() {
		return false
	}
	matched := active.Routes.Lookup(r.Host, r.Method, sentPath(r))
	if matched == nil || matched.Rejected() {
		return false
	}
	backend := active.Backends[matched.Services()[0]]
	if backend == nil {
		return false
	}
	class := backend.Classes[matched.Class]
	return class != nil && class.Idempotent
}
