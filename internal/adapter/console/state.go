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
	// maxStateBytes limits the encoded state, which every page contains and every
	// form submission sends back.
	maxStateBytes = 4 << 20
	// maxTextBytes limits a draft's YAML text. It is below document.MaxBytes
	// because every request parses the text into a tree, which takes 82 MiB for
	// a document of 3.6 MiB, and up to 336 MiB for 4 MiB of the shortest list
	// items.
	maxTextBytes = 4 << 20
	// maxPayloadBytes limits the decompressed state: two texts and two varints.
	maxPayloadBytes = 2*maxTextBytes + 2*binary.MaxVarintLen64
	// stateVersion changes with the encoding, so that hosts reject a state that
	// another build encoded differently instead of misreading it.
	stateVersion = "1."
	checksumSize = 16
)

// state is the session state embedded in every page.
type state struct {
	// baseRevision is the revision that the draft is based on.
	baseRevision uint64
	// baseText is the YAML text of that revision, empty if there is none.
	baseText []byte
	// draft is the YAML text of the draft.
	draft []byte
}

var errStateDamaged = errors.New("the draft in this page is damaged; go back to the last page, or start again from a downloaded file")

type tooLargeError struct {
	subject string
	limit   int64
}

func (e tooLargeError) Error() string {
	return fmt.Sprintf("%s is larger than %s; use \"sapphirectl document apply\" for it", e.subject, document.Size(e.limit))
}

// encode returns the state in the format that decodeState reads.
func (s state) encode() (string, error) {
	if len(s.draft) > maxTextBytes {
		return "", tooLargeError{"the draft", maxTextBytes}
	}
	if len(s.baseText) > maxTextBytes {
		return "", tooLargeError{"the active document", maxTextBytes}
	}
	header := binary.AppendUvarint(nil, s.baseRevision)
	header = binary.AppendUvarint(header, uint64(len(s.baseText)))
	text, err := encodeParts(header, s.baseText, s.draft)
	if err != nil {
		return "", errors.Wrap(err, "encode page state")
	}
	if len(text) > maxStateBytes {
		return "", tooLargeError{"the draft in compressed form", maxStateBytes}
	}
	return text, nil
}

// encodeParts returns the version, followed by the base64 encoding of a checksum
// and the compressed parts.
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

// decodeState decodes the output of encode. It limits the decompressed size.
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
	baseRevision, n := binary.Uvarint(payload)
	if n <= 0 {
		return state{}, errStateDamaged
	}
	payload = payload[n:]
	length, n := binary.Uvarint(payload)
	if n <= 0 || length > uint64(len(payload)-n) {
		return state{}, errStateDamaged
	}
	payload = payload[n:]
	s := state{baseRevision: baseRevision, baseText: payload[:length:length], draft: payload[length:]}
	if len(s.draft) > maxTextBytes {
		return state{}, tooLargeError{"the draft", maxTextBytes}
	}
	return s, nil
}
