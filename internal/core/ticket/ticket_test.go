package ticket

import (
	"strings"
	"testing"
	"time"
)

var testIssuer = Issuer{Host: "host-1", Incarnation: 7}

func newTable(t *testing.T, change func(*Config)) *Table {
	t.Helper()
	cfg := DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	if err := cfg.Validate(); err != nil {
		t.Fatal(err)
	}
	return New(cfg, testIssuer, Key{1}, start)
}

var start = time.UnixMilli(1_000_000)

func issueOne(t *testing.T, tb *Table) Ticket {
	t.Helper()
	list, err := tb.Issue(start, 1)
	if err != nil {
		t.Fatal(err)
	}
	return list[0]
}

// TestParseRefuses guards against several accepted texts for one ticket and against
// malformed texts.
func TestParseRefuses(t *testing.T) {
	good := issueOne(t, newTable(t, nil)).String()
	if tk, err := Parse(good); err != nil || tk.String() != good {
		t.Fatalf("%v %v", tk, err)
	}
	last := good[len(good)-1:]
	other := "B"
	if last == "B" {
		other = "C"
	}
	for _, text := range []string{
		"", "A", good + "A", good[:len(good)-1], good + "=", " " + good, good[:9] + "\n" + good[9:],
		strings.Repeat("A", MaxTextBytes), strings.Repeat("A", MaxTextBytes+1), "Ag" + good[2:],
	} {
		if _, err := Parse(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
	forged, err := Parse(good[:len(good)-1] + other)
	if err == nil && newTable(t, nil).Admit(start, forged, Fingerprint{}).Verdict != Invalid {
		t.Error("a modified ticket is accepted")
	}
}

// TestForgedTicket guards against admission of a ticket whose fields were modified
// or that was signed with the key of another incarnation.
func TestForgedTicket(t *testing.T) {
	tb := newTable(t, nil)
	tk := issueOne(t, tb)
	later, serial := tk, tk
	later.Expiry = later.Expiry.Add(time.Hour)
	serial.Serial++
	for _, forged := range []Ticket{later, serial, tk.sign(Key{2})} {
		if a := tb.Admit(start, forged, Fingerprint{}); a.Verdict != Invalid {
			t.Errorf("%+v: %s", forged, a.Verdict)
		}
	}
	if a := tb.Admit(start, tk, Fingerprint{}); a.Verdict != Run {
		t.Errorf("%s", a.Verdict)
	}
}

// FuzzParse guards against a panic, and against an accepted text that String does
// not reproduce.
func FuzzParse(f *testing.F) {
	f.Add(Ticket{ID: ID{testIssuer, 1}, Expiry: start}.sign(Key{}).String())
	f.Add("AQ")
	f.Add(strings.Repeat("_", MaxTextBytes))
	f.Fuzz(func(t *testing.T, text string) {
		tk, err := Parse(text)
		if err == nil && tk.String() != text {
			t.Fatalf("%q was parsed and encoded as %q", text, tk.String())
		}
	})
}
