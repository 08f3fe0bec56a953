package ticket

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint tells requests apart that carry the same ticket.
type Fingerprint [sha256.Size]byte

// NewFingerprint covers method, request target and body. A body that streams
// has no hash before it is admitted; its caller passes the hash that the
// request declares, or the zero value, and then only method and target count.
func NewFingerprint(method, target string, bodyHash [sha256.Size]byte) Fingerprint {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(method)))
	b = append(b, method...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(target)))
	b = append(b, target...)
	return sha256.Sum256(append(b, bodyHash[:]...))
}
