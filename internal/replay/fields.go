package replay

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ParseError is a line of a trace that was refused.
type ParseError struct {
	File     string
	Line     int
	Problem  string
	Expected string
}

// Error returns file, line, problem and what was expected.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%s:%d: %s; expected %s", e.File, e.Line, e.Problem, e.Expected)
}

// fields gives typed access to the words and key=value pairs of one line. The
// first problem is kept; later calls return zero values.
type fields struct {
	words  []string
	keys   map[string]string
	known  []string
	syntax string
	err    *ParseError
}

func (f *fields) fail(expected, format string, args ...any) {
	if f.err == nil {
		f.err = &ParseError{Problem: fmt.Sprintf(format, args...), Expected: expected}
	}
}

func splitFields(text, syntax string) *fields {
	f := &fields{keys: map[string]string{}, syntax: syntax}
	for _, word := range strings.Fields(text) {
		key, value, isPair := strings.Cut(word, "=")
		if !isPair {
			f.words = append(f.words, word)
			continue
		}
		if _, twice := f.keys[key]; twice {
			f.fail("each key once", "key %q appears twice", key)
		}
		f.keys[key] = value
	}
	return f
}

// word returns the next positional word.
func (f *fields) word(what string) string {
	if len(f.words) == 0 {
		f.fail(f.syntax, "%s is missing", what)
		return ""
	}
	w := f.words[0]
	f.words = f.words[1:]
	return w
}

// flag tells whether the next positional word is name, and takes it.
func (f *fields) flag(name string) bool {
	i := slices.Index(f.words, name)
	if i < 0 {
		return false
	}
	f.words = slices.Delete(f.words, i, i+1)
	return true
}

func (f *fields) has(key string) bool {
	_, ok := f.keys[key]
	return ok
}

// take returns the value of a key and removes it.
func (f *fields) take(key string) (string, bool) {
	f.known = append(f.known, key)
	v, ok := f.keys[key]
	delete(f.keys, key)
	return v, ok
}

func (f *fields) text(key, standard string) string {
	if v, ok := f.take(key); ok {
		return v
	}
	return standard
}

func (f *fields) require(keys ...string) {
	for _, key := range keys {
		if !f.has(key) {
			f.fail(f.syntax, "key %q is missing", key)
		}
	}
}

func (f *fields) duration(key string, standard time.Duration) time.Duration {
	v, ok := f.take(key)
	if !ok {
		return standard
	}
	d, err := parseDuration(v)
	if err != nil {
		f.fail("a duration such as 1.5s, 0 to 10000h", "%s: %v", key, err)
	}
	return d
}

func (f *fields) share(key string, standard float64) float64 {
	v, ok := f.take(key)
	if !ok {
		return standard
	}
	share, err := parseShare(v)
	if err != nil {
		f.fail("a share such as 0.3 or 30%", "%s: %v", key, err)
	}
	return share
}

func (f *fields) number(key string, standard, low, high float64) float64 {
	v, ok := f.take(key)
	if !ok {
		return standard
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || n < low || n > high {
		f.fail(fmt.Sprintf("a number from %g to %g", low, high), "%s: invalid number %q", key, v)
	}
	return n
}

func (f *fields) integer(key string, standard, low, high int) int {
	v, ok := f.take(key)
	if !ok {
		return standard
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		f.fail(fmt.Sprintf("an integer from %d to %d", low, high), "%s: invalid integer %q", key, v)
		return low
	}
	return n
}

// choice returns the index of the value among the options.
func (f *fields) choice(key string, standard int, options ...string) int {
	v, ok := f.take(key)
	if !ok {
		return standard
	}
	i := slices.Index(options, v)
	if i < 0 {
		f.fail("one of "+strings.Join(options, ", "), "%s: invalid value %q", key, v)
	}
	return max(i, 0)
}

// finish refuses words and keys that nothing has taken.
func (f *fields) finish() *ParseError {
	if len(f.words) > 0 {
		f.fail(f.syntax, "unexpected word %q", f.words[0])
	}
	left := make([]string, 0, len(f.keys))
	for key := range f.keys {
		left = append(left, key)
	}
	slices.Sort(left)
	if len(left) > 0 {
		f.fail(f.syntax, "unknown key %q", left[0])
	}
	return f.err
}
