package console

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"strings"
	"testing"
)

// TestStateRefused guards against a draft that changes unnoticed on its way
// through a browser, and against input that takes unbounded memory.
func TestStateRefused(t *testing.T) {
	good, err := state{base: 7, origin: []byte("a"), draft: []byte(emptyDraft)}.encode()
	if err != nil {
		t.Fatal(err)
	}
	bomb, err := encodeParts(make([]byte, maxPayloadBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	b := newBrowser(t, newFake(t))
	for name, c := range map[string]struct {
		state, want string
		status      int
	}{
		"empty":    {"", "is damaged", 400},
		"cut":      {good[:len(good)-3], "is damaged", 400},
		"changed":  {good[:30] + "AA" + good[32:], "is damaged", 400},
		"version":  {"9." + good[2:], "is damaged", 400},
		"too long": {stateVersion + strings.Repeat("A", maxStateBytes), "compressed form is larger than 4MiB", 413},
		"bomb":     {bomb, "larger than 4MiB", 413},
		"body":     {strings.Repeat("A", maxTextBytes+maxStateBytes+maxFieldBytes), "larger than 10MiB", 413},
	} {
		b.body = ""
		b.post(pathEdit, "state", c.state)
		if b.status != c.status || !strings.Contains(b.body, c.want) {
			t.Errorf("%s: status %d, want %d with %q", name, b.status, c.status, c.want)
		}
	}
	noise := make([]byte, maxTextBytes)
	_, _ = rand.Read(noise)
	for _, s := range []state{{draft: noise}, {draft: make([]byte, maxTextBytes+1)}, {origin: make([]byte, maxTextBytes+1)}} {
		if _, err := s.encode(); err == nil {
			t.Errorf("a state with texts of %d and %d bytes was encoded", len(s.origin), len(s.draft))
		}
	}
}

// FuzzDecodeState guards against a panic on any input, and against accepted
// states that change when they are encoded again.
func FuzzDecodeState(f *testing.F) {
	for _, s := range []state{{}, {base: 1 << 60, origin: []byte("x"), draft: []byte(emptyDraft)}} {
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
		back, err := decodeState(again)
		if err != nil || back.base != s.base || !bytes.Equal(back.origin, s.origin) || !bytes.Equal(back.draft, s.draft) {
			t.Fatalf("%+v became %+v: %v", s, back, err)
		}
	})
}
