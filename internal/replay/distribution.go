package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Distribution is a latency distribution.
type Distribution struct {
	name string
	// scale is in nanoseconds. shape is the second parameter of the distribution:
	// the maximum in nanoseconds for uniform, sigma for lognormal, alpha for pareto.
	scale float64
	shape float64
}

// maxLatency bounds a sample, because a Pareto distribution with a shape of at
// most 1 has no finite mean.
const maxLatency = time.Hour

// sample draws a latency in nanoseconds.
func (d Distribution) sample(rng *rand.Rand) float64 {
	var v float64
	switch d.name {
	case "constant":
		v = d.scale
	case "uniform":
		v = d.scale + rng.Float64()*(d.shape-d.scale)
	case "exponential":
		v = d.scale * rng.ExpFloat64()
	case "lognormal":
		v = d.scale * math.Exp(d.shape*rng.NormFloat64())
	case "pareto":
		v = d.scale / math.Pow(1-rng.Float64(), 1/d.shape)
	}
	return min(v, float64(maxLatency))
}

const distributionSyntax = "constant:DURATION, uniform:MIN:MAX, exponential:MEAN, lognormal:MEDIAN:SIGMA or pareto:MIN:ALPHA"

func parseDistribution(s string) (Distribution, error) {
	parts := strings.Split(s, ":")
	parameters := map[string]int{"constant": 2, "uniform": 3, "exponential": 2, "lognormal": 3, "pareto": 3}[parts[0]]
	if parameters == 0 || len(parts) != parameters {
		return Distribution{}, fmt.Errorf("invalid distribution %q", s)
	}
	scale, err := parseDuration(parts[1])
	if err != nil {
		return Distribution{}, err
	}
	d := Distribution{name: parts[0], scale: float64(scale)}
	if parameters == 3 {
		d.shape, err = parseShape(d, parts[2])
	}
	return d, err
}

func parseShape(d Distribution, s string) (float64, error) {
	if d.name == "uniform" {
		high, err := parseDuration(s)
		if err == nil && float64(high) < d.scale {
			err = fmt.Errorf("maximum %s is below the minimum", s)
		}
		return float64(high), err
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v > 0) || v > 10 {
		return 0, fmt.Errorf("invalid shape %q", s)
	}
	return v, nil
}

// maxTime bounds every time in a trace, so that sums of times cannot overflow.
const maxTime = 10000 * time.Hour

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > maxTime {
		return 0, fmt.Errorf("invalid duration %q", s)
	}
	return d, nil
}

func parseShare(s string) (float64, error) {
	number, percent := strings.CutSuffix(s, "%")
	v, err := strconv.ParseFloat(number, 64)
	if percent {
		v /= 100
	}
	if err != nil || !(v >= 0 && v <= 1) {
		return 0, fmt.Errorf("invalid share %q", s)
	}
	return v, nil
}
