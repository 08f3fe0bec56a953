package admin

import (
	"crypto/sha256"
	"crypto/subtle"
)

// adminToken is the secret that authorizes writing. An empty token disables writing.
type adminToken string

// Enabled reports whether writing is enabled.
func (t adminToken) Enabled() bool { return t != "" }

// Valid reports whether a given token matches. It compares in constant time.
func (t adminToken) Valid(given string) bool {
	want, got := sha256.Sum256([]byte(t)), sha256.Sum256([]byte(given))
	return t.Enabled() && subtle.ConstantTimeCompare(want[:], got[:]) == 1
}
