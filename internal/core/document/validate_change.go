package document

import (
	"slices"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// maxRouteChanges bounds the changed routes that are checked by themselves.
const maxRouteChanges = 256

// ValidateChange checks a document that a delta turned a valid one into. The
// result is that of Validate. A few changed routes are checked by themselves and
// against the others, since validating 70,000 routes takes about 100 ms; any
// other change, and any doubt, leads to Validate.
func (d *Document) ValidateChange(delta Delta) error {
	names := delta.changedRoutes()
	if names != nil && d.routesValid(names) {
		return nil
	}
	return d.Validate()
}

// changedRoutes returns the names of the added and changed routes, nil when the
// delta concerns anything else or too many routes. Removing a route cannot make
// a document invalid.
func (d Delta) changedRoutes() map[string]bool {
	if len(d.Changed) > maxRouteChanges {
		return nil
	}
	names := make(map[string]bool, len(d.Changed))
	for _, s := range d.Changed {
		name, isRoute := strings.CutPrefix(s.Key, routePrefix)
		if !isRoute {
			return nil
		}
		names[name] = true
	}
	for _, k := range d.Deleted {
		if !strings.HasPrefix(k, routePrefix) {
			return nil
		}
	}
	return names
}

// routesValid reports whether the named routes are valid and match no request of
// another route.
func (d *Document) routesValid(names map[string]bool) bool {
	var changed []Route
	for i := range d.Routes {
		if names[d.Routes[i].Name] {
			changed = append(changed, d.Routes[i])
		}
	}
	v := &validator{classes: d.classesOf(changed)}
	v.routes(changed)
	return len(changed) == len(names) && len(v.errs) == 0 && !d.overlaps(changed, names)
}

func (d *Document) classesOf(routes []Route) map[ident.ServiceName]map[ident.ClassName]bool {
	classes := map[ident.ServiceName]map[ident.ClassName]bool{}
	for i := range d.Services {
		s := &d.Services[i]
		if !slices.ContainsFunc(routes, func(r Route) bool { return r.Service == s.Name }) {
			continue
		}
		known := map[ident.ClassName]bool{}
		for j := range s.Classes {
			known[s.Classes[j].Name] = true
		}
		classes[s.Name] = known
	}
	return classes
}

// overlaps reports whether a route outside of names matches the same requests
// as one of the changed routes.
func (d *Document) overlaps(changed []Route, names map[string]bool) bool {
	byPrefix := map[string][]Route{}
	for _, r := range changed {
		prefix := strings.TrimRight(r.PathPrefix, "/")
		byPrefix[prefix] = append(byPrefix[prefix], r)
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		same := byPrefix[strings.TrimRight(r.PathPrefix, "/")]
		if len(same) == 0 || names[r.Name] {
			continue
		}
		if slices.ContainsFunc(same, r.sameMethods) {
			return true
		}
	}
	return false
}

// sameMethods reports whether two routes of the same prefix match the same
// requests. A route for all methods gives way to one that names a method.
func (r *Route) sameMethods(o Route) bool {
	if len(r.Methods) == 0 || len(o.Methods) == 0 {
		return len(r.Methods) == len(o.Methods)
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(o.Methods, m) })
}
