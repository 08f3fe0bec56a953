package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time span written like "1.5s" in a document.
type Duration time.Duration

// Size is a number of bytes written like "64KiB" in a document.
type Size int64

// scalar is a value with its own notation.
type scalar interface{ parse(text string) error }

func (d *Duration) parse(text string) error {
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 1.5s", text)
	}
	*d = Duration(v)
	return nil
}

// String returns Go's notation.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalYAML writes Go's notation.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// sizeUnits maps the accepted suffixes to bytes, longest suffix first.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}, {"", 1}}

func (s *Size) parse(text string) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size such as 64KiB", text)
}

// String returns the size with the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if int64(s) >= u.bytes && int64(s)%u.bytes == 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// MarshalYAML writes the notation of String.
func (s Size) MarshalYAML() (any, error) { return s.String(), nil }
