package replaycmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const traceText = `duration 10s
service s
zone a region=r
class get idempotent timeout=1s
targets t count=4 zones=a slots=2
hosts h count=2 zones=a
0s arrivals get rate=20
expect success share=99%
`

// TestRun guards against changes of the exit codes and of the positions in error
// messages, on which scripts rely.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	passing := write("good.trace", traceText)
	failing := write("failing.trace", traceText+"1s fault * kind=status\n")
	invalid := write("invalid.trace", traceText+"1s jump\n")
	policy := write("policy", "policy balance=2\n")
	for _, c := range []struct {
		args           []string
		code           int
		stdout, stderr string
	}{
		{[]string{passing}, 0, "PASS sapphirehaven", ""},
		{[]string{"-decider", "baseline", passing}, 0, "PASS baseline", ""},
		{[]string{"-compare", passing}, 0, "PASS baseline", ""},
		{[]string{failing}, 1, "FAIL sapphirehaven", ""},
		{[]string{passing, failing}, 1, "FAIL sapphirehaven", ""},
		{[]string{invalid}, 2, "", invalid + ":9: unknown verb \"jump\"; expected one of add"},
		{[]string{"-policy", policy, passing}, 2, "", policy + ":1: balance: invalid share"},
		{[]string{dir}, 2, "", "invalid.trace:9"},
		{[]string{}, 2, "", "no trace"},
		{[]string{"-output", "xml", passing}, 2, "", "-output: unknown format"},
		{[]string{"-decider", "dice", passing}, 2, "", "-decider: unknown decider"},
		{[]string{"-compare", "-decider", "baseline", passing}, 2, "", "-compare and -decider"},
		{[]string{filepath.Join(dir, "missing")}, 2, "", "no such file"},
	} {
		var stdout, stderr bytes.Buffer
		code := Run(c.args, &stdout, &stderr)
		if code != c.code || !strings.Contains(stdout.String(), c.stdout) || !strings.Contains(stderr.String(), c.stderr) {
			t.Errorf("%q: code %d, want %d; stdout %q; stderr %q", c.args, code, c.code, stdout.String(), stderr.String())
		}
	}
}

// TestJSON guards against JSON output that cannot be decoded or lacks a report.
func TestJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.trace")
	if err := os.WriteFile(path, []byte(traceText), 0o600); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	if code := Run([]string{"-compare", "-output", "json", path}, &stdout, &stderr); code != 0 {
		t.Fatalf("code %d: %s", code, stderr.String())
	}
	var reports []struct {
		Decider  string
		Requests struct{ Arrived int }
	}
	if err := json.Unmarshal(stdout.Bytes(), &reports); err != nil || len(reports) != 2 || reports[1].Decider != "baseline" || reports[0].Requests.Arrived == 0 {
		t.Errorf("error %v, reports %+v", err, reports)
	}
}
