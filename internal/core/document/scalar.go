package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that documents write as "1.5s".
type Duration time.Duration

// Size is a number of bytes that documents write as "64KiB".
type Size int64

// textParser is implemented by scalar types with their own text format.
type textParser interface{ parse(text string) error }

func (d *Duration) parse(text string) error {
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 1.5s", text)
	}
	*d = Duration(v)
	return nil
}

// String formats the duration like time.Duration.String.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalYAML encodes the duration as String formats it.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// sizeUnits lists the accepted unit suffixes, longest first, so that "KiB" is
// matched before "B".
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

// String formats the size with the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if int64(s) >= u.bytes && int64(s)%u.bytes == 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// MarshalYAML encodes the size as String formats it.
func (s Size) MarshalYAML() (any, error) { return s.String(), nil }
