package document

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Bounds of a document's values.
const (
	maxNameLength   = 128
	maxSlots        = 10_000
	maxConnections  = 100_000
	maxQueueLength  = 100_000
	maxServingHosts = 64
	maxAttempts     = 10
	maxDeadline     = time.Hour
	minProbe        = 100 * time.Millisecond
	maxBuffered     = 64 << 20
	maxBody         = 1 << 40
	maxWeight       = 1_000_000
	maxPriority     = 100
)

// Validate checks the ranges and references of a document. The error is of
// type Errors and has no lines.
//
// Every host decides with it which proposals of the log are accepted, so hosts
// of two builds disagree when it accepts different documents: once a build is
// released, a change of what is accepted needs a higher FormatVersion.
func (d *Document) Validate() error {
	if errs := d.validate(); len(errs) > 0 {
		return errs
	}
	return nil
}

func (d *Document) validate() Errors {
	v := &validator{zones: map[ident.Zone]bool{}, classes: map[ident.ServiceName]map[ident.ClassName]bool{}}
	v.check("format", d.Format == FormatVersion, "is %d, want %d", d.Format, FormatVersion)
	v.name("name", d.Name)
	v.regions(d.Regions)
	names := map[string]bool{}
	for i := range d.Services {
		at := fmt.Sprintf("services[%d]", i)
		v.unique(at+".name", names, string(d.Services[i].Name))
		v.service(at, &d.Services[i])
	}
	v.routes(d.Routes)
	return v.errs
}

type validator struct {
	errs    Errors
	zones   map[ident.Zone]bool
	classes map[ident.ServiceName]map[ident.ClassName]bool
}

func (v *validator) check(path string, ok bool, format string, args ...any) {
	if !ok {
		v.errs.add(path, format, args...)
	}
}

// item is a place in a list. Its path is only built for an error: with 70,000
// routes, building all paths took most of the time of a check.
type item struct {
	list  string
	index int
}

// field returns the path of a field of the item, or of the item itself.
func (e item) field(name string) string {
	path := fmt.Sprintf("%s[%d]", e.list, e.index)
	if name == "" {
		return path
	}
	return path + "." + name
}

func (v *validator) between(path string, value, low, high int64) {
	v.check(path, value >= low && value <= high, "is %d, want %d to %d", value, low, high)
}

func (v *validator) fraction(path string, value float64) {
	v.check(path, value >= 0 && value <= 1, "is %g, want 0 to 1", value)
}

func (v *validator) duration(path string, value Duration, low, high time.Duration) {
	v.check(path, time.Duration(value) >= low && time.Duration(value) <= high, "is %s, want %s to %s", value, low, high)
}

func (v *validator) size(path string, value, low, high Size) {
	v.check(path, value >= low && value <= high, "is %s, want %s to %s", value, low, high)
}

func validName(value string) bool {
	ok := value != "" && len(value) <= maxNameLength
	for _, r := range value {
		ok = ok && (r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	}
	return ok
}

func (v *validator) name(path, value string) {
	v.check(path, validName(value), "is %q, want 1 to %d letters, digits, '-', '_' or '.'", value, maxNameLength)
}

func (v *validator) unique(path string, seen map[string]bool, value string) {
	v.name(path, value)
	v.check(path, !seen[value], "%q is used twice", value)
	seen[value] = true
}

func validPath(value string) bool {
	return strings.HasPrefix(value, "/") && !strings.ContainsAny(value, " ?#")
}

func (v *validator) urlPath(path, value string) {
	v.check(path, validPath(value), "is %q, want a path that starts with '/', without space, '?' or '#'", value)
}

func (v *validator) statuses(path string, list []int) {
	for i, s := range list {
		v.between(fmt.Sprintf("%s[%d]", path, i), int64(s), 400, 599)
	}
}

func (v *validator) regions(regions []Region) {
	v.check("regions", len(regions) > 0, "there is no region")
	names := map[string]bool{}
	for i, r := range regions {
		at := fmt.Sprintf("regions[%d]", i)
		v.unique(at+".name", names, string(r.Name))
		v.check(at+".zones", len(r.Zones) > 0, "the region has no availability zone")
		for j, z := range r.Zones {
			path := fmt.Sprintf("%s.zones[%d]", at, j)
			v.name(path, string(z))
			v.check(path, !v.zones[z], "%q is used twice", z)
			v.zones[z] = true
		}
	}
}

func (v *validator) service(at string, s *Service) {
	v.between(at+".serving_hosts", int64(s.ServingHosts), 1, maxServingHosts)
	v.between(at+".limits.queue_length", int64(s.Limits.QueueLength), 0, maxQueueLength)
	v.fraction(at+".retry.budget", s.Retry.Budget)
	v.between(at+".retry.max_attempts", int64(s.Retry.MaxAttempts), 1, maxAttempts)
	v.check(at+".selection", s.Selection == LeastLoaded || s.Selection == ExpectedCost, "is %q, want %q or nothing", s.Selection, ExpectedCost)
	v.between(at+".connections", int64(s.Connections), 0, maxConnections)
	v.health(at+".health", &s.Health)
	v.targets(at, s.Targets)
	v.check(at+".classes", len(s.Classes) > 0, "the service has no request class")
	names := map[string]bool{}
	known := map[ident.ClassName]bool{}
	for i := range s.Classes {
		path := fmt.Sprintf("%s.classes[%d]", at, i)
		v.unique(path+".name", names, string(s.Classes[i].Name))
		v.class(path, &s.Classes[i])
		known[s.Classes[i].Name] = true
	}
	v.classes[s.Name] = known
}

func (v *validator) health(at string, h *Health) {
	v.fraction(at+".balance", h.Balance)
	v.statuses(at+".failure_statuses", h.FailureStatuses)
	v.statuses(at+".shed_statuses", h.ShedStatuses)
	for _, f := range h.FailureStatuses {
		for i, s := range h.ShedStatuses {
			v.check(fmt.Sprintf("%s.shed_statuses[%d]", at, i), s != f, "%d is also in failure_statuses", s)
		}
	}
	if h.ProbePath != "" {
		v.urlPath(at+".probe_path", h.ProbePath)
		v.duration(at+".probe_interval", h.ProbeInterval, minProbe, maxDeadline)
	}
	if h.LoadPath != "" {
		v.urlPath(at+".load_path", h.LoadPath)
		v.check(at+".load_path", h.ProbePath != "", "load reports are read with probes, but probe_path is empty")
	}
}

func (v *validator) targets(at string, targets []Target) {
	v.check(at+".targets", len(targets) > 0, "the service has no target")
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, t := range targets {
		path := fmt.Sprintf("%s.targets[%d]", at, i)
		v.unique(path+".name", names, string(t.Name))
		_, err := netip.ParseAddrPort(t.Address)
		v.check(path+".address", err == nil, "is %q, want IP:port", t.Address)
		v.check(path+".address", !addresses[t.Address], "%q is used twice", t.Address)
		addresses[t.Address] = true
		v.check(path+".zone", v.zones[t.Zone], "%q is not a zone of regions", t.Zone)
		v.between(path+".slots", int64(t.Slots), 1, maxSlots)
		v.between(path+".connections", int64(t.Connections), 1, maxConnections)
	}
}

func (v *validator) class(at string, c *Class) {
	v.fraction(at+".floor", c.Floor)
	v.duration(at+".deadline", c.Deadline, time.Millisecond, maxDeadline)
	v.duration(at+".attempt_timeout", c.AttemptTimeout, time.Millisecond, time.Duration(c.Deadline))
	v.statuses(at+".not_run_statuses", c.NotRunStatuses)
	v.size(at+".max_request_bytes", c.MaxRequestBytes, 0, maxBody)
	v.size(at+".max_buffered_answer_bytes", c.MaxBufferedAnswerBytes, 0, maxBuffered)
	v.duration(at+".timeout", c.Timeout, 0, maxDeadline)
	v.duration(at+".objective", c.Objective, 0, maxDeadline)
	v.between(at+".priority", int64(c.Priority), 0, maxPriority)
	v.between(at+".max_attempts", int64(c.MaxAttempts), 0, maxAttempts)
	if c.Upload == nil {
		v.size(at+".max_request_bytes", c.MaxRequestBytes, 0, maxBuffered)
		return
	}
	v.size(at+".upload.min_bytes_per_second", c.Upload.MinBytesPerSecond, 0, maxBody)
	v.size(at+".upload.max_bytes_per_second_across_regions", c.Upload.MaxBytesPerSecondAcrossRegions, 1, maxBody)
}

func (v *validator) routes(routes []Route) {
	names := make(map[string]bool, len(routes))
	taken := make(map[request]string, len(routes))
	for i := range routes {
		r, at := &routes[i], item{"routes", i}
		if !validName(r.Name) || names[r.Name] {
			v.unique(at.field("name"), names, r.Name)
		}
		names[r.Name] = true
		if !validPath(r.PathPrefix) {
			v.urlPath(at.field("path_prefix"), r.PathPrefix)
		}
		if strings.HasPrefix(r.PathPrefix, ownPaths) {
			v.errs.add(at.field("path_prefix"), "paths below %s belong to the hosts", ownPaths)
		}
		v.destinations(at, r)
		v.methods(at, r, taken)
	}
}

// destinations checks the services that a route leads to.
func (v *validator) destinations(at item, r *Route) {
	if len(r.Split) > 0 && r.Service != "" {
		v.errs.add(at.field("service"), "is %q, but the route has a split", r.Service)
	}
	for i, s := range r.Split {
		if s.Weight < 1 || s.Weight > maxWeight {
			v.errs.add(at.field(fmt.Sprintf("split[%d].weight", i)), "is %d, want 1 to %d", s.Weight, maxWeight)
		}
	}
	for _, name := range r.Services() {
		known, ok := v.classes[name]
		if !ok {
			v.errs.add(at.field("service"), "there is no service %q", name)
		} else if !known[r.Class] {
			v.errs.add(at.field("class"), "service %q has no class %q", name, r.Class)
		}
	}
}

// ownPaths is the prefix of the paths that hosts answer themselves.
const ownPaths = "/.sapphirehaven"

// request is what one route matches: a host name and a method, empty for all, and
// a prefix.
type request struct{ host, method, prefix string }

func (v *validator) methods(at item, r *Route, taken map[request]string) {
	prefix := strings.TrimRight(r.PathPrefix, "/")
	if len(r.Methods) == 0 {
		v.take(at, r, request{r.Host, "", prefix}, taken)
	}
	for j, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) || strings.ContainsAny(m, " *") {
			v.errs.add(at.field(fmt.Sprintf("methods[%d]", j)), "is %q, want a method in capitals such as GET", m)
		}
		v.take(at, r, request{r.Host, m, prefix}, taken)
	}
}

// take reserves what a route matches for it.
func (v *validator) take(at item, r *Route, key request, taken map[request]string) {
	if other := taken[key]; other != "" {
		v.errs.add(at.field(""), "matches the same requests as route %q", other)
	}
	taken[key] = r.Name
}
