package ctl

import (
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
)

// TestMergeEvents guards against a merged timeline that is out of order.
func TestMergeEvents(t *testing.T) {
	answers := []answer[[]adminapi.Event]{
		{Value: []adminapi.Event{{Host: "b", WallMicros: 1}, {Host: "b", WallMicros: 3, Logical: 1, Kind: "x"}}},
		{Value: []adminapi.Event{{Host: "a", WallMicros: 1}, {Host: "a", WallMicros: 3, Kind: "x"}}},
	}
	merged := mergeEvents(answers, "")
	for i, want := range []string{"a", "b", "a", "b"} {
		if merged[i].Host != want {
			t.Fatalf("merged %v", merged)
		}
	}
	if only := mergeEvents(answers, "x"); len(only) != 2 {
		t.Fatalf("events of kind x: %v", only)
	}
}
