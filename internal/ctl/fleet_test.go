package ctl

import (
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
)

// TestMergeEvents guards against a merged timeline that is out of order.
func TestMergeEvents(t *testing.T) {
	responses := []hostResponse[[]adminapi.Event]{
		{Value: []adminapi.Event{{Host: "b", WallMicros: 1}, {Host: "b", WallMicros: 3, Logical: 1, Kind: "x"}}},
		{Value: []adminapi.Event{{Host: "a", WallMicros: 1}, {Host: "a", WallMicros: 3, Kind: "x"}}},
	}
	merged := mergeEvents(responses, "")
	for i, want := range []string{"a", "b", "a", "b"} {
		if merged[i].Host != want {
			t.Fatalf("merged %v", merged)
		}
	}
	if filtered := mergeEvents(responses, "x"); len(filtered) != 2 {
		t.Fatalf("events of kind x: %v", filtered)
	}
}

// TestRateLimitText guards against a status that shows a rate for a target without one, or
// none for a target that states zero.
func TestRateLimitText(t *testing.T) {
	rate := func(perSecond float64) *float64 { return &perSecond }
	for _, c := range []struct {
		rate *float64
		want string
	}{{nil, ""}, {rate(0), " rate_limit=0"}, {rate(3.4), " rate_limit=3.4"}} {
		if got := rateLimitText(adminapi.Target{RateLimit: c.rate}); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}

// TestPauseText guards against a status that hides why a target gets no requests.
func TestPauseText(t *testing.T) {
	left := 2.25
	for want, target := range map[string]adminapi.Target{"": {}, " pause_left=2.2s": {PauseSeconds: &left}} {
		if got := pauseText(target); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// TestLeavingText guards against a status in which a target that states to be leaving looks
// like one that the registry lists as draining.
func TestLeavingText(t *testing.T) {
	for leaving, want := range map[bool]string{false: "", true: " leaving=true"} {
		if got := leavingText(adminapi.Target{Leaving: leaving}); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
