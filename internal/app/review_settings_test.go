package app

import (
	"io"
	"strings"
	"testing"
)

// TestDrainLimitLeavesTime guards against a shutdown that spends its whole limit
// on waiting for cached address responses, and then cuts requests and loses its
// tickets.
func TestDrainLimitLeavesTime(t *testing.T) {
	for _, args := range [][]string{{"-drain-limit", "8s"}, {"-address-max-age", "1m"}} {
		_, err := ParseSettings(append(append([]string{}, requiredFlags...), args...), io.Discard)
		if err == nil || !strings.Contains(err.Error(), "-drain-limit") {
			t.Errorf("%v: %v", args, err)
		}
	}
	if _, err := ParseSettings(append(append([]string{}, requiredFlags...), "-drain-limit", "9s"), io.Discard); err != nil {
		t.Error(err)
	}
}
