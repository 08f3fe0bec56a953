// Package route maps a host name, a method and a path to a service and a request
// class.
package route

import (
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Table is a compiled route table. It is safe for concurrent reads.
type Table struct {
	// all holds the routes for all host names, hosts those for one.
	all   *prefixes
	hosts map[string]*prefixes
}

// New compiles routes, which must not change afterwards. A route for the host
// name wins over one for all; then the longest path prefix wins, and among routes
// of the same prefix one that names the method wins over one for all methods.
func New(routes []document.Route) *Table {
	byHost := map[string][]*document.Route{}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		byHost[host] = append(byHost[host], &routes[i])
	}
	t := &Table{hosts: make(map[string]*prefixes, len(byHost))}
	for host, list := range byHost {
		t.hosts[host] = newPrefixes(list)
	}
	t.all = t.hosts[""]
	delete(t.hosts, "")
	return t
}

// Hosts returns whether any route names a host.
func (t *Table) HasHostRoutes() bool { return len(t.hosts) > 0 }

// Lookup returns the route of a request, or nil. host may have a port.
func (t *Table) Lookup(host, method, path string) *document.Route {
	if len(t.hosts) > 0 {
		if r := t.hosts[hostName(host)].lookup(method, path); r != nil {
			return r
		}
	}
	return t.all.lookup(method, path)
}

// hostName returns a host name in lower case and without a port.
func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// prefixes holds the routes of one host name by path prefix.
type prefixes struct {
	routes []*document.Route
	// first holds the number of the first route of each path prefix, without
	// slashes around it. One map of whole prefixes takes a quarter of the memory
	// of a tree with a map for each segment.
	first map[string]int32
	// next holds the number of the next route of the same prefix, none after the
	// last one.
	next []int32
	// longest is the length of the longest prefix. No longer part of a path is
	// looked up, so the cost of a lookup does not grow with the path.
	longest int
}

// none ends a list of routes.
const none = -1

func newPrefixes(routes []*document.Route) *prefixes {
	t := &prefixes{
		routes: routes,
		first:  make(map[string]int32, len(routes)),
		next:   make([]int32, len(routes)),
	}
	for i := len(routes) - 1; i >= 0; i-- {
		prefix := strings.Trim(routes[i].PathPrefix, "/")
		t.longest = max(t.longest, len(prefix))
		t.next[i] = none
		if later, ok := t.first[prefix]; ok {
			t.next[i] = later
		}
		t.first[prefix] = int32(i)
	}
	return t
}

// lookup returns the route of a request, or nil.
func (t *prefixes) lookup(method, path string) *document.Route {
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
		if end > t.longest {
			break
		}
		if r := t.match(path[:end], method, end < len(path)); r != nil {
			best = r
		}
	}
	return best
}

// match returns the route of one prefix, or nil. below tells whether the path goes
// on after the prefix.
func (t *prefixes) match(prefix, method string, below bool) *document.Route {
	i, ok := t.first[prefix]
	if !ok {
		return nil
	}
	var anyMethod *document.Route
	for ; i != none; i = t.next[i] {
		r := t.routes[i]
		if !below && onlyBelow(r) {
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

// onlyBelow tells whether a route leaves out the path that equals its prefix
// without the last slash.
func onlyBelow(r *document.Route) bool {
	return r.Host != "" && strings.HasSuffix(r.PathPrefix, "/")
}
