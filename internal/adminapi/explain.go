package adminapi

import "time"

// PathExplain is the path of explanations. The request is described by the parameters method, path,
// host_name and team, the name of a team. A key is never part of a question or an answer.
const PathExplain = "/v1/explain"

// Question describes a request whose routing is to be explained.
type Question struct {
	Method   string `json:"method"`
	Path     string `json:"path"`
	HostName string `json:"host_name,omitempty"`
	// Team is empty for a request without a key.
	Team string `json:"team,omitempty"`
}

// Outcomes of an explanation.
const (
	// OutcomeSent means that the request would be sent to a target at once.
	OutcomeSent = "sent"
	// OutcomeWaits means that it would wait for a permit of its team or for a slot.
	OutcomeWaits = "waits"
	// OutcomeRefused means that the host would respond itself.
	OutcomeRefused = "refused"
	// OutcomeUnknown means that the host cannot tell, see Explanation.Detail.
	OutcomeUnknown = "unknown"
)

// Reasons that are not those of a problem of a request.
const (
	// ReasonUnknownTeam means that the configuration contains no team of the name in the question.
	ReasonUnknownTeam = "team_not_configured"
	// ReasonNoForecast means that the dispatcher of the service draws targets at random, so that only
	// their state is shown.
	ReasonNoForecast = "targets_drawn_at_random"
	ReasonWaitsQuota = "waits_for_permit"
	ReasonWaitsSlot  = "waits_for_slot"
)

// Explanation is what a host would do now with a request, and why. It is made without sending the
// request and without an effect on later ones. Parts that were not reached are missing. Ages are in
// seconds and missing if nothing was heard.
type Explanation struct {
	Host   string    `json:"host"`
	Region string    `json:"region"`
	Zone   string    `json:"zone"`
	At     time.Time `json:"at"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	// HostName is the host name of the request.
	HostName string `json:"host_name,omitempty"`

	Outcome string `json:"outcome"`
	// Reason is the type of the problem that the caller would get, or one of the reasons above, and
	// Status its status. Detail says the same in words.
	Reason            string   `json:"reason,omitempty"`
	Status            int      `json:"status,omitempty"`
	Detail            string   `json:"detail,omitempty"`
	RetryAfterSeconds *float64 `json:"retry_after_s,omitempty"`
	// Target is the target to which the request would be sent. If the request would be refused or
	// wait for a permit before a target is chosen, it is the one that would be chosen otherwise.
	Target string `json:"target,omitempty"`

	Draining      bool                    `json:"draining,omitempty"`
	Configuration *ExplainedConfiguration `json:"configuration,omitempty"`
	Route         *ExplainedRoute         `json:"route,omitempty"`
	Class         *ExplainedClass         `json:"class,omitempty"`
	Team          *ExplainedTeam          `json:"team,omitempty"`
	Admission     *ExplainedAdmission     `json:"admission,omitempty"`
	Queue         *ExplainedQueue         `json:"queue,omitempty"`
	Zones         *ExplainedZones         `json:"zones,omitempty"`
	Targets       []ExplainedTarget       `json:"targets,omitempty"`
	// TargetsOmitted is the number of targets beyond the bound of an answer, those with
	// the highest cost.
	TargetsOmitted int `json:"targets_omitted,omitempty"`
}

// ExplainedConfiguration is the configuration by which a request is routed.
type ExplainedConfiguration struct {
	Revision  uint64    `json:"revision"`
	InForceAt time.Time `json:"in_force_at"`
	// ConfirmedAgeSeconds is the time since the store last confirmed the copy, and Newest is set if
	// the host knows of no newer one. They are missing with a log service.
	ConfirmedAgeSeconds *float64 `json:"confirmed_age_s,omitempty"`
	Newest              *bool    `json:"newest,omitempty"`
	// TargetsAgeSeconds is the time since the store last confirmed the configuration and the list of
	// targets, whichever is longer ago.
	TargetsAgeSeconds *float64 `json:"targets_age_s,omitempty"`
}

// ExplainedRoute is the route of a request.
type ExplainedRoute struct {
	Name       string   `json:"name"`
	HostName   string   `json:"host_name,omitempty"`
	PathPrefix string   `json:"path_prefix"`
	Methods    []string `json:"methods,omitempty"`
	Anonymous  bool     `json:"anonymous"`
	// Service is the service to which the request would be sent: of a split route, the one for its
	// next request. Split holds the weights.
	Service string         `json:"service,omitempty"`
	Split   map[string]int `json:"split,omitempty"`
}

// ExplainedClass is the class of a request.
type ExplainedClass struct {
	Name string `json:"name"`
	// Kind is safe, unsafe, upload or download.
	Kind             string  `json:"kind"`
	Idempotent       bool    `json:"idempotent"`
	Priority         int     `json:"priority"`
	DeadlineSeconds  float64 `json:"deadline_s"`
	TimeoutSeconds   float64 `json:"timeout_s,omitempty"`
	ObjectiveSeconds float64 `json:"objective_s,omitempty"`
	MaxAttempts      int     `json:"max_attempts,omitempty"`
	// ServiceTimeSeconds is the mean response time that was measured, 0 if it is unknown.
	ServiceTimeSeconds    float64  `json:"service_time_s"`
	ServiceTimeAgeSeconds *float64 `json:"service_time_age_s,omitempty"`
}

// ExplainedTeam is the team of a request. Quota is missing for a team without a limit.
type ExplainedTeam struct {
	Name     string          `json:"name"`
	Priority int             `json:"priority"`
	Quota    *ExplainedQuota `json:"quota,omitempty"`
}

// ExplainedQuota is the quota of a team as the host sees it.
type ExplainedQuota struct {
	Quota
	// Recent is set if the team had recent requests on the host.
	Recent bool `json:"recent"`
	// Decision is granted, waits, exceeded or unknown: what a request would get now.
	Decision          string   `json:"decision"`
	RetryAfterSeconds *float64 `json:"retry_after_s,omitempty"`
	// MaxWaitSeconds is the time for which the request would wait for a permit.
	MaxWaitSeconds float64 `json:"max_wait_s"`
}

// ExplainedAdmission is the state of the admission levels of a service.
type ExplainedAdmission struct {
	// Enabled is set if the configuration has teams, Active while capacity is short.
	Enabled bool `json:"enabled"`
	Active  bool `json:"active"`
	// TeamPriority and ClassPriority are the level of the request, Part the part of such requests of
	// its team that is admitted, 0 to 1.
	TeamPriority  int     `json:"team_priority"`
	ClassPriority int     `json:"class_priority"`
	Part          float64 `json:"part"`
	// FirstLimited is the first level that is admitted in part, while Active is set.
	FirstLimited *AdmissionLevel `json:"first_limited,omitempty"`
	// Demand, Capacity and Budget are in requests per second.
	Demand   float64 `json:"demand_per_s"`
	Capacity float64 `json:"capacity_per_s"`
	Budget   float64 `json:"budget_per_s"`
	// Hosts is the number of other hosts whose reports are in use, ReportAgeSeconds the age of the
	// oldest of these, UpdatedAgeSeconds that of the levels.
	Hosts             int      `json:"hosts"`
	ReportAgeSeconds  *float64 `json:"report_age_s,omitempty"`
	UpdatedAgeSeconds *float64 `json:"updated_age_s,omitempty"`
}

// AdmissionLevel is a level with its admitted part.
type AdmissionLevel struct {
	TeamPriority  int     `json:"team_priority"`
	ClassPriority int     `json:"class_priority"`
	Part          float64 `json:"part"`
}

// ExplainedQueue is the queue of a service on the host.
type ExplainedQueue struct {
	Waiting int `json:"waiting"`
	Length  int `json:"length"`
	// Position is the number of waiting requests that precede the request, WaitSeconds the expected
	// wait if it is not started at once.
	Position    int     `json:"position"`
	WaitSeconds float64 `json:"wait_s"`
	// Capacity is the number of slots that the host may use.
	Capacity    int     `json:"capacity"`
	Retryable   bool    `json:"retryable"`
	RetriesLeft float64 `json:"retries_left"`
	// FloorActive is set while the floor is enforced, HealthyTargets and UsedTargets are its inputs.
	FloorActive    bool `json:"floor_active"`
	HealthyTargets int  `json:"healthy_targets"`
	UsedTargets    int  `json:"used_targets"`
}

// ExplainedZones is the decision whether requests leave the zone of the host.
type ExplainedZones struct {
	// Shortage is the share of the requests for which the zone of the host has no capacity.
	Shortage float64 `json:"shortage"`
	// Leaves says why the request leaves the zone: stayed, no_target, no_room, tried, failing,
	// cheaper or floor. It is empty if no target is chosen.
	Leaves           string          `json:"leaves,omitempty"`
	SharesAgeSeconds *float64        `json:"shares_age_s,omitempty"`
	CostsAgeSeconds  *float64        `json:"costs_age_s,omitempty"`
	LinkUtilization  float64         `json:"link_utilization"`
	LinkAgeSeconds   *float64        `json:"link_age_s,omitempty"`
	Zones            []ExplainedZone `json:"zones"`
}

// ExplainedZone is a zone with targets of the service.
type ExplainedZone struct {
	Region   string  `json:"region"`
	Zone     string  `json:"zone"`
	Distance string  `json:"distance"`
	Slots    float64 `json:"slots"`
	Busy     float64 `json:"busy"`
	// Allowed is the share of the requests that the shortage justifies to send there, Used the
	// measured one.
	Allowed float64 `json:"allowed"`
	Used    float64 `json:"used"`
	// Cost is the cost of the distance, the sum of the others; Price is with PriceFactor.
	Cost        float64 `json:"cost"`
	Leave       float64 `json:"leave"`
	Delay       float64 `json:"delay"`
	Transfer    float64 `json:"transfer"`
	Price       float64 `json:"price"`
	PriceFactor float64 `json:"price_factor"`
}

// ExplainedTarget is a target with its cost for the request.
type ExplainedTarget struct {
	Name     string `json:"name"`
	Region   string `json:"region,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Distance string `json:"distance,omitempty"`
	// State is free, full, rate_limited, draining, leaving, paused, shedding or unavailable. With a
	// dispatcher that draws targets it is the one of Target.State.
	State                 string   `json:"state"`
	AvailableAfterSeconds *float64 `json:"available_after_s,omitempty"`
	Chosen                bool     `json:"chosen"`
	// Cost is missing with a dispatcher that draws targets.
	Cost      *ExplainedCost `json:"cost,omitempty"`
	InFlight  int            `json:"in_flight"`
	OtherLoad float64        `json:"other_load"`
	// LoadSource is target or hosts, the origin of OtherLoad, and LoadAgeSeconds its age.
	LoadSource     string   `json:"load_source,omitempty"`
	LoadAgeSeconds *float64 `json:"load_age_s,omitempty"`
	Slots          int      `json:"slots,omitempty"`
	FreeSlots      int      `json:"free_slots"`
	// FailureProbability is that of the request, FailingProbability that of the target being in a
	// failing state; Avoided is set while the latter is high.
	FailureProbability float64  `json:"failure_probability"`
	FailingProbability float64  `json:"failing_probability"`
	Avoided            bool     `json:"avoided"`
	OutcomeAgeSeconds  *float64 `json:"outcome_age_s,omitempty"`
	// LatencyRatio is the ratio of its response times to the usual ones.
	LatencyRatio      float64  `json:"latency_ratio,omitempty"`
	LatencyAgeSeconds *float64 `json:"latency_age_s,omitempty"`
	// RejectionShare is the recent share of attempts that the target rejected.
	RejectionShare      float64  `json:"rejection_share,omitempty"`
	RejectionAgeSeconds *float64 `json:"rejection_age_s,omitempty"`
	WarmupSeconds       *float64 `json:"warmup_left_s,omitempty"`
	Unregistered        bool     `json:"unregistered,omitempty"`
	RateLimit           *float64 `json:"rate_limit,omitempty"`
	Permits             int      `json:"permits,omitempty"`
	LimitAgeSeconds     *float64 `json:"rate_limit_age_s,omitempty"`
	// Weight and Score are those of Target, with a dispatcher that draws targets.
	Weight float64 `json:"weight,omitempty"`
	Score  float64 `json:"score,omitempty"`
}

// ExplainedCost is the cost of a target in lost requests: Total is the sum of the parts, less the three
// bonuses.
type ExplainedCost struct {
	Total    float64 `json:"total"`
	Failure  float64 `json:"failure"`
	Distance float64 `json:"distance"`
	// Rejections is the cost of the recent share of attempts that the target rejected, with teams.
	Rejections     float64 `json:"rejections"`
	Load           float64 `json:"load"`
	Slowness       float64 `json:"slowness"`
	Connection     float64 `json:"connection"`
	Affinity       float64 `json:"affinity"`
	Unregistered   float64 `json:"unregistered"`
	NewTargetBonus float64 `json:"new_target_bonus"`
	UsageBonus     float64 `json:"usage_bonus"`
	LimitBonus     float64 `json:"limit_bonus"`
}
