package attempt

import "strings"

// LeavingStatement is what a response says about whether its target is leaving. The zero
// value says nothing.
type LeavingStatement struct {
	// Leaving is set if the target states that it is about to exit.
	Leaving bool
	// Malformed is set if the response contains a value without a meaning, which has no
	// effect.
	Malformed bool
}

// leavingValue is the only value of the header with a meaning.
const leavingValue = "1"

// ParseLeaving returns what the values of a response's leaving header say.
func ParseLeaving(values []string) LeavingStatement {
	var s LeavingStatement
	for _, value := range values {
		if strings.TrimSpace(value) == leavingValue {
			s.Leaving = true
		} else {
			s.Malformed = true
		}
	}
	return s
}
