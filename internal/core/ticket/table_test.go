package ticket

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// TestFullTable guards against an old outcome that is dropped for a new ticket,
// and against unbounded responses.
func TestFullTable(t *testing.T) {
	tb := newTable(t, func(c *Config) { c.MaxTickets, c.MaxBytes = 3, 1000 })
	first, err := tb.Issue(start, 2)
	if err != nil || len(first) != 2 {
		t.Fatal(first, err)
	}
	if list, err := tb.Issue(start, 5); len(list) != 1 || err != nil {
		t.Fatal(list, err)
	}
	if _, err := tb.Issue(start, 1); !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	big := &Response{Status: 200, Body: make([]byte, 700)}
	for i, want := range []Verdict{Stored, AnsweredNotStored} {
		a := tb.Admit(start, first[i], Fingerprint{})
		tb.Complete(start, first[i].ID, a.Run, Completion{Outcome: outcome.Answered, Response: big})
		if got := tb.Admit(start, first[i], Fingerprint{}).Verdict; got != want {
			t.Fatalf("ticket %d: %s, want %s", i, got, want)
		}
	}
	if u := tb.Usage(); u.Bytes > 1000 || u.Entries != 2 {
		t.Fatalf("%+v", u)
	}
	tb.cfg.MaxBytes = tb.bytes
	if _, err := tb.Issue(start.Add(time.Second), 1); !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	after := start.Add(tb.cfg.Lifetime + time.Second)
	if list, err := tb.Issue(after, 5); len(list) != 3 || err != nil {
		t.Fatal(list, err)
	}
	if u := tb.Usage(); u != (Usage{Outstanding: 3}) {
		t.Fatalf("%+v", u)
	}
}

// TestExpiryNeverMovesBack guards against a second admission after the clock
// of the host was set back.
func TestExpiryNeverMovesBack(t *testing.T) {
	tb := newTable(t, nil)
	tk := issueOne(t, tb)
	tb.Admit(start, tk, Fingerprint{})
	tb.Tick(tk.Expiry)
	if a := tb.Admit(start, tk, Fingerprint{}); a.Verdict != Expired || a.Verdict.Outcome() != outcome.Unknown {
		t.Fatalf("%s", a.Verdict)
	}
}

// TestRepeats guards against a wrong answer to a repeat.
func TestRepeats(t *testing.T) {
	fp, other := NewFingerprint("POST", "/a", [32]byte{1}), NewFingerprint("POST", "/a", [32]byte{2})
	response := &Response{Status: 201, Headers: []Header{{"A", "b"}}, Body: []byte("c")}
	tests := []struct {
		end  Completion
		want Verdict
	}{
		{Completion{Outcome: outcome.Answered, Response: response}, Stored},
		{Completion{Outcome: outcome.Answered}, AnsweredNotStored},
		{Completion{Outcome: outcome.NotRun}, Run},
		{Completion{Outcome: outcome.Unknown}, OutcomeUnknown},
		{Completion{Outcome: outcome.Pending}, OutcomeUnknown},
	}
	for _, tt := range tests {
		tb := newTable(t, nil)
		tk := issueOne(t, tb)
		first := tb.Admit(start, tk, fp)
		if a := tb.Admit(start, tk, fp); a.Verdict != InProgress || a.Verdict.Outcome() != outcome.Unknown {
			t.Fatalf("%s", a.Verdict)
		}
		if a := tb.Admit(start, tk, other); a.Verdict != RequestMismatch {
			t.Fatalf("%s", a.Verdict)
		}
		tb.Complete(start, tk.ID, first.Run, tt.end)
		a := tb.Admit(start, tk, fp)
		if a.Verdict != tt.want || (a.Verdict == Stored) != (a.Response == response) {
			t.Errorf("%+v: %+v, want %s", tt.end, a, tt.want)
		}
		if tb.Complete(start, tk.ID, first.Run, Completion{Outcome: outcome.Answered}) {
			t.Errorf("%+v: the first run ended twice", tt.end)
		}
	}
}

// handOver moves every chunk through its encoding into the successor.
func handOver(t *testing.T, from, to *Table) {
	t.Helper()
	for i := range from.ChunkCount() {
		c, err := from.Export(i)
		if err != nil {
			t.Fatal(err)
		}
		b, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeChunk(b)
		if err != nil || !reflect.DeepEqual(c.Entries, decoded.Entries) {
			t.Fatalf("%+v became %+v: %v", c, decoded, err)
		}
		complete, err := to.Import(start, decoded)
		if err != nil || complete != (i == from.ChunkCount()-1) {
			t.Fatalf("chunk %d: complete %v, %v", i, complete, err)
		}
	}
}

// TestHandOver guards against an outcome that is lost or changed on the way
// over two successors, and against chunks that are not bounded.
func TestHandOver(t *testing.T) {
	first := newTable(t, func(c *Config) { c.MaxChunkBytes = 1000 })
	second := New(first.cfg, Issuer{"host-2", 1}, Key{2}, start)
	third := New(first.cfg, Issuer{"host-3", 1}, Key{3}, start)
	list, _ := first.Issue(start, 20)
	for i, tk := range list[:18] {
		a := first.Admit(start, tk, Fingerprint{})
		body := bytes.Repeat([]byte{byte(i), 0xff}, 100)
		if i < 16 {
			first.Complete(start, tk.ID, a.Run, Completion{outcome.Answered, &Response{Status: 200, Headers: []Header{{"X", "\xff"}}, Body: body}})
		}
	}
	if _, err := first.Export(0); !errors.Is(err, ErrNotClosed) {
		t.Fatal(err)
	}
	if err := first.Close(start, second.Self()); err != nil {
		t.Fatal(err)
	}
	if err := first.Close(start, third.Self()); !errors.Is(err, ErrSuccessorConflict) {
		t.Fatal(err)
	}
	if n := first.ChunkCount(); n < 4 || first.RunningRequests() != 2 {
		t.Fatalf("%d chunks, %d running", n, first.RunningRequests())
	}
	handOver(t, first, second)
	if err := second.Close(start, third.Self()); err != nil {
		t.Fatal(err)
	}
	handOver(t, second, third)
	first.Complete(start, list[16].ID, 1, Completion{Outcome: outcome.NotRun})
	passUpdates(t, first, second)
	passUpdates(t, second, third)
	second.MarkLost(start, first.Self())
	passUpdates(t, second, third)
	for i, want := range map[int]Verdict{0: Stored, 15: Stored, 16: Run, 17: OutcomeUnknown, 18: Run, 19: Run} {
		if a := third.Admit(start, list[i], Fingerprint{}); a.Verdict != want {
			t.Errorf("ticket %d: %s, want %s", i, a.Verdict, want)
		}
	}
	if a := first.Admit(start, list[19], Fingerprint{}); a.Verdict != OtherHost || a.Host != "host-2" {
		t.Errorf("%+v", a)
	}
}

func passUpdates(t *testing.T, from, to *Table) {
	t.Helper()
	u, ok := from.NextUpdate()
	if !ok {
		t.Fatal("no update")
	}
	b, err := u.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeUpdate(b)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := to.ApplyUpdate(start, decoded); err != nil {
			t.Fatal(err)
		}
		from.Acknowledge(u)
	}
	if _, ok := from.NextUpdate(); ok {
		t.Fatal("an acknowledged update is sent again")
	}
}

// TestImportRefuses guards against an import by the wrong incarnation, of a
// malformed chunk, or beyond the bound.
func TestImportRefuses(t *testing.T) {
	to := New(DefaultConfig(), Issuer{"host-2", 2}, Key{}, start)
	to.cfg.MaxImported = 5
	issuers := []ExportedIssuer{{Issuer: testIssuer, Admits: true, LastExpiry: start.Add(time.Hour), Outstanding: 5}}
	good := Chunk{From: testIssuer, To: to.Self(), Count: 2, Issuers: issuers}
	for name, change := range map[string]func(*Chunk){
		"restarted":   func(c *Chunk) { c.To.Incarnation = 1 },
		"itself":      func(c *Chunk) { c.From = c.To },
		"index":       func(c *Chunk) { c.Index = 2 },
		"negative":    func(c *Chunk) { c.Index = -1 },
		"count":       func(c *Chunk) { c.Count = 6 },
		"no issuer":   func(c *Chunk) { c.Issuers = nil },
		"late issuer": func(c *Chunk) { c.Index = 1 },
		"tickets":     func(c *Chunk) { c.Issuers = append(c.Issuers, ExportedIssuer{Outstanding: 1}) },
		"less":        func(c *Chunk) { c.Issuers = []ExportedIssuer{{Outstanding: -1}} },
		"entries":     func(c *Chunk) { c.Entries = make([]ExportedEntry, 6) },
	} {
		c := good
		change(&c)
		if _, err := to.Import(start, c); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if err := to.ApplyUpdate(start, Update{From: testIssuer, To: to.Self()}); !errors.Is(err, ErrNotImported) {
		t.Error(err)
	}
	if complete, err := to.Import(start, good); complete || err != nil {
		t.Error(complete, err)
	}
	if err := to.Resume(start, 3, Key{}); err != nil {
		t.Error(err)
	}
	if _, err := to.Import(start, good); !errors.Is(err, ErrNotSuccessor) {
		t.Error(err)
	}
}

// TestPendingImportIsBounded guards against memory held by a hand-over that is
// never completed.
func TestPendingImportIsBounded(t *testing.T) {
	to := New(DefaultConfig(), Issuer{"host-2", 2}, Key{}, start)
	to.cfg.MaxBytes = 1000
	c := Chunk{From: testIssuer, To: to.Self(), Index: 1, Count: 2}
	for i := range 10 {
		c.Entries = append(c.Entries, ExportedEntry{ID: ID{testIssuer, uint64(i)}, State: outcome.Answered, Response: &Response{Body: make([]byte, 300)}})
	}
	if _, err := to.Import(start, c); err != nil {
		t.Fatal(err)
	}
	if u := to.Usage(); u.Bytes > 1000 || u.Bytes == 0 {
		t.Fatalf("%+v", u)
	}
	to.Tick(start.Add(to.cfg.Lifetime))
	if u := to.Usage(); u.Bytes != 0 || len(to.imports) != 0 {
		t.Fatalf("%+v", u)
	}
}

// TestResume guards against tickets of an earlier incarnation that are admitted
// after a pause, and against outcomes that are lost by it.
func TestResume(t *testing.T) {
	tb := newTable(t, nil)
	list, _ := tb.Issue(start, 2)
	a := tb.Admit(start, list[0], Fingerprint{})
	if err := tb.Resume(start, testIssuer.Incarnation, Key{2}); err == nil {
		t.Error("the same incarnation is accepted")
	}
	if err := tb.Resume(start, testIssuer.Incarnation+1, Key{2}); err != nil {
		t.Fatal(err)
	}
	if !tb.Complete(start, list[0].ID, a.Run, Completion{Outcome: outcome.Answered, Response: &Response{Status: 200}}) {
		t.Error("the outcome is lost")
	}
	if a := tb.Admit(start, list[0], Fingerprint{}); a.Verdict != Stored {
		t.Error(a.Verdict)
	}
	if a := tb.Admit(start, list[1], Fingerprint{}); a.Verdict != NeverAdmitted || a.Verdict.Outcome() != outcome.NotRun {
		t.Error(a.Verdict)
	}
	if a := tb.Admit(start, issueOne(t, tb), Fingerprint{}); a.Verdict != Run {
		t.Error(a.Verdict)
	}
}
