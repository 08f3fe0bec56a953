package peer

import (
	"math"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
)

// TestRetryReports guards against reports on retries that arrive changed, and against malformed ones that
// block retries for long.
func TestRetryReports(t *testing.T) {
	sent := retry.Report{Own: retry.Usage{Requests: 3, Retries: 1}}
	for i := range sent.Fleet {
		sent.Fleet[i] = retry.Usage{Requests: 10 + i, Retries: i}
	}
	pb := &peerpb.ServiceOutcomes{}
	setRetries(pb, sent)
	if got := fromRetries(pb); got != sent {
		t.Errorf("got %+v, want %+v", got, sent)
	}
	malformed := fromRetries(&peerpb.ServiceOutcomes{
		Retries:       math.MaxUint32,
		FleetRequests: make([]uint32, 2*len(sent.Fleet)),
		FleetRetries:  []uint32{math.MaxUint32},
	})
	if malformed.Own.Retries != maxUsage || malformed.Fleet[0].Retries != maxUsage || malformed.Fleet[1] != (retry.Usage{}) {
		t.Errorf("a malformed report gives %+v", malformed)
	}
}
