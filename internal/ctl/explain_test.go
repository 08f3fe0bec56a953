package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const hostLog = `time="2026-12-04T04:00:01.000000Z" level=info msg=event event=target_avoided host=h1 service=s target=t1 failing=0.8 source="another host"
time="2026-12-04T04:00:01.500000Z" level=info msg=request attempt=2 event=attempt host=h1 request_id=r1 result=answered target=t2
time="2026-12-04T04:00:01.200000Z" level=info msg=request attempt=1 error="closed by \"peer\"" event=attempt host=h1 request_id=r1 result=dial_failed target=t1
time="2026-12-04T04:00:01.300000Z" level=info msg=request attempt=1 event=attempt host=h1 request_id=r2 result=answered target=t1
time="2026-12-04T04:00:09.000000Z" level=info msg=event event=target_trusted host=h1 service=s target=t1
no line of a host
`

// TestExplain guards against a story that lacks an attempt or what was known of
// its target, that mixes in other requests, or that is out of order.
func TestExplain(t *testing.T) {
	name := filepath.Join(t.TempDir(), "h1.log")
	if err := os.WriteFile(name, []byte(hostLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	if code := Run(t.Context(), []string{"explain", "-request", "r1", name}, nil, &out, &errs); code != ExitOK {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != 3 || !strings.Contains(got[0], "target_avoided") || !strings.Contains(got[1], "dial_failed") || !strings.Contains(got[2], "answered") {
		t.Errorf("got\n%s", out.String())
	}
	for _, args := range [][]string{{"explain", name}, {"explain", "-request", "r1"}, {"explain", "-request", "r9", name}, {"explain", "-request", "r1", "/nowhere"}} {
		if code := Run(t.Context(), args, nil, &out, &errs); code == ExitOK {
			t.Errorf("%q succeeded", args)
		}
	}
}
