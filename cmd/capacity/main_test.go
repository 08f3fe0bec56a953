package main

import (
	"io"
	"strings"
	"testing"
)

// TestBadFlags checks that invalid arguments are rejected with an error that names
// them.
func TestBadFlags(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"-time 1ms", "-time is 1ms, want 10ms to 1m0s"},
		{"-time soon", "-time"},
		{"-write /does/not/exist", "-write"},
		{"page", `unexpected argument "page"`},
	} {
		err := run(strings.Fields(c.args), io.Discard, io.Discard)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", c.args, err, c.want)
		}
	}
}
