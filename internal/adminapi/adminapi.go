// Package adminapi defines the paths and messages of the administration interface, which the daemon
// serves and sapphirectl uses.
package adminapi

import "time"

// Paths of the administration interface.
const (
	PathStatus    = "/v1/status"
	PathMembers   = "/v1/members"
	PathTimeline  = "/v1/timeline"
	PathDocument  = "/v1/document"
	PathProposals = "/v1/document/proposals/"
	PathHistory   = "/v1/document/history"
)

// ApplyTimeout is the time after which a host reports the result of a proposal as unknown. It exceeds
// revision.AppendConfig.ResultTimeout, so that a withdrawal has time to take effect. The timeout of a
// client must be longer for the client to receive the ID of the proposal.
const ApplyTimeout = 25 * time.Second

// Status is the state of one host.
type Status struct {
	Host        string    `json:"host"`
	Incarnation uint64    `json:"incarnation"`
	Region      string    `json:"region"`
	Zone        string    `json:"zone"`
	Draining    bool      `json:"draining"`
	InFlight    int       `json:"in_flight"`
	Revision    uint64    `json:"revision"`
	Hash        string    `json:"hash"`
	AsOf        int64     `json:"as_of"`
	InForceAt   time.Time `json:"in_force_at"`
	// LogAvailable reports whether the log service, or the platform's store, was reached recently by
	// this host or, as far as it knows, by another one. It is false if this host's last read of the
	// log failed.
	LogAvailable bool      `json:"log_available"`
	ReadsLog     bool      `json:"reads_log"`
	Services     []Service `json:"services"`
	// Quotas holds the teams with a quota and with recent requests on this host.
	Quotas []Quota `json:"quotas,omitempty"`
	// QuotasOmitted is the number of such teams beyond the bound of an answer.
	QuotasOmitted int `json:"quotas_omitted,omitempty"`
	// Limits is set on the platform.
	Limits *Limits `json:"limits,omitempty"`
}

// Quota is the state of the quota of a team on one host.
type Quota struct {
	Team          string  `json:"team"`
	RatePerSecond float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
	// Permits is the number of permits in stock, and Waiting that of requests that wait.
	Permits int `json:"permits"`
	Waiting int `json:"waiting"`
	// Owner is the host that hands out the permits. AnswerAgeSeconds is the time since its
	// last response, nil if there was none.
	Owner            string   `json:"owner"`
	AnswerAgeSeconds *float64 `json:"answer_age_s,omitempty"`
	UsedUp           bool     `json:"used_up"`
	// DeniedSeconds is the rest of the time for which the owner said that it has no permits, nil if
	// the host may ask for one.
	DeniedSeconds *float64 `json:"denied_s,omitempty"`
}

// Limits is what a host holds for its clients, and the bounds of it.
type Limits struct {
	BudgetBytes int64 `json:"budget_bytes"`
	// UsedBytes is the part of the budget that each class uses.
	UsedBytes      map[string]int64 `json:"used_bytes"`
	ArrivingBodies int              `json:"arriving_bodies"`
	Connections    int              `json:"connections"`
	// MaxConnections is 0 if there is no bound.
	MaxConnections int `json:"max_connections"`
}

// Service is the state of a service on one host.
type Service struct {
	Name    string   `json:"name"`
	Serving bool     `json:"serving"`
	Queued  int      `json:"queued"`
	Targets []Target `json:"targets"`
}

// Target is the state of a target on one host.
type Target struct {
	Name     string  `json:"name"`
	State    string  `json:"state"`
	Weight   float64 `json:"weight"`
	InFlight int     `json:"in_flight"`
	Score    float64 `json:"score"`
	// RateLimit is the number of requests per second that the target states to accept
	// from all hosts, nil if it states none.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	// PauseSeconds is the rest of the time in seconds for which the target wants no
	// requests of this host, nil if it does not pause.
	PauseSeconds *float64 `json:"pause_s,omitempty"`
	// Leaving is set if the target has stated in a response that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Member is the state of a host as known to another host.
type Member struct {
	Host          string `json:"host"`
	Incarnation   uint64 `json:"incarnation"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	State         string `json:"state"`
}

// Event is an event of a host's timeline.
type Event struct {
	WallMicros int64    `json:"wall_us"`
	Logical    uint32   `json:"logical"`
	Host       string   `json:"host"`
	Kind       string   `json:"kind"`
	Fields     []string `json:"fields"`
}

// Proposal is a document that an operator submits.
type Proposal struct {
	YAML []byte
	// Base is the revision that the document is based on.
	Base   uint64
	Author string
	Note   string
}

// Results of a proposal.
const (
	ResultAccepted = "accepted"
	ResultRefused  = "refused"
	ResultUnknown  = "unknown"
	ResultInvalid  = "invalid"
	// ResultValid is the result of a validation without a proposal.
	ResultValid = "valid"
)

// ProposalResult is the result of validating or proposing a document.
type ProposalResult struct {
	ID       string `json:"id"`
	Result   string `json:"result"`
	Revision uint64 `json:"revision,omitempty"`
	Hash     string `json:"hash,omitempty"`
	Offset   int64  `json:"offset,omitempty"`
	// Reason explains why a document was refused or its result is unknown, and what to do.
	Reason string `json:"reason,omitempty"`
	// Errors lists the errors in an invalid document.
	Errors []string `json:"errors,omitempty"`
	// Difference lists the differences from the active document.
	Difference string `json:"difference,omitempty"`
}

// Document is the active document.
type Document struct {
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	Offset   int64  `json:"offset"`
	YAML     string `json:"yaml"`
}

// HistoryEntry is one decision about a proposal.
type HistoryEntry struct {
	ID     string `json:"id"`
	Result string `json:"result"`
	Reason string `json:"reason,omitempty"`
	// Revision and Hash are those of an accepted proposal.
	Revision uint64 `json:"revision,omitempty"`
	Hash     string `json:"hash,omitempty"`
	Author   string `json:"author"`
	Note     string `json:"note"`
	Offset   int64  `json:"offset"`
	// DecidedAt is the log timestamp of the record that decided the proposal.
	DecidedAt time.Time `json:"decided_at"`
}
