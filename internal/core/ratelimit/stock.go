package ratelimit

import (
	"math"
	"slices"
	"time"
)

// stock holds the permits of a host for one target or team.
type stock struct {
	// expiry holds the expiry times of the permits, the earliest first.
	expiry []time.Time
}

// put adds permits.
func (s *stock) put(expiry time.Time, permits int) {
	for range permits {
		s.expiry = append(s.expiry, expiry)
	}
	// The lifetime changes with the rate.
	slices.SortFunc(s.expiry, time.Time.Compare)
}

// take removes the permit that expires first and reports whether there was one.
func (s *stock) take(now time.Time) bool {
	s.discardExpired(now)
	if len(s.expiry) == 0 {
		return false
	}
	s.expiry = s.expiry[1:]
	return true
}

func (s *stock) discardExpired(now time.Time) {
	for len(s.expiry) > 0 && !s.expiry[0].After(now) {
		s.expiry = s.expiry[1:]
	}
}

// demand counts requests, decayed with demandHalfLife.
type demand struct {
	count     float64
	updatedAt time.Time
}

func (d *demand) add(now time.Time) {
	d.count = d.at(now) + 1
	d.updatedAt = now
}

// at returns the decayed count.
func (d *demand) at(now time.Time) float64 {
	return d.count * math.Exp2(-now.Sub(d.updatedAt).Seconds()/demandHalfLife.Seconds())
}

// perSecond returns the rate of requests that the decayed count shows.
func (d *demand) perSecond(now time.Time) float64 {
	return d.at(now) * math.Ln2 / demandHalfLife.Seconds()
}
