package soak

// rule names what a breach breaks.
type rule string

// Rules that the soak checks.
const (
	// ruleTwice: a non-idempotent request ran twice.
	ruleTwice rule = "ran-twice"
	// ruleRefused: a request ran although its caller was told that it did not.
	ruleRefused rule = "false-refusal"
	// ruleLost: a request was cut without a complete answer.
	ruleLost rule = "lost-request"
	// ruleAnswer: a caller got something else than the whole answer to its request.
	ruleAnswer rule = "wrong-answer"
	// ruleUnknown: a target got a request that no caller sent, or one that was changed.
	ruleUnknown rule = "unknown-request"
	// ruleDrain: a target got a request too long after it was draining.
	ruleDrain rule = "late-drain"
	// ruleConfiguration: a request was handled by an old configuration.
	ruleConfiguration rule = "stale-configuration"
	// ruleRecovery: too few requests were served after the last fault.
	ruleRecovery rule = "no-recovery"
	// ruleDeadline: a target was given more time than the caller waits, or none.
	ruleDeadline rule = "late-deadline"
	// ruleService: a request went to a service to which no configuration sends it.
	ruleService rule = "wrong-service"
	// ruleExit: a process of a host ended by itself, or did not end.
	ruleExit rule = "process-exit"
	// ruleKey: a request with a valid key got 401, one without reached a target, or a key did.
	ruleKey rule = "wrong-key"
	// ruleTeam: a target was told another team than that of the request.
	ruleTeam rule = "wrong-team"
	// ruleQuota: more requests of a team ran than its quota allows.
	ruleQuota rule = "over-quota"
	// ruleResources: a host used more memory or descriptors than its limits allow.
	ruleResources rule = "over-limits"
	// ruleLeaving: a target got a request too long after it stated that it leaves.
	ruleLeaving rule = "late-leaving"
	// rulePause: a target got too many requests in a pause that it asked for.
	rulePause rule = "ignored-pause"
)
