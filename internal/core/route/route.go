// Package route maps a method and a path to a service and a request class.
package route

import (
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Table is a compiled route table. It is safe for concurrent reads.
type Table struct {
	routes []document.Route
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

// New compiles routes, which must not change afterwards. The longest path
// prefix wins; among routes of the same prefix, one that names the method wins
// over one for all methods.
func New(routes []document.Route) *Table {
	t := &Table{
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

// Lookup returns the route of a request, or nil.
func (t *Table) Lookup(method, path string) *document.Route {
	best := t.match("", method)
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
		if r := t.match(path[:end], method); r != nil {
			best = r
		}
	}
	return best
}

// match returns the route of one prefix, or nil.
func (t *Table) match(prefix, method string) *document.Route {
	i, ok := t.first[prefix]
	if !ok {
		return nil
	}
	var anyMethod *document.Route
	for ; i != none; i = t.next[i] {
		r := &t.routes[i]
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
