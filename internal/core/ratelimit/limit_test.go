package ratelimit

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// heard returns the limit of a response to a request that was sent and answered at the
// given times, in milliseconds; a negative rate states none.
func heard(rate float64, sent, answered int) Limit {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	l := Limit{SentAt: at(sent), HeardAt: at(answered)}
	if rate >= 0 {
		l.Limited, l.Rate = true, rate
	}
	return l
}

// TestLimitMerge guards against a response that was long under way and replaces a later
// statement, in whatever order responses arrive.
func TestLimitMerge(t *testing.T) {
	const none = -1
	for _, c := range []struct {
		name      string
		known, by Limit
		limited   bool
		rate      float64
	}{
		{"the first statement", Limit{}, heard(3, 0, 100), true, 3},
		{"no statement ever", Limit{}, heard(none, 0, 100), false, 0},
		{"a later lower rate", heard(3, 0, 100), heard(2, 200, 300), true, 2},
		{"a later higher rate", heard(3, 0, 100), heard(5, 200, 300), true, 5},
		{"a later end", heard(3, 0, 100), heard(none, 200, 300), false, 0},
		{"a request of before the statement without a rate", heard(3, 50, 100), heard(none, 0, 400), true, 3},
		{"a request of before the statement with a higher rate", heard(3, 50, 100), heard(9, 0, 400), true, 3},
		{"a request of before the statement with a lower rate", heard(3, 50, 100), heard(1, 0, 400), true, 1},
		{"an old rate after the end", heard(none, 200, 300), heard(3, 0, 100), false, 0},
		{"an old higher rate", heard(2, 200, 300), heard(9, 0, 100), true, 2},
		{"an old lower rate", heard(2, 200, 300), heard(1, 0, 100), true, 2},
		{"a new limit after the end", heard(none, 200, 300), heard(1, 400, 500), true, 1},
		{"a known limit and nothing", heard(2, 0, 100), Limit{}, true, 2},
	} {
		if got := c.known.Merge(c.by); got.Limited != c.limited || (c.limited && got.Rate != c.rate) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// TestLimitMergeConfirms guards against a limit that is confirmed again and again and whose
// end, stated by a request sent in between, counts as later.
func TestLimitMergeConfirms(t *testing.T) {
	l := heard(3, 0, 100).Merge(heard(3, 200, 300))
	if l = l.Merge(heard(-1, 150, 350)); !l.Limited {
		t.Error("a response whose request preceded the confirmation ended the limit")
	}
	if l = l.Merge(heard(-1, 310, 400)); l.Limited {
		t.Error("a response whose request followed the confirmation did not end the limit")
	}
}

// TestEffectiveRate guards against a target that states zero, or next to it, and never gets
// a request again that could tell the end of its limit.
func TestEffectiveRate(t *testing.T) {
	for _, c := range []struct{ stated, want float64 }{{0, MinRate}, {0.01, MinRate}, {MinRate, MinRate}, {3.4, 3.4}} {
		if got := heard(c.stated, 0, 1).EffectiveRate(); got != c.want {
			t.Errorf("%v: %v, want %v", c.stated, got, c.want)
		}
	}
}
