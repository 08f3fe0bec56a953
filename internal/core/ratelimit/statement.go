package ratelimit

import (
	"strconv"
	"strings"
)

// Statement is what a response says about the rate that its target accepts.
type Statement struct {
	// Heard is set if the response came from the target and can therefore also tell
	// that the target has no limit.
	Heard bool
	// Limited is set if the response states a limit, and Rate is that limit in requests
	// per second.
	Limited bool
	Rate    float64
	// Malformed is set if the response contains a value that is no rate. It says nothing
	// about the limit unless Limited is set as well.
	Malformed bool
}

// MaxRate is the rate, in requests per second, from which a statement limits nothing:
// no target serves as many requests.
const MaxRate = 1e6

// ParseStatement returns what the values of a response's rate header say. A rate is a
// decimal number without sign or exponent. Of several rates the lowest counts, because
// sending less than a target accepts does it no harm.
func ParseStatement(values []string) Statement {
	s := Statement{Heard: true}
	for _, value := range values {
		rate, ok := parseRate(value)
		switch {
		case !ok:
			s.Malformed = true
		case rate < MaxRate && (!s.Limited || rate < s.Rate):
			s.Limited, s.Rate = true, rate
		}
	}
	return s
}

func parseRate(value string) (float64, bool) {
	value = strings.TrimSpace(value)
	if value == "" || strings.Trim(value, "0123456789.") != "" {
		return 0, false
	}
	// A number that is out of range is +Inf, which is above MaxRate.
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil && rate < MaxRate {
		return 0, false
	}
	return rate, true
}
