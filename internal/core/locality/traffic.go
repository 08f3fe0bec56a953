package locality

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
)

// Sizes of request and response together, in bytes, assumed before any are measured.
const (
	smallBytes          = 1000
	largeBodyBytes      = 100_000
	largeResponsesBytes = 90_000
)

const (
	// bytesGain is the weight of a new sample in the mean size.
	bytesGain = 1.0 / 32
	// delayQuantile is the quantile of the time to the first byte that is compared between
	// distances. A low one is hardly affected by queues at the targets.
	delayQuantile = 0.1
	// delayStep is the relative step of the quantile estimate per sample.
	delayStep = 0.02
	// minDelaySamples is the number of samples from which an estimate is used.
	minDelaySamples = 64
	// delayMargin is the part of the time to the first byte in the zone by which the
	// estimates of two distances may differ by chance.
	delayMargin = 0.15
	// delayHalfLife is the half-life of the observed difference without new samples. The
	// delay of a link that is no longer used must fall to the default, or it would never be
	// measured again.
	delayHalfLife = 5 * time.Second
)

// Traffic holds what is measured of a request class: the bytes of its requests and
// responses and its response times by distance. NewTraffic returns one.
type Traffic struct {
	requestBytes, responseBytes float64
	// minBytes is the least size that is assumed, for classes that are declared to have
	// large request bodies.
	minBytes   float64
	measured   bool
	firstBytes [balance.OtherRegion + 1]quantile
}

// NewTraffic returns the traffic of a class of which nothing has been measured.
func NewTraffic(largeBodies, largeResponses bool) Traffic {
	t := Traffic{requestBytes: smallBytes}
	if largeBodies {
		t.requestBytes, t.minBytes = largeBodyBytes, largeBodyBytes
	}
	if largeResponses {
		t.responseBytes = largeResponsesBytes
	}
	return t
}

// Sample is the measurement of one answered attempt.
type Sample struct {
	Distance balance.Distance
	// RequestBytes and ResponseBytes are 0 if they were not counted.
	RequestBytes, ResponseBytes int64
	// FirstByte is the time to the first byte of the response, 0 if it is unknown or
	// contains the opening of a connection.
	FirstByte time.Duration
}

// Add adds the measurement of an answered attempt.
func (t *Traffic) Add(now time.Time, s Sample) {
	if s.RequestBytes > 0 || s.ResponseBytes > 0 {
		if !t.measured {
			t.measured = true
			t.requestBytes, t.responseBytes = (t.requestBytes+float64(s.RequestBytes))/2, (t.responseBytes+float64(s.ResponseBytes))/2
		}
		t.requestBytes += (float64(s.RequestBytes) - t.requestBytes) * bytesGain
		t.responseBytes += (float64(s.ResponseBytes) - t.responseBytes) * bytesGain
	}
	if s.FirstByte > 0 && s.Distance >= 0 && int(s.Distance) < len(t.firstBytes) {
		t.firstBytes[s.Distance].add(now, s.FirstByte.Seconds())
	}
}

// Bytes returns the mean bytes of a request and its response.
func (t *Traffic) Bytes() float64 { return max(t.minBytes, t.requestBytes+t.responseBytes) }

// Delay returns the round-trip time that a distance adds: the difference of the times to the
// first byte, as far as it exceeds the given default by more than chance.
func (t *Traffic) Delay(now time.Time, d balance.Distance, standard time.Duration) time.Duration {
	near, far := &t.firstBytes[balance.SameZone], &t.firstBytes[d]
	if near.samples < minDelaySamples || far.samples < minDelaySamples {
		return standard
	}
	excess := far.seconds - near.seconds*(1+delayMargin) - standard.Seconds()
	if excess <= 0 {
		return standard
	}
	excess *= math.Exp2(-max(0, now.Sub(far.updatedAt).Seconds()) / delayHalfLife.Seconds())
	return standard + time.Duration(excess*float64(time.Second))
}

// quantile estimates a quantile by steps up and down.
type quantile struct {
	seconds   float64
	samples   int
	updatedAt time.Time
}

func (q *quantile) add(now time.Time, sample float64) {
	q.updatedAt = now
	q.samples++
	switch {
	case q.samples == 1:
		q.seconds = sample
	case sample > q.seconds:
		q.seconds *= 1 + delayStep*delayQuantile
	default:
		q.seconds = max(sample, q.seconds*(1-delayStep*(1-delayQuantile)))
	}
}
