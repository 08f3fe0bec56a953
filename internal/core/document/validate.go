package document

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Limits of document values.
const (
	maxNameLength    = 128
	maxSlots         = 10_000
	maxConnections   = 100_000
	maxQueueLength   = 100_000
	maxServingHosts  = 64
	maxAttempts      = 10
	maxDeadline      = time.Hour
	minProbeInterval = 100 * time.Millisecond
	maxBufferedBytes = 64 << 20
	maxBodyBytes     = 1 << 40
	maxWeight        = 1_000_000
	maxPriority      = 100
)

// Validate checks the value ranges and references of a document. The error has
// type Errors, without line numbers.
//
// Every host uses it to decide which proposals in the log are accepted. Builds
// that accept different documents would diverge, so after a release any change of
// what is accepted requires a higher FormatVersion.
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
		prefix := fmt.Sprintf("services[%d]", i)
		v.unique(prefix+".name", names, string(d.Services[i].Name))
		v.service(prefix, &d.Services[i])
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

// listItem identifies an element of a list. Its path is formatted only for errors:
// with 70,000 routes, formatting all paths took most of the validation time.
type listItem struct {
	list  string
	index int
}

// fieldPath returns the path of a field of the item, or of the item itself.
func (e listItem) fieldPath(name string) string {
	path := fmt.Sprintf("%s[%d]", e.list, e.index)
	if name == "" {
		return path
	}
	return path + "." + name
}

func (v *validator) inRange(path string, value, low, high int64) {
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
		v.inRange(fmt.Sprintf("%s[%d]", path, i), int64(s), 400, 599)
	}
}

func (v *validator) regions(regions []Region) {
	v.check("regions", len(regions) > 0, "there is no region")
	names := map[string]bool{}
	for i, r := range regions {
		prefix := fmt.Sprintf("regions[%d]", i)
		v.unique(prefix+".name", names, string(r.Name))
		v.check(prefix+".zones", len(r.Zones) > 0, "the region has no availability zone")
		for j, z := range r.Zones {
			path := fmt.Sprintf("%s.zones[%d]", prefix, j)
			v.name(path, string(z))
			v.check(path, !v.zones[z], "%q is used twice", z)
			v.zones[z] = true
		}
	}
}

func (v *validator) service(prefix string, s *Service) {
	v.inRange(prefix+".serving_hosts", int64(s.ServingHosts), 1, maxServingHosts)
	v.inRange(prefix+".limits.queue_length", int64(s.Limits.QueueLength), 0, maxQueueLength)
	v.fraction(prefix+".retry.budget", s.Retry.Budget)
	v.inRange(prefix+".retry.max_attempts", int64(s.Retry.MaxAttempts), 1, maxAttempts)
	v.check(prefix+".selection", s.Selection == LeastLoaded || s.Selection == ExpectedCost, "is %q, want %q or nothing", s.Selection, ExpectedCost)
	v.inRange(prefix+".connections", int64(s.Connections), 0, maxConnections)
	v.health(prefix+".health", &s.Health)
	v.targets(prefix, s.Targets)
	v.check(prefix+".classes", len(s.Classes) > 0, "the service has no request class")
	names := map[string]bool{}
	known := map[ident.ClassName]bool{}
	for i := range s.Classes {
		path := fmt.Sprintf("%s.classes[%d]", prefix, i)
		v.unique(path+".name", names, string(s.Classes[i].Name))
		v.class(path, &s.Classes[i])
		known[s.Classes[i].Name] = true
	}
	v.classes[s.Name] = known
}

func (v *validator) health(prefix string, h *Health) {
	v.fraction(prefix+".balance", h.Balance)
	v.statuses(prefix+".failure_statuses", h.FailureStatuses)
	v.statuses(prefix+".shed_statuses", h.ShedStatuses)
	for _, f := range h.FailureStatuses {
		for i, s := range h.ShedStatuses {
			v.check(fmt.Sprintf("%s.shed_statuses[%d]", prefix, i), s != f, "%d is also in failure_statuses", s)
		}
	}
	if h.ProbePath != "" {
		v.urlPath(prefix+".probe_path", h.ProbePath)
		v.duration(prefix+".probe_interval", h.ProbeInterval, minProbeInterval, maxDeadline)
	}
	if h.LoadPath != "" {
		v.urlPath(prefix+".load_path", h.LoadPath)
		v.check(prefix+".load_path", h.ProbePath != "", "load reports are read with probes, but probe_path is empty")
	}
}

func (v *validator) targets(prefix string, targets []Target) {
	v.check(prefix+".targets", len(targets) > 0, "the service has no target")
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, t := range targets {
		path := fmt.Sprintf("%s.targets[%d]", prefix, i)
		v.unique(path+".name", names, string(t.Name))
		_, err := netip.ParseAddrPort(t.Address)
		v.check(path+".address", err == nil, "is %q, want IP:port", t.Address)
		v.check(path+".address", !addresses[t.Address], "%q is used twice", t.Address)
		addresses[t.Address] = true
		v.check(path+".zone", v.zones[t.Zone], "%q is not a zone of regions", t.Zone)
		v.inRange(path+".slots", int64(t.Slots), 1, maxSlots)
		v.inRange(path+".connections", int64(t.Connections), 1, maxConnections)
	}
}

func (v *validator) class(prefix string, c *Class) {
	v.fraction(prefix+".floor", c.Floor)
	v.duration(prefix+".deadline", c.Deadline, time.Millisecond, maxDeadline)
	v.duration(prefix+".attempt_timeout", c.AttemptTimeout, time.Millisecond, time.Duration(c.Deadline))
	v.statuses(prefix+".not_run_statuses", c.NotRunStatuses)
	v.size(prefix+".max_request_bytes", c.MaxRequestBytes, 0, maxBodyBytes)
	v.size(prefix+".max_buffered_answer_bytes", c.MaxBufferedAnswerBytes, 0, maxBufferedBytes)
	v.duration(prefix+".timeout", c.Timeout, 0, maxDeadline)
	v.duration(prefix+".objective", c.Objective, 0, maxDeadline)
	v.inRange(prefix+".priority", int64(c.Priority), 0, maxPriority)
	v.inRange(prefix+".max_attempts", int64(c.MaxAttempts), 0, maxAttempts)
	if c.Upload == nil {
		v.size(prefix+".max_request_bytes", c.MaxRequestBytes, 0, maxBufferedBytes)
		return
	}
	v.size(prefix+".upload.min_bytes_per_second", c.Upload.MinBytesPerSecond, 0, maxBodyBytes)
	v.size(prefix+".upload.max_bytes_per_second_across_regions", c.Upload.MaxBytesPerSecondAcrossRegions, 1, maxBodyBytes)
}

func (v *validator) routes(routes []Route) {
	names := make(map[string]bool, len(routes))
	owners := make(map[routeMatch]string, len(routes))
	for i := range routes {
		r, item := &routes[i], listItem{"routes", i}
		if !validName(r.Name) || names[r.Name] {
			v.unique(item.fieldPath("name"), names, r.Name)
		}
		names[r.Name] = true
		if !validPath(r.PathPrefix) {
			v.urlPath(item.fieldPath("path_prefix"), r.PathPrefix)
		}
		if strings.HasPrefix(r.PathPrefix, reservedPathPrefix) {
			v.errs.add(item.fieldPath("path_prefix"), "paths below %s belong to the hosts", reservedPathPrefix)
		}
		v.destinations(item, r)
		v.methods(item, r, owners)
	}
}

// destinations checks the services, weights and class of a route.
func (v *validator) destinations(item listItem, r *Route) {
	if len(r.Split) > 0 && r.Service != "" {
		v.errs.add(item.fieldPath("service"), "is %q, but the route has a split", r.Service)
	}
	for i, s := range r.Split {
		if s.Weight < 1 || s.Weight > maxWeight {
			v.errs.add(item.fieldPath(fmt.Sprintf("split[%d].weight", i)), "is %d, want 1 to %d", s.Weight, maxWeight)
		}
	}
	for _, name := range r.Services() {
		known, ok := v.classes[name]
		if !ok {
			v.errs.add(item.fieldPath("service"), "there is no service %q", name)
		} else if !known[r.Class] {
			v.errs.add(item.fieldPath("class"), "service %q has no class %q", name, r.Class)
		}
	}
}

// reservedPathPrefix is the prefix of the paths that hosts handle themselves.
const reservedPathPrefix = "/.sapphirehaven"

// routeMatch is a match criterion of a route: a host name, a method and a path
// prefix. An empty host or method matches all.
type routeMatch struct{ host, method, prefix string }

func (v *validator) methods(item listItem, r *Route, owners map[routeMatch]string) {
	prefix := strings.TrimRight(r.PathPrefix, "/")
	if len(r.Methods) == 0 {
		v.reserveMatch(item, r, routeMatch{r.Host, "", prefix}, owners)
	}
	for j, m := range r.Methods {
		if m == "" || m != strings.ToUpper(m) || strings.ContainsAny(m, " *") {
			v.errs.add(item.fieldPath(fmt.Sprintf("methods[%d]", j)), "is %q, want a method in capitals such as GET", m)
		}
		v.reserveMatch(item, r, routeMatch{r.Host, m, prefix}, owners)
	}
}

// reserveMatch records the route as the owner of a match criterion and reports an
// error if another route already owns it.
func (v *validator) reserveMatch(item listItem, r *Route, match routeMatch, owners map[routeMatch]string) {
	if other := owners[match]; other != "" {
		v.errs.add(item.fieldPath(""), "matches the same requests as route %q", other)
	}
	owners[match] = r.Name
}
