// Package route maps a method and a path to a service and a request class.
package route

import (
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Table is a compiled route table. It is safe for concurrent reads.
type Table struct{ root node }

type node struct {
	children map[string]*node
	routes   []*document.Route
}

// New compiles routes. The longest path prefix wins; among routes of the same
// prefix, one that names the method wins over one for all methods.
func New(routes []document.Route) *Table {
	t := &Table{}
	for i := range routes {
		n := &t.root
		for _, segment := range segments(routes[i].PathPrefix) {
			n = n.child(segment)
		}
		n.routes = append(n.routes, &routes[i])
	}
	return t
}

// Lookup returns the route of a request, or nil.
func (t *Table) Lookup(method, path string) *document.Route {
	n := &t.root
	best := n.match(method)
	rest := strings.TrimPrefix(path, "/")
	for n != nil && rest != "" {
		var segment string
		segment, rest, _ = strings.Cut(rest, "/")
		n = n.children[segment]
		if n == nil {
			break
		}
		if r := n.match(method); r != nil {
			best = r
		}
	}
	return best
}

func (n *node) child(segment string) *node {
	if n.children == nil {
		n.children = map[string]*node{}
	}
	c := n.children[segment]
	if c == nil {
		c = &node{}
		n.children[segment] = c
	}
	return c
}

func (n *node) match(method string) *document.Route {
	var anyMethod *document.Route
	for _, r := range n.routes {
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

func segments(path string) []string {
	path = strings.Trim(path, "/")
	if path == "" {
		return nil
	}
	return strings.Split(path, "/")
}
