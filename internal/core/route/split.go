package route

import (
	"math"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Choose returns the service for request number n of a split route. Multiples of
// the golden ratio fill the unit interval evenly at every length of the sequence,
// so each share stays within a request or two of its weight; phase, 0 to 1, is
// where the sequence starts.
func Choose(split []document.Share, phase float64, n uint64) ident.ServiceName {
	total := 0
	for _, s := range split {
		total += s.Weight
	}
	_, at := math.Modf(phase + float64(n)*(math.Phi-1))
	left := at * float64(total)
	for _, s := range split[:len(split)-1] {
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}
