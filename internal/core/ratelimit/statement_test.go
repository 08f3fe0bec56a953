package ratelimit

import (
	"math"
	"strings"
	"testing"
)

// TestParseStatement guards against a value that is no rate and limits a target, against
// one that ends a limit, and against two values of which the higher one counts.
func TestParseStatement(t *testing.T) {
	for _, c := range []struct {
		values string
		want   Statement
	}{
		{"3.4", Statement{Heard: true, Limited: true, Rate: 3.4}},
		{" 100 ", Statement{Heard: true, Limited: true, Rate: 100}},
		{"0", Statement{Heard: true, Limited: true}},
		{"0.05", Statement{Heard: true, Limited: true, Rate: 0.05}},
		{"", Statement{Heard: true, Malformed: true}},
		{"-1", Statement{Heard: true, Malformed: true}},
		{"NaN", Statement{Heard: true, Malformed: true}},
		{"Inf", Statement{Heard: true, Malformed: true}},
		{"1.2.3", Statement{Heard: true, Malformed: true}},
		{".", Statement{Heard: true, Malformed: true}},
		{"1e3", Statement{Heard: true, Malformed: true}},
		{"0x10", Statement{Heard: true, Malformed: true}},
		{"3 per second", Statement{Heard: true, Malformed: true}},
		{"1000000", Statement{Heard: true}},
		{strings.Repeat("9", 400), Statement{Heard: true}},
		{"5|3", Statement{Heard: true, Limited: true, Rate: 3}},
		{"5|many", Statement{Heard: true, Limited: true, Rate: 5, Malformed: true}},
	} {
		if got := ParseStatement(strings.Split(c.values, "|")); got != c.want {
			t.Errorf("%q: %+v, want %+v", c.values, got, c.want)
		}
	}
	if got := ParseStatement(nil); got != (Statement{Heard: true}) {
		t.Errorf("no header: %+v", got)
	}
}

// FuzzParseStatement guards against a header value that crashes the host or becomes a rate
// with which it cannot calculate.
func FuzzParseStatement(f *testing.F) {
	for _, value := range []string{"3.4", "0", "", "-1", "NaN", "1e400", "0x1p-2", "99999999999999999999", "1,2"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		s := ParseStatement([]string{value})
		if s.Limited && (math.IsNaN(s.Rate) || s.Rate < 0 || s.Rate >= MaxRate) {
			t.Errorf("%q: %+v", value, s)
		}
		if s.Limited && s.Malformed {
			t.Errorf("%q is a rate and malformed", value)
		}
	})
}
