package capacity

import (
	"fmt"
	"math"
)

// Slope is a measured marginal cost.
type Slope struct {
	ID    string
	Value float64
	// Unit is the unit of Value: bytes, ns, s, % or empty for a count.
	Unit string
	// Description states the cause of the cost and how it was measured.
	Description string
}

// Slopes contains measured costs in the order of measurement.
type Slopes struct{ list []Slope }

func (s *Slopes) add(id string, value float64, unit, what string) {
	s.list = append(s.list, Slope{ID: id, Value: value, Unit: unit, Description: what})
}

// Get returns the value of a slope. It panics if the ID is unknown, which indicates
// an error in a formula.
func (s *Slopes) Get(id string) float64 {
	for _, slope := range s.list {
		if slope.ID == id {
			return slope.Value
		}
	}
	panic("capacity: unknown slope " + id)
}

// Table returns the slopes as a Markdown table.
func (s *Slopes) Table() string {
	rows := make([][]string, 0, len(s.list))
	for _, slope := range s.list {
		rows = append(rows, []string{"`" + slope.ID + "`", formatValue(slope.Value, slope.Unit), slope.Description})
	}
	return markdownTable([]string{"Slope", "Measured", "What and how"}, rows)
}

// formatValue returns a value with its unit and about three significant digits.
func formatValue(value float64, unit string) string {
	steps := map[string][]string{
		"bytes":   {"B", "KB", "MB", "GB", "TB"},
		"bytes/s": {"B/s", "KB/s", "MB/s", "GB/s"},
		"ns":      {"ns", "us", "ms", "s"},
	}[unit]
	if steps == nil {
		return formatNumber(value) + unitSuffix(unit)
	}
	step := 0
	for math.Abs(value) >= 1000 && step < len(steps)-1 {
		value /= 1000
		step++
	}
	return formatNumber(value) + " " + steps[step]
}

func unitSuffix(unit string) string {
	if unit == "" || unit == "%" {
		return unit
	}
	return " " + unit
}

func formatNumber(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude >= 100 || value == math.Trunc(value):
		return fmt.Sprintf("%.0f", value)
	case magnitude >= 10:
		return fmt.Sprintf("%.1f", value)
	case magnitude >= 0.1:
		return fmt.Sprintf("%.2f", value)
	default:
		return fmt.Sprintf("%.2g", value)
	}
}
