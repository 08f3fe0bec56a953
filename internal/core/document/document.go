// Package document defines the configuration document that operators write: the
// proxied services and their targets, the routing and classification of requests,
// and the health policies. It parses and validates the YAML format.
package document

import "github.com/sapphirehaven/sapphirehaven/internal/core/ident"

// FormatVersion is the document format version that this build supports.
const FormatVersion = 1

// Document is a configuration document.
type Document struct {
	Format   int       `yaml:"format"`
	Name     string    `yaml:"name"`
	Regions  []Region  `yaml:"regions"`
	Services []Service `yaml:"services"`
	Routes   []Route   `yaml:"routes"`
}

// Region is a region and its availability zones.
type Region struct {
	Name  ident.Region `yaml:"name"`
	Zones []ident.Zone `yaml:"zones"`
}

// Service is a service that the hosts proxy.
type Service struct {
	Name    ident.ServiceName `yaml:"name"`
	Targets []Target          `yaml:"targets"`
	Classes []Class           `yaml:"classes"`
	Health  Health            `yaml:"health"`
	Limits  Limits            `yaml:"limits"`
	Retry   Retry             `yaml:"retry"`
	// ServingHosts is the number of hosts in each region that serve the service;
	// default 4.
	ServingHosts int `yaml:"serving_hosts"`
	// Selection is the target selection policy; default LeastLoaded.
	Selection Selection `yaml:"selection,omitempty" json:",omitempty"`
	// Connections limits the connections from all hosts together to each target
	// that registers itself; default 0, which means 330, the number that a
	// target accepts. A target listed in the document has its own limit.
	Connections int `yaml:"connections,omitempty" json:",omitempty"`
}

// Selection is a target selection policy.
type Selection string

// Target selection policies.
const (
	// LeastLoaded selects the least loaded of the nearest targets.
	LeastLoaded Selection = ""
	// ExpectedCost selects the target with the lowest expected cost, computed from
	// failure probability, distance and load.
	ExpectedCost Selection = "expected_cost"
)

// Target is one upstream endpoint of a service.
type Target struct {
	Name ident.TargetID `yaml:"name"`
	// Address has the form IP:port.
	Address string     `yaml:"address"`
	Zone    ident.Zone `yaml:"zone"`
	// Slots is the number of requests that the target serves concurrently.
	Slots int `yaml:"slots"`
	// Connections limits the connections from all hosts together; default 330.
	Connections int `yaml:"connections"`
}

// Class is a request class.
type Class struct {
	Name       ident.ClassName `yaml:"name"`
	Idempotent bool            `yaml:"idempotent"`
	// Floor is the minimum fraction of slots that ejection keeps in service;
	// default 0.5.
	Floor float64 `yaml:"floor"`
	// Deadline applies if the caller does not send one; default 5s.
	Deadline Duration `yaml:"deadline"`
	// AttemptTimeout limits the duration of one attempt; default: the deadline.
	AttemptTimeout Duration `yaml:"attempt_timeout"`
	// NotRunStatuses lists the response statuses that mean that the target did not
	// execute the request; default none.
	NotRunStatuses []int `yaml:"not_run_statuses"`
	// MaxRequestBytes limits the request body; default 1 MiB.
	MaxRequestBytes Size `yaml:"max_request_bytes"`
	// MaxBufferedAnswerBytes limits the response bodies that are buffered until
	// they are complete; default 1 MiB.
	MaxBufferedAnswerBytes Size `yaml:"max_buffered_answer_bytes"`
	// Upload, if set, makes large request bodies stream to the target.
	Upload *Upload `yaml:"upload,omitempty"`
	// LargeBodies marks a class with large request bodies, which raises the cost
	// of targets in other zones and regions; default false.
	LargeBodies bool `yaml:"large_bodies,omitempty" json:",omitempty"`
	// LargeResponses marks a class with large responses, which raises the cost of targets
	// in other zones and regions.
	LargeResponses bool `yaml:"large_responses,omitempty" json:",omitempty"`
	// Timeout limits how long a caller waits for the response, regardless of the
	// deadline that the caller sends; default 0, no limit.
	Timeout Duration `yaml:"timeout,omitempty" json:",omitempty"`
	// Objective is the latency objective; default 0, none.
	Objective Duration `yaml:"objective,omitempty" json:",omitempty"`
	// Priority orders the classes of a service, 0 is served first; default 0.
	Priority int `yaml:"priority,omitempty" json:",omitempty"`
	// MaxAttempts limits the number of targets that one request is sent to;
	// default 0, which means the service's retry.max_attempts.
	MaxAttempts int `yaml:"max_attempts,omitempty" json:",omitempty"`
}

// Upload holds the settings for streamed request bodies.
type Upload struct {
	// MinBytesPerSecond is the minimum transfer rate. A request whose body arrives
	// more slowly is aborted, which frees its slot; default 16 KiB/s.
	MinBytesPerSecond Size `yaml:"min_bytes_per_second"`
	// MaxBytesPerSecondAcrossRegions limits the rate of uploads over links between
	// regions; default 1 MiB/s.
	MaxBytesPerSecondAcrossRegions Size `yaml:"max_bytes_per_second_across_regions"`
}

// Health is the health policy of a service.
type Health struct {
	// Balance weighs false ejections against detection time: 0 considers only
	// false ejections, 1 only detection time; default 0.5.
	Balance float64 `yaml:"balance"`
	// FailureStatuses lists the statuses that count as failures; default 500,
	// 502, 504.
	FailureStatuses []int `yaml:"failure_statuses"`
	// ShedStatuses lists the statuses that indicate overload rather than failure;
	// default 429, 503.
	ShedStatuses []int `yaml:"shed_statuses"`
	// ProbePath is the URL path of health probes; empty disables probes.
	ProbePath string `yaml:"probe_path"`
	// ProbeInterval is the interval at which the serving hosts of a region together
	// probe a target; default 2s.
	ProbeInterval Duration `yaml:"probe_interval"`
	// LoadPath is the URL path of the load report; empty disables load reports.
	LoadPath string `yaml:"load_path"`
}

// Limits holds the limits on queued requests.
type Limits struct {
	// QueueLength is the maximum number of queued requests on one host; default 64.
	QueueLength int `yaml:"queue_length"`
}

// Retry is the retry policy of a service.
type Retry struct {
	// Budget is the fraction of recent requests that may be retried; default 0.1.
	Budget float64 `yaml:"budget"`
	// MaxAttempts limits the attempts of an idempotent request; default 3.
	MaxAttempts int `yaml:"max_attempts"`
}

// Route assigns matching requests to a service and a request class.
type Route struct {
	Name string `yaml:"name"`
	// PathPrefix matches whole path segments.
	PathPrefix string `yaml:"path_prefix"`
	// Methods lists the HTTP methods; empty matches all.
	Methods []string          `yaml:"methods"`
	Service ident.ServiceName `yaml:"service"`
	Class   ident.ClassName   `yaml:"class"`
	// Host restricts the route to requests for one host name; empty matches all.
	// With a host name, a prefix that ends with a slash matches only paths below it.
	Host string `yaml:"host,omitempty" json:",omitempty"`
	// Split distributes the requests among several services instead of Service.
	Split []Share `yaml:"split,omitempty" json:",omitempty"`
	// Anonymous routes need no key, also where the deployment has teams.
	Anonymous bool `yaml:"anonymous,omitempty" json:",omitempty"`
}

// Share is the weight of one service in a split route.
type Share struct {
	Service ident.ServiceName `yaml:"service"`
	// Weight is relative to the other shares of the route.
	Weight int `yaml:"weight"`
}

// Rejected reports whether the host does not understand the route and refuses its
// requests. Such a route has no class.
func (r *Route) Rejected() bool { return r.Class == "" }

// Services returns the services that the route's requests can be sent to.
func (r *Route) Services() []ident.ServiceName {
	if len(r.Split) == 0 {
		return []ident.ServiceName{r.Service}
	}
	names := make([]ident.ServiceName, 0, len(r.Split))
	for _, s := range r.Split {
		names = append(names, s.Service)
	}
	return names
}
