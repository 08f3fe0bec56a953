package document

import (
	"slices"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// maxChanges bounds the sections of a delta that are checked by themselves.
const maxChanges = 256

// ValidateChange checks a document that a delta turned a valid one into. The
// result is that of Validate. A few changed routes and targets are checked by
// themselves and against the others, since validating 70,000 routes and 51,000
// targets takes about 100 ms; any other change, and any doubt, leads to Validate.
func (d *Document) ValidateChange(delta Delta) error {
	if c, ok := delta.parts(); ok && d.servicesValid(c.services) && d.routesValid(c.routes) {
		return nil
	}
	return d.Validate()
}

// changedParts names what a delta changes in routes and targets.
type changedParts struct {
	// routes holds added and changed routes. Removing one cannot make a document
	// invalid.
	routes map[string]bool
	// services holds the services of added, changed and removed targets.
	services map[ident.ServiceName]bool
}

// parts reports false when the delta concerns anything else than routes and
// targets, or too many of them.
func (d Delta) parts() (c changedParts, ok bool) {
	c = changedParts{routes: map[string]bool{}, services: map[ident.ServiceName]bool{}}
	if len(d.Changed)+len(d.Deleted) > maxChanges {
		return c, false
	}
	for _, s := range d.Changed {
		if name, isRoute := strings.CutPrefix(s.Key, routePrefix); isRoute {
			c.routes[name] = true
		} else if !c.addTarget(s.Key) {
			return c, false
		}
	}
	for _, key := range d.Deleted {
		if !strings.HasPrefix(key, routePrefix) && !c.addTarget(key) {
			return c, false
		}
	}
	return c, true
}

func (c changedParts) addTarget(key string) bool {
	rest, isTarget := strings.CutPrefix(key, targetPrefix)
	service, _, _ := strings.Cut(rest, "/")
	c.services[ident.ServiceName(service)] = true
	return isTarget
}

// servicesValid reports whether the named services and their targets are valid.
func (d *Document) servicesValid(names map[ident.ServiceName]bool) bool {
	v := &validator{zones: map[ident.Zone]bool{}, classes: map[ident.ServiceName]map[ident.ClassName]bool{}}
	v.regions(d.Regions)
	found := 0
	for i := range d.Services {
		if s := &d.Services[i]; names[s.Name] {
			v.service("", s)
			found++
		}
	}
	return found == len(names) && len(v.errs) == 0
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
		if !slices.ContainsFunc(routes, func(r Route) bool { return slices.Contains(r.Services(), s.Name) }) {
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
// requests. A route that names the method takes precedence over one for all methods.
func (r *Route) sameMethods(o Route) bool {
	if r.Host != o.Host {
		return false
	}
	if len(r.Methods) == 0 || len(o.Methods) == 0 {
		return len(r.Methods) == len(o.Methods)
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(o.Methods, m) })
}
