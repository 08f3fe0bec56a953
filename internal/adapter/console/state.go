package console

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

const (
	// maxStateBytes bounds the encoded state, which travels both ways with
	// every page.
	maxStateBytes = 4 << 20
	// maxTextBytes bounds a draft's YAML text. It is below document.MaxBytes
	// because every step parses the text into a tree: 82 MiB for a document of
	// 3.6 MiB, and up to 336 MiB for 4 MiB of the shortest list items.
	maxTextBytes = 4 << 20
	// maxPayloadBytes bounds the decompressed state: two texts and two numbers.
	maxPayloadBytes = 2*maxTextBytes + 2*binary.MaxVarintLen64
	// stateVersion changes with the layout, so that hosts of different builds
	// refuse each other's states rather than misread them.
	stateVersion = "1."
	checksumSize = 16
)

// state is the session state that a page carries.
type state struct {
	// base is the revision that the draft is written against.
	base uint64
	// origin is the YAML text of that revision; empty if there is none.
	origin []byte
	// draft is the YAML text of the draft.
	draft []byte
}

var errStateDamaged = errors.New("the draft in this page is damaged; go back to the last page, or start again from a downloaded file")

type tooLargeError struct {
	what  string
	limit int64
}

func (e tooLargeError) Error() string {
	return fmt.Sprintf("%s is larger than %s; use \"sapphirectl document apply\" for it", e.what, document.Size(e.limit))
}

// encode returns the text that decodeState reads.
func (s state) encode() (string, error) {
	if len(s.draft) > maxTextBytes {
		return "", tooLargeError{"the draft", maxTextBytes}
	}
	if len(s.origin) > maxTextBytes {
		return "", tooLargeError{"the active document", maxTextBytes}
	}
	header := binary.AppendUvarint(nil, s.base)
	header = binary.AppendUvarint(header, uint64(len(s.origin)))
	text, err := encodeParts(header, s.origin, s.draft)
	if err != nil {
		return "", errors.Wrap(err, "page state")
	}
	if len(text) > maxStateBytes {
		return "", tooLargeError{"the draft in compressed form", maxStateBytes}
	}
	return text, nil
}

// encodeParts returns the version, then a checksum and the compressed parts in
// base64.
func encodeParts(parts ...[]byte) (string, error) {
	var packed bytes.Buffer
	packed.Write(make([]byte, checksumSize))
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return "", err
	}
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return "", err
		}
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	raw := packed.Bytes()
	sum := sha256.Sum256(raw[checksumSize:])
	copy(raw, sum[:checksumSize])
	return stateVersion + base64.RawURLEncoding.EncodeToString(raw), nil
}

// decodeState reads what encode wrote. It bounds the decompressed size.
func decodeState(text string) (state, error) {
	if len(text) > maxStateBytes {
		return state{}, tooLargeError{"the draft in compressed form", maxStateBytes}
	}
	encoded, ok := strings.CutPrefix(text, stateVersion)
	if !ok {
		return state{}, errStateDamaged
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil || len(raw) < checksumSize {
		return state{}, errStateDamaged
	}
	sum := sha256.Sum256(raw[checksumSize:])
	if !bytes.Equal(sum[:checksumSize], raw[:checksumSize]) {
		return state{}, errStateDamaged
	}
	payload, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw[checksumSize:])), maxPayloadBytes+1))
	if err != nil {
		return state{}, errStateDamaged
	}
	if len(payload) > maxPayloadBytes {
		return state{}, tooLargeError{"the draft", maxTextBytes}
	}
	return splitPayload(payload)
}

func splitPayload(payload []byte) (state, error) {
	base, n := binary.Uvarint(payload)
	if n <= 0 {
		return state{}, errStateDamaged
	}
	payload = payload[n:]
	length, n := binary.Uvarint(payload)
	if n <= 0 || length > uint64(len(payload)-n) {
		return state{}, errStateDamaged
	}
	payload = payload[n:]
	s := state{base: base, origin: payload[:length:length], draft: payload[length:]}
	if len(s.draft) > maxTextBytes {
		return state{}, tooLargeError{"the draft", maxTextBytes}
	}
	return s, nil
}
