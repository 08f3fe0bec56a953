// Package route maps the host name, method and path of a request to a service and a
// request class.
package route

import (
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Table is a compiled route table. It is safe for concurrent reads.
type Table struct {
	// anyHost holds the routes without a host name, byHost those of each host name.
	anyHost *prefixTable
	byHost  map[string]*prefixTable
}

// New compiles routes, which must not change afterwards. A route for the host name
// takes precedence over one without a host name, then the longest path prefix, and
// among routes with the same prefix one that names the method over one for all methods.
func New(routes []document.Route) *Table {
	routesByHost := map[string][]*document.Route{}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		routesByHost[host] = append(routesByHost[host], &routes[i])
	}
	t := &Table{byHost: make(map[string]*prefixTable, len(routesByHost))}
	for host, list := range routesByHost {
		t.byHost[host] = newPrefixTable(list)
	}
	t.anyHost = t.byHost[""]
	delete(t.byHost, "")
	return t
}

// HasHostRoutes reports whether any route is specific to a host name.
func (t *Table) HasHostRoutes() bool { return len(t.byHost) > 0 }

// Lookup returns the route of a request, or nil if there is none. The host can include
// a port. The path is the one that the caller sent, without decoding.
func (t *Table) Lookup(host, method, path string) *document.Route {
	if len(t.byHost) > 0 {
		if r := t.byHost[hostName(host)].lookup(method, path); r != nil {
			return r
		}
	}
	return t.anyHost.lookup(method, path)
}

// hostName returns the host name in lower case and without the port.
func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// prefixTable holds the routes of one host name by path prefix.
type prefixTable struct {
	routes []*document.Route
	// first maps each path prefix, without leading and trailing slashes, to the index
	// of its first route. One map of whole prefixes takes a quarter of the memory of a
	// tree with a map for each segment.
	first map[string]int32
	// next holds the index of the next route with the same prefix, or none.
	next []int32
	// maxLength is the length of the longest prefix. Longer parts of a path are not
	// looked up, so the cost of a lookup does not grow with the length of the path.
	maxLength int
}

// none terminates a list of routes.
const none = -1

func newPrefixTable(routes []*document.Route) *prefixTable {
	t := &prefixTable{
		routes: routes,
		first:  make(map[string]int32, len(routes)),
		next:   make([]int32, len(routes)),
	}
	for i := len(routes) - 1; i >= 0; i-- {
		prefix := tableKey(routes[i])
		t.maxLength = max(t.maxLength, len(prefix))
		t.next[i] = none
		if following, ok := t.first[prefix]; ok {
			t.next[i] = following
		}
		t.first[prefix] = int32(i)
	}
	return t
}

// tableKey returns the path prefix of a route without leading and trailing slashes. Of a
// prefix that matches only paths below it, one of each is left out: "//x/" is another prefix
// than "/x/".
func tableKey(r *document.Route) string {
	if excludesBarePrefix(r) {
		return strings.TrimSuffix(strings.TrimPrefix(r.PathPrefix, "/"), "/")
	}
	return strings.Trim(r.PathPrefix, "/")
}

// lookup returns the route of a request, or nil if there is none.
func (t *prefixTable) lookup(method, path string) *document.Route {
	if t == nil {
		return nil
	}
	best := t.match("", method, true)
	path = strings.TrimPrefix(path, "/")
	for end := 0; end < len(path); end++ {
		segment := strings.IndexByte(path[end:], '/')
		if segment < 0 {
			segment = len(path) - end
		}
		end += segment
		if end > t.maxLength {
			break
		}
		if r := t.match(path[:end], method, end < len(path)); r != nil {
			best = r
		}
	}
	return best
}

// match returns the route of one prefix, or nil if there is none. hasMore is set if the
// path continues after the prefix.
func (t *prefixTable) match(prefix, method string, hasMore bool) *document.Route {
	i, ok := t.first[prefix]
	if !ok {
		return nil
	}
	var anyMethod *document.Route
	for ; i != none; i = t.next[i] {
		r := t.routes[i]
		if !hasMore && excludesBarePrefix(r) {
			continue
		}
		if len(r.Methods) == 0 {
			anyMethod = r
		}
		for _, m := range r.Methods {
			if m == method {
				return r
			}
		}
	}
	return anyMethod
}

// excludesBarePrefix reports whether a route does not match the path that equals its
// prefix without the trailing slash. Only routes with a host name do so, as document.Route
// specifies: this is the rule of the platform, whose routes name a host. Other prefixes
// match whole path segments.
func excludesBarePrefix(r *document.Route) bool {
	return r.Host != "" && strings.HasSuffix(r.PathPrefix, "/")
}
