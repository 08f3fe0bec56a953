package ingress

import (
	"net/http"
	"strings"
)

// sentTarget returns the request target in origin form exactly as the caller sent it: path
// and query, without decoding. The scheme and host of an absolute target are left out;
// net/http has put the host into r.Host.
func sentTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	_, afterScheme, absolute := strings.Cut(r.RequestURI, "://")
	if !absolute || r.URL.Scheme == "" || r.URL.Host == "" {
		return r.URL.RequestURI()
	}
	at := strings.IndexAny(afterScheme, "/?")
	switch {
	case at < 0:
		return "/"
	case afterScheme[at] == '?':
		return "/" + afterScheme[at:]
	}
	return afterScheme[at:]
}

// sentPath returns the path of the request target as the caller sent it. Routes are selected
// by it, because it is what the target receives: with the decoded path, "%2F" would select
// another route than the one that the target's own router sees.
func sentPath(r *http.Request) string {
	path, _, _ := strings.Cut(sentTarget(r), "?")
	return path
}
