package ingress

import (
	"fmt"
	"math"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
)

// maxShareOff is the deviation of a service's share from its weight that users accept in a
// steady state (weight_off in the sites' bounds).
const maxShareOff = 0.1

// TestFirstRequestsOfSplitRoutes guards against hosts that send their first requests on a
// split route to the same service because their names are alike: on a route that is rarely
// used each host gets only a few requests, so that the shares of the whole fleet depend on
// where each host starts. Without the hosts of one zone, a share was 0.17 off.
func TestFirstRequestsOfSplitRoutes(t *testing.T) {
	zones := []string{"cairo-maadi", "alex-smouha", "cairo-nasr", "alex-raml", "cairo-zamalek", "alex-sporting", "cairo-dokki", "alex-gleem"}
	for _, missing := range append(zones, "") {
		var phases []float64
		for i := range 293 {
			if zone := zones[i%len(zones)]; zone != missing {
				phases = append(phases, splitPhase(ident.HostID(fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)))))
			}
		}
		for weight := 10; weight < 100; weight += 10 {
			for n := uint64(1); n <= 60; n++ {
				if off := math.Abs(firstShare(phases, weight, n) - float64(weight)/100); off > maxShareOff {
					t.Errorf("request %d of each host, weight %d, without zone %q: the share is %.2f off", n, weight, missing, off)
				}
			}
		}
	}
}

// firstShare returns the share of hosts, given by their phases, that send their n-th request
// to the first of two services, whose weight is given in percent.
func firstShare(phases []float64, weight int, n uint64) float64 {
	split := []document.Share{{Service: "a", Weight: weight}, {Service: "b", Weight: 100 - weight}}
	first := 0
	for _, phase := range phases {
		if route.ChooseService(split, phase, n) == "a" {
			first++
		}
	}
	return float64(first) / float64(len(phases))
}
