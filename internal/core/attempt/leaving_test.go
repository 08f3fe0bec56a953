package attempt

import "testing"

// TestParseLeaving guards against a target that is taken for leaving because of a value
// without a meaning, and against such values that go unnoticed.
func TestParseLeaving(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   LeavingStatement
	}{
		{nil, LeavingStatement{}},
		{[]string{"1"}, LeavingStatement{Leaving: true}},
		{[]string{" 1\t"}, LeavingStatement{Leaving: true}},
		{[]string{"1", "1"}, LeavingStatement{Leaving: true}},
		{[]string{"0"}, LeavingStatement{Malformed: true}},
		{[]string{""}, LeavingStatement{Malformed: true}},
		{[]string{"true"}, LeavingStatement{Malformed: true}},
		{[]string{"01"}, LeavingStatement{Malformed: true}},
		{[]string{"1, 1"}, LeavingStatement{Malformed: true}},
		{[]string{"x", "1"}, LeavingStatement{Leaving: true, Malformed: true}},
	} {
		if got := ParseLeaving(c.values); got != c.want {
			t.Errorf("%q: %+v, want %+v", c.values, got, c.want)
		}
	}
}
