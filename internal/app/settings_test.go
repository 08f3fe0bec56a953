package app

import (
	"flag"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

var requiredFlags = []string{
	"-host-id", "host-1", "-region", "cairo", "-zone", "cairo-maadi",
	"-log-url", "http://127.0.0.1:1", "-hosts-url", "http://127.0.0.1:2",
}

// TestSettingsErrorsNameFlag guards against an invalid setting that is accepted, or whose error does
// not name the flag and the valid values.
func TestSettingsErrorsNameFlag(t *testing.T) {
	for _, c := range []struct {
		args []string
		want []string
	}{
		{[]string{"-region", "a b"}, []string{"-host-id", "-region is \"a b\"", "-zone", "-log-url", "-hosts-url"}},
		{append(requiredFlags, "-caller-listen", "localhost:80"), []string{"-caller-listen is \"localhost:80\", want IP:port"}},
		{append(requiredFlags, "-drain-limit", "2h"), []string{"-drain-limit is 2h0m0s, want 1s to 1h0m0s"}},
		{append(requiredFlags, "-admin-token", "short"), []string{"-admin-token has 5 characters, want at least 16"}},
		{append(requiredFlags, "-max-header-bytes", "12"), []string{"-max-header-bytes is 12, want 1024 to 1048576"}},
		{append(requiredFlags, "-log-level", "loud"), []string{"-log-level is \"loud\""}},
		{append(requiredFlags, "-ticket-ttl", "soon"), []string{"-ticket-ttl"}},
		{append(requiredFlags, "-no-such-flag"), []string{"-no-such-flag"}},
		{append(requiredFlags, "extra"), []string{"unexpected argument \"extra\""}},
	} {
		_, err := ParseSettings(c.args, io.Discard)
		if err == nil {
			t.Errorf("%q is accepted", c.args)
			continue
		}
		for _, want := range c.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%q: error %q does not contain %q", c.args, err, want)
			}
		}
	}
}

// TestSettingsFromEnvironment guards against environment variables that are ignored.
func TestSettingsFromEnvironment(t *testing.T) {
	t.Setenv("SAPPHIREHAVEN_ZONE", "alex-raml")
	s, err := ParseSettings([]string{"-host-id", "h", "-region", "alex", "-log-url", "http://127.0.0.1:1", "-hosts-url", "http://127.0.0.1:2"}, io.Discard)
	if err != nil || s.Zone != "alex-raml" || s.CallerAdvertise != s.CallerListen {
		t.Fatalf("settings %+v, error %v", s, err)
	}
}

// TestSettingsHelp guards against a help text without the environment variables, a flag or the range of
// its values.
func TestSettingsHelp(t *testing.T) {
	var out strings.Builder
	if _, err := ParseSettings([]string{"-help"}, &out); !errors.Is(err, flag.ErrHelp) {
		t.Fatal(err)
	}
	for _, want := range []string{"SAPPHIREHAVEN_HOST_ID", "-drain-limit", "1s to 1h", "1024 to 1048576"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("help does not contain %q", want)
		}
	}
}
