package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Version of the encoding and sizes of its parts in bytes.
const (
	encodingVersion = 1
	maxHostBytes    = 128
	numberBytes     = 8
	macBytes        = 16
	// fixedBytes is the size of an encoded ticket without the host ID.
	fixedBytes = 2 + 3*numberBytes + macBytes
	// MaxTextBytes is the maximum length of the text form of a ticket.
	MaxTextBytes = (fixedBytes+maxHostBytes)*4/3 + 1
)

// Errors returned by Parse.
var (
	ErrMalformed = errors.New("ticket: malformed ticket")
	ErrVersion   = errors.New("ticket: unknown ticket version")
)

// Key authenticates the tickets of one incarnation.
type Key [32]byte

// Issuer is the incarnation of a host that issued a ticket.
type Issuer struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
}

// ID identifies a ticket.
type ID struct {
	Issuer Issuer
	Serial uint64
}

// Ticket permits one request to run at most once.
type Ticket struct {
	ID
	// Expiry has a resolution of 1 ms.
	Expiry time.Time
	mac    [macBytes]byte
}

// encoding is the encoding of the text form: base64 without padding, safe in
// headers and URLs. Strict rejects non-canonical encodings of the same bytes.
var encoding = base64.RawURLEncoding.Strict()

// payload returns the bytes that the MAC covers.
func (t Ticket) payload() []byte {
	b := make([]byte, 0, fixedBytes+len(t.Issuer.Host))
	b = append(b, encodingVersion, byte(len(t.Issuer.Host)))
	b = append(b, t.Issuer.Host...)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Issuer.Incarnation))
	b = binary.BigEndian.AppendUint64(b, t.Serial)
	return binary.BigEndian.AppendUint64(b, uint64(t.Expiry.UnixMilli()))
}

// String returns the text form.
func (t Ticket) String() string { return encoding.EncodeToString(append(t.payload(), t.mac[:]...)) }

// sign returns the ticket with its MAC set.
func (t Ticket) sign(k Key) Ticket {
	t.mac = t.computeMAC(k)
	return t
}

// verify reports whether the ticket was signed with the key.
func (t Ticket) verify(k Key) bool {
	code := t.computeMAC(k)
	return hmac.Equal(code[:], t.mac[:])
}

func (t Ticket) computeMAC(k Key) (code [macBytes]byte) {
	h := hmac.New(sha256.New, k[:])
	h.Write(t.payload())
	copy(code[:], h.Sum(nil))
	return code
}

// Parse decodes the text form of a ticket. It checks the syntax only; the MAC is
// verified on admission by a table that has the issuer's key.
func Parse(text string) (Ticket, error) {
	if len(text) > MaxTextBytes {
		return Ticket{}, ErrMalformed
	}
	b, err := encoding.DecodeString(text)
	// The decoder skips line breaks; the comparison of lengths rejects them.
	if err != nil || len(b) < 2 || encoding.EncodedLen(len(b)) != len(text) {
		return Ticket{}, ErrMalformed
	}
	if b[0] != encodingVersion {
		return Ticket{}, ErrVersion
	}
	hostBytes := int(b[1])
	if hostBytes == 0 || hostBytes > maxHostBytes || len(b) != fixedBytes+hostBytes {
		return Ticket{}, ErrMalformed
	}
	var t Ticket
	t.Issuer.Host = ident.HostID(b[2 : 2+hostBytes])
	b = b[2+hostBytes:]
	t.Issuer.Incarnation = ident.Incarnation(binary.BigEndian.Uint64(b))
	t.Serial = binary.BigEndian.Uint64(b[numberBytes:])
	t.Expiry = time.UnixMilli(int64(binary.BigEndian.Uint64(b[2*numberBytes:])))
	copy(t.mac[:], b[3*numberBytes:])
	return t, nil
}
