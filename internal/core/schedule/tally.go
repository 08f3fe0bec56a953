package schedule

import "time"

const (
	// tallySpan is the span of time that a tally counts.
	tallySpan = 2 * time.Second
	// tallyParts is the number of parts in which it counts.
	tallyParts = 8
)

// tally counts the requests for a service that ended within the last tallySpan, at
// this host and at the active hosts of all regions that it hears of, and the requests
// that can be repeated which arrived here.
type tally struct {
	parts   [tallyParts]tallyPart
	current int64
}

type tallyPart struct{ ended, unserved, idempotent int }

// at returns the part of a time and clears those that have passed.
func (t *tally) at(now time.Time) *tallyPart {
	part := now.UnixNano() / int64(tallySpan/tallyParts)
	for p := max(t.current+1, part-tallyParts+1); p <= part; p++ {
		t.parts[p%tallyParts] = tallyPart{}
	}
	t.current = max(t.current, part)
	return &t.parts[t.current%tallyParts]
}

// add counts requests that ended.
func (t *tally) add(now time.Time, ended, unserved int) {
	part := t.at(now)
	part.ended += ended
	part.unserved += unserved
}

// sum returns the counts of the span.
func (t *tally) sum(now time.Time) tallyPart {
	t.at(now)
	var s tallyPart
	for _, p := range t.parts {
		s.ended += p.ended
		s.unserved += p.unserved
		s.idempotent += p.idempotent
	}
	return s
}
