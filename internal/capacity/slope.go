package capacity

import (
	"fmt"
	"math"
)

// Slope is one measured cost.
type Slope struct {
	ID    string
	Value float64
	// Unit is the unit of Value: bytes or ns.
	Unit string
	// What names what costs it and how it was measured.
	Description string
}

// Slopes holds measured costs in the order of measurement.
type Slopes struct{ list []Slope }

func (s *Slopes) add(id string, value float64, unit, what string) {
	s.list = append(s.list, Slope{ID: id, Value: value, Unit: unit, Description: what})
}

// Get returns a slope. It panics for an unknown ID, which is a mistake in a
// formula.
func (s *Slopes) Get(id string) float64 {
	for _, slope := range s.list {
		if slope.ID == id {
			return slope.Value
		}
	}
	panic("capacity: there is no slope " + id)
}

// Table returns the slopes as a Markdown table.
func (s *Slopes) Table() string {
	rows := make([][]string, 0, len(s.list))
	for _, slope := range s.list {
		rows = append(rows, []string{"`" + slope.ID + "`", format(slope.Value, slope.Unit), slope.Description})
	}
	return table([]string{"Slope", "Measured", "What and how"}, rows)
}

// format prints a value in a unit with three significant digits.
func format(value float64, unit string) string {
	steps := map[string][]string{
		"bytes":   {"B", "KB", "MB", "GB", "TB"},
		"bytes/s": {"B/s", "KB/s", "MB/s", "GB/s"},
		"ns":      {"ns", "us", "ms", "s"},
	}[unit]
	if steps == nil {
		return number(value) + suffix(unit)
	}
	step := 0
	for math.Abs(value) >= 1000 && step < len(steps)-1 {
		value /= 1000
		step++
	}
	return number(value) + " " + steps[step]
}

func suffix(unit string) string {
	if unit == "" || unit == "%" {
		return unit
	}
	return " " + unit
}

func number(value float64) string {
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
