package peer

import (
	"fmt"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
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

// TestObservationsWithRetriesFitIntoDatagram guards against parts of observations that are too long for a datagram
// because of the history of retries, and are rejected.
func TestObservationsWithRetriesFitIntoDatagram(t *testing.T) {
	var o port.Observations
	for i := range 16 {
		s := port.ServiceOutcomes{Service: ident.ServiceName(fmt.Sprint("service-", i)), Ended: 300, Unserved: 10}
		s.Retries.Own = retry.Usage{Requests: 300, Retries: 3}
		for j := range s.Retries.Fleet {
			s.Retries.Fleet[j] = retry.Usage{Requests: 900, Retries: 130}
		}
		o.Services = append(o.Services, s)
	}
	for i, part := range splitObservations(o) {
		if size := proto.Size(&peerpb.FleetMessage{Observations: toObservations(part)}); size > MaxDatagramBytes {
			t.Errorf("part %d with %d services has %d bytes, a datagram %d", i, len(part.Services), size, MaxDatagramBytes)
		}
	}
}
