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
