package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestLongHostID guards against a host that issues tickets which no host can parse,
// because its ID has the maximum length that the settings allow.
func TestLongHostID(t *testing.T) {
	const settingsLimit = 128
	now := time.Unix(1_800_000_000, 0)
	tb := New(DefaultConfig(), Issuer{Host: ident.HostID(strings.Repeat("h", settingsLimit)), Incarnation: 1}, Key{1}, now)
	list, err := tb.Issue(now, 1)
	if err != nil {
		t.Fatal(err)
	}
	tk, err := Parse(list[0].String())
	if err != nil {
		t.Fatal(err)
	}
	if a := tb.Admit(now, tk, Fingerprint{}); a.Verdict != Run {
		t.Fatalf("%s", a.Verdict)
	}
}
