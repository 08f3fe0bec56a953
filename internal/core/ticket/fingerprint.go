package ticket

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint distinguishes different requests that carry the same ticket.
type Fingerprint [sha256.Size]byte

// NewFingerprint returns the hash of method, request target and body hash. The
// hash of a streamed body is not known at admission; for such a request the caller
// passes the hash that the request declares. With the zero value, only method and
// target are compared.
func NewFingerprint(method, target string, bodyHash [sha256.Size]byte) Fingerprint {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(method)))
	b = append(b, method...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(target)))
	b = append(b, target...)
	return sha256.Sum256(append(b, bodyHash[:]...))
}
