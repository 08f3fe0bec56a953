package app

import (
	"io"
	"strings"
	"testing"
)

// TestDrainLimitExceedsAddressMaxAge guards against a drain limit that is used up while the host waits
// for cached address responses to expire, so that it then aborts requests and loses its tickets.
func TestDrainLimitExceedsAddressMaxAge(t *testing.T) {
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
