package locality

import "time"

// Bytes counts the bytes that a host sent to targets of other regions and received from
// them.
type Bytes struct{ Sent, Received int64 }

// Add adds other counts.
func (b *Bytes) Add(o Bytes) {
	b.Sent += o.Sent
	b.Received += o.Received
}

const (
	// linkSpan is the length of the sliding window of a LinkMeter, linkBuckets the number of
	// its parts. It covers several intervals between reports.
	linkSpan    = 2 * time.Second
	linkBuckets = 8
	// maxReportBytes bounds each count of a report, so that the sum of a malformed one does not
	// overflow.
	maxReportBytes = 1 << 30
)

// linkBytes counts the bytes that the hosts of a region sent to the other one and received from
// it.
type linkBytes struct{ sent, received float64 }

func (b *linkBytes) add(o linkBytes) {
	b.sent += o.sent
	b.received += o.received
}

func reported(b Bytes) linkBytes {
	return linkBytes{float64(min(max(0, b.Sent), maxReportBytes)), float64(min(max(0, b.Received), maxReportBytes))}
}

// LinkMeter measures the utilization of the link between regions from the bytes that the
// hosts of both regions report. Counts expire after linkSpan.
type LinkMeter struct {
	// own holds what the hosts of the meter's region report, other what those of other regions
	// do.
	own, other [linkBuckets]linkBytes
	current    int64
}

// Add counts the bytes of a report of a host of the region.
func (m *LinkMeter) Add(now time.Time, b Bytes) {
	m.advance(now)
	m.own[m.current%linkBuckets].add(reported(b))
}

// AddOther counts the bytes of a report of a host of another region.
func (m *LinkMeter) AddOther(now time.Time, b Bytes) {
	m.advance(now)
	m.other[m.current%linkBuckets].add(reported(b))
}

func (m *LinkMeter) advance(now time.Time) {
	number := now.UnixNano() / int64(linkSpan/linkBuckets)
	for p := max(m.current+1, number-linkBuckets+1); p <= number; p++ {
		m.own[p%linkBuckets], m.other[p%linkBuckets] = linkBytes{}, linkBytes{}
	}
	m.current = max(m.current, number)
}

// Utilization returns the utilization of the more loaded direction of a link with a bandwidth in bytes
// per second for each direction, 0 to 1. Requests go the one way and their responses the other,
// so a direction carries the requests of one region and the responses to the other. Without
// reports of the other region it is assumed to cause as much traffic as this one.
func (m *LinkMeter) Utilization(now time.Time, bytesPerSecond float64) float64 {
	m.advance(now)
	var own, other linkBytes
	for i := range linkBuckets {
		own.add(m.own[i])
		other.add(m.other[i])
	}
	if other == (linkBytes{}) {
		other = own
	}
	used := max(own.sent+other.received, own.received+other.sent)
	return min(1, used/linkSpan.Seconds()/max(1, bytesPerSecond))
}
