package replay

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ParseError reports an invalid line of a trace.
type ParseError struct {
	File     string
	Line     int
	Problem  string
	Expected string
}

// Error returns the file, the line, the problem and the expected input.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%s:%d: %s; expected %s", e.File, e.Line, e.Problem, e.Expected)
}

// lineFields gives typed access to the words and key=value pairs of one line. It
// keeps the first problem and continues, so callers check for an error only once.
type lineFields struct {
	words    []string
	values   map[string]string
	readKeys []string
	syntax   string
	err      *ParseError
}

func (f *lineFields) fail(expected, format string, args ...any) {
	if f.err == nil {
		f.err = &ParseError{Problem: fmt.Sprintf(format, args...), Expected: expected}
	}
}

func splitFields(text, syntax string) *lineFields {
	f := &lineFields{values: map[string]string{}, syntax: syntax}
	for _, word := range strings.Fields(text) {
		key, value, isPair := strings.Cut(word, "=")
		if !isPair {
			f.words = append(f.words, word)
			continue
		}
		if _, duplicate := f.values[key]; duplicate {
			f.fail("each key once", "key %q appears twice", key)
		}
		f.values[key] = value
	}
	return f
}

// takeWord removes and returns the next positional word.
func (f *lineFields) takeWord(name string) string {
	if len(f.words) == 0 {
		f.fail(f.syntax, "%s is missing", name)
		return ""
	}
	word := f.words[0]
	f.words = f.words[1:]
	return word
}

// takeFlag reports whether name is among the positional words, and removes it.
func (f *lineFields) takeFlag(name string) bool {
	i := slices.Index(f.words, name)
	if i < 0 {
		return false
	}
	f.words = slices.Delete(f.words, i, i+1)
	return true
}

func (f *lineFields) has(key string) bool {
	_, ok := f.values[key]
	return ok
}

// takeValue removes a key and returns its value.
func (f *lineFields) takeValue(key string) (string, bool) {
	f.readKeys = append(f.readKeys, key)
	v, ok := f.values[key]
	delete(f.values, key)
	return v, ok
}

func (f *lineFields) text(key, defaultValue string) string {
	if v, ok := f.takeValue(key); ok {
		return v
	}
	return defaultValue
}

func (f *lineFields) require(keys ...string) {
	for _, key := range keys {
		if !f.has(key) {
			f.fail(f.syntax, "key %q is missing", key)
		}
	}
}

func (f *lineFields) duration(key string, defaultValue time.Duration) time.Duration {
	v, ok := f.takeValue(key)
	if !ok {
		return defaultValue
	}
	d, err := parseDuration(v)
	if err != nil {
		f.fail("a duration such as 1.5s, 0 to 10000h", "%s: %v", key, err)
	}
	return d
}

func (f *lineFields) share(key string, defaultValue float64) float64 {
	v, ok := f.takeValue(key)
	if !ok {
		return defaultValue
	}
	share, err := parseShare(v)
	if err != nil {
		f.fail("a share such as 0.3 or 30%", "%s: %v", key, err)
	}
	return share
}

func (f *lineFields) number(key string, defaultValue, low, high float64) float64 {
	v, ok := f.takeValue(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || n < low || n > high {
		f.fail(fmt.Sprintf("a number from %g to %g", low, high), "%s: invalid number %q", key, v)
	}
	return n
}

func (f *lineFields) integer(key string, defaultValue, low, high int) int {
	v, ok := f.takeValue(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		f.fail(fmt.Sprintf("an integer from %d to %d", low, high), "%s: invalid integer %q", key, v)
		return low
	}
	return n
}

// choice returns the index of the value of a key among the options.
func (f *lineFields) choice(key string, defaultValue int, options ...string) int {
	v, ok := f.takeValue(key)
	if !ok {
		return defaultValue
	}
	i := slices.Index(options, v)
	if i < 0 {
		f.fail("one of "+strings.Join(options, ", "), "%s: invalid value %q", key, v)
	}
	return max(i, 0)
}

// finish rejects words and keys that were not read, and returns the first problem
// of the line.
func (f *lineFields) finish() *ParseError {
	if len(f.words) > 0 {
		f.fail(f.syntax, "unexpected word %q", f.words[0])
	}
	unread := make([]string, 0, len(f.values))
	for key := range f.values {
		unread = append(unread, key)
	}
	slices.Sort(unread)
	if len(unread) > 0 {
		f.fail(f.syntax, "unknown key %q", unread[0])
	}
	return f.err
}
