package target

import (
	"math"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// largeNumbers are numbers whose sums or products overflow.
var largeNumbers = []int{math.MaxInt, math.MaxInt - 1, math.MaxInt / 2, math.MaxInt / int(time.Second), math.MaxInt/int(time.Second) + 1, 1 << 62, 1 << 33, math.MaxInt32}

// TestLargeLoad guards against reported numbers whose sum overflows, so that the most
// loaded target looks like the least loaded one.
func TestLargeLoad(t *testing.T) {
	for _, n := range largeNumbers {
		value := strconv.Itoa(n)
		load := parseLoadHeader(value + "," + value + "," + value)
		if load == nil || load.InFlight < math.MaxInt16 || load.Slots < math.MaxInt16 {
			t.Errorf("%s: %+v", value, load)
		}
	}
}

// TestLargeKeepAlive guards against an idle timeout whose product with its unit overflows,
// so that every connection is closed before it is used again.
func TestLargeKeepAlive(t *testing.T) {
	for _, n := range largeNumbers {
		c := &conn{}
		c.parseKeepAlive(http.Header{"Keep-Alive": {"timeout=" + strconv.Itoa(n)}})
		if c.keepAlive < time.Minute {
			t.Errorf("timeout=%d: %s", n, c.keepAlive)
		}
	}
}
