package route

import (
	"math"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Choose returns the service for the n-th request of a split route. The fractional
// parts of the multiples of the golden ratio fill the unit interval evenly for any
// length of the sequence, so each service stays within one or two requests of its
// weight. phase, from 0 to 1, is the start of the sequence.
func ChooseService(split []document.Share, phase float64, n uint64) ident.ServiceName {
	total := 0
	for _, s := range split {
		total += s.Weight
	}
	_, position := math.Modf(phase + float64(n)*(math.Phi-1))
	remaining := position * float64(total)
	for _, s := range split[:len(split)-1] {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service
		}
	}
	return split[len(split)-1].Service
}
