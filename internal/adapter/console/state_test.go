package console

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"strings"
	"testing"
)

// TestInvalidState guards against undetected corruption of the state in a form,
// and against input that takes unbounded memory.
func TestInvalidState(t *testing.T) {
	valid, err := state{baseRevision: 7, baseText: []byte("a"), draft: []byte(emptyDraft)}.encode()
	if err != nil {
		t.Fatal(err)
	}
	oversized, err := encodeParts(make([]byte, maxPayloadBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	b := newBrowser(t, newFakeDocuments(t))
	for name, c := range map[string]struct {
		state, want string
		status      int
	}{
		"empty":              {"", "is damaged", 400},
		"cut":                {valid[:len(valid)-3], "is damaged", 400},
		"changed":            {valid[:30] + "AA" + valid[32:], "is damaged", 400},
		"version":            {"9." + valid[2:], "is damaged", 400},
		"too long":           {stateVersion + strings.Repeat("A", maxStateBytes), "compressed form is larger than 4MiB", 413},
		"decompression bomb": {oversized, "larger than 4MiB", 413},
		"body":               {strings.Repeat("A", maxTextBytes+maxStateBytes+maxFieldBytes), "larger than 10MiB", 413},
	} {
		b.body = ""
		b.post(pathEdit, "state", c.state)
		if b.status != c.status || !strings.Contains(b.body, c.want) {
			t.Errorf("%s: status %d, want %d with %q", name, b.status, c.status, c.want)
		}
	}
	random := make([]byte, maxTextBytes)
	_, _ = rand.Read(random)
	for _, s := range []state{{draft: random}, {draft: make([]byte, maxTextBytes+1)}, {baseText: make([]byte, maxTextBytes+1)}} {
		if _, err := s.encode(); err == nil {
			t.Errorf("a state with texts of %d and %d bytes was encoded", len(s.baseText), len(s.draft))
		}
	}
}

// FuzzDecodeState guards against panics on arbitrary input, and against accepted
// states that change when they are encoded and decoded again.
func FuzzDecodeState(f *testing.F) {
	for _, s := range []state{{}, {baseRevision: 1 << 60, baseText: []byte("x"), draft: []byte(emptyDraft)}} {
		text, err := s.encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add(stateVersion + base64.RawURLEncoding.EncodeToString(make([]byte, 20)))
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = splitPayload([]byte(text))
		s, err := decodeState(text)
		if err != nil {
			return
		}
		again, err := s.encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeState(again)
		if err != nil || decoded.baseRevision != s.baseRevision || !bytes.Equal(decoded.baseText, s.baseText) || !bytes.Equal(decoded.draft, s.draft) {
			t.Fatalf("%+v became %+v: %v", s, decoded, err)
		}
	})
}
