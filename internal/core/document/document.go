// Package document defines the operators' document: which services are
// fronted, which targets they have, how requests are routed and classified,
// and what counts as healthy. It parses and validates the YAML form.
package document

import "github.com/sapphirehaven/sapphirehaven/internal/core/ident"

// FormatVersion is the document format that this build reads.
const FormatVersion = 1

// Document is one operators' document.
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

// Service is a fronted service.
type Service struct {
	Name    ident.ServiceName `yaml:"name"`
	Targets []Target          `yaml:"targets"`
	Classes []Class           `yaml:"classes"`
	Health  Health            `yaml:"health"`
	Limits  Limits            `yaml:"limits"`
	Retry   Retry             `yaml:"retry"`
	// ServingHosts is the number of serving hosts in each region; default 4.
	ServingHosts int `yaml:"serving_hosts"`
	// Selection is how a target is selected; default LeastLoaded.
	Selection Selection `yaml:"selection,omitempty" json:",omitempty"`
	// Connections bounds the connections from all hosts to each target that
	// registers itself; default 0, 330. Targets of the document have their own.
	Connections int `yaml:"connections,omitempty" json:",omitempty"`
}

// Selection names a way to select a target.
type Selection string

// Ways to select a target.
const (
	// LeastLoaded selects the least loaded target among the nearest.
	LeastLoaded Selection = ""
	// ExpectedCost selects the target with the least expected cost of failure,
	// distance and load.
	ExpectedCost Selection = "expected_cost"
)

// Target is one upstream of a service.
type Target struct {
	Name ident.TargetID `yaml:"name"`
	// Address is IP:port.
	Address string     `yaml:"address"`
	Zone    ident.Zone `yaml:"zone"`
	// Slots is the number of requests served at once.
	Slots int `yaml:"slots"`
	// Connections bounds the connections from all hosts; default 330.
	Connections int `yaml:"connections"`
}

// Class is a request class.
type Class struct {
	Name       ident.ClassName `yaml:"name"`
	Idempotent bool            `yaml:"idempotent"`
	// Floor is the fraction of slots that ejection never goes below; default 0.5.
	Floor float64 `yaml:"floor"`
	// Deadline applies when the caller states none; default 5s.
	Deadline Duration `yaml:"deadline"`
	// AttemptTimeout bounds one attempt; default: the deadline.
	AttemptTimeout Duration `yaml:"attempt_timeout"`
	// NotRunStatuses lists the statuses by which a target says that it did not
	// run the request; default none.
	NotRunStatuses []int `yaml:"not_run_statuses"`
	// MaxRequestBytes bounds the request body; default 1 MiB.
	MaxRequestBytes Size `yaml:"max_request_bytes"`
	// MaxBufferedAnswerBytes bounds answers that are held back until they are
	// whole; default 1 MiB.
	MaxBufferedAnswerBytes Size `yaml:"max_buffered_answer_bytes"`
	// Upload marks large request bodies that stream.
	Upload *Upload `yaml:"upload,omitempty"`
	// LargeBodies tells that request bodies are large, so that a way to another
	// zone or region costs more; default false.
	LargeBodies bool `yaml:"large_bodies,omitempty" json:",omitempty"`
	// Timeout bounds how long a request is kept waiting, whatever deadline its
	// caller states; default 0, no bound.
	Timeout Duration `yaml:"timeout,omitempty" json:",omitempty"`
	// Objective is the latency objective; default 0, none.
	Objective Duration `yaml:"objective,omitempty" json:",omitempty"`
	// Priority ranks the class within its service, 0 is served first; default 0.
	Priority int `yaml:"priority,omitempty" json:",omitempty"`
	// MaxAttempts bounds the targets that one request is sent to; default 0, the
	// service's retry.max_attempts.
	MaxAttempts int `yaml:"max_attempts,omitempty" json:",omitempty"`
}

// Upload holds the rules for large request bodies.
type Upload struct {
	// MinBytesPerSecond is the rate below which a caller loses its slot;
	// default 16 KiB/s.
	MinBytesPerSecond Size `yaml:"min_bytes_per_second"`
	// MaxBytesPerSecondAcrossRegions paces uploads over the link between
	// regions; default 1 MiB/s.
	MaxBytesPerSecondAcrossRegions Size `yaml:"max_bytes_per_second_across_regions"`
}

// Health is the health policy of a service.
type Health struct {
	// Balance is 0 to weigh false ejections only, 1 to weigh detection time
	// only; default 0.5.
	Balance float64 `yaml:"balance"`
	// FailureStatuses lists the statuses that count as failures; default 500,
	// 502, 504.
	FailureStatuses []int `yaml:"failure_statuses"`
	// ShedStatuses lists the statuses that mean load; default 429, 503.
	ShedStatuses []int `yaml:"shed_statuses"`
	// ProbePath is the path of a probe; empty disables probes.
	ProbePath string `yaml:"probe_path"`
	// ProbeInterval is the time between probes of a target by the serving hosts
	// of a region together; default 2s.
	ProbeInterval Duration `yaml:"probe_interval"`
	// LoadPath is the path of the load report; empty disables it.
	LoadPath string `yaml:"load_path"`
}

// Limits bounds waiting requests.
type Limits struct {
	// QueueLength is the number of requests that may wait on one host; default 64.
	QueueLength int `yaml:"queue_length"`
}

// Retry is the retry policy of a service.
type Retry struct {
	// Budget is the fraction of recent requests that may be retried; default 0.1.
	Budget float64 `yaml:"budget"`
	// MaxAttempts bounds the attempts of an idempotent request; default 3.
	MaxAttempts int `yaml:"max_attempts"`
}

// Route sends requests to a service and class.
type Route struct {
	Name string `yaml:"name"`
	// PathPrefix matches whole path segments.
	PathPrefix string `yaml:"path_prefix"`
	// Methods lists the methods; empty matches all.
	Methods []string          `yaml:"methods"`
	Service ident.ServiceName `yaml:"service"`
	Class   ident.ClassName   `yaml:"class"`
	// Host limits the route to requests for one host name; empty matches all.
	// With a host, a prefix that ends with a slash matches only paths below it.
	Host string `yaml:"host,omitempty" json:",omitempty"`
	// Split distributes the requests among services in place of Service.
	Split []Share `yaml:"split,omitempty" json:",omitempty"`
}

// Share is one service's part of a split route.
type Share struct {
	Service ident.ServiceName `yaml:"service"`
	// Weight is relative to the other shares of the route.
	Weight int `yaml:"weight"`
}

// Services returns the services that the route's requests may go to.
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
