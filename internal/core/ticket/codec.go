package ticket

import (
	"bytes"
	"encoding/gob"
	"fmt"
)

// Encode encodes the chunk for the peer protocol. Header values and bodies are
// preserved byte for byte.
func (c Chunk) Encode() ([]byte, error) { return encode(c) }

// Encode encodes the update for the peer protocol.
func (u Update) Encode() ([]byte, error) { return encode(u) }

// DecodeChunk decodes a chunk that Chunk.Encode returned.
func DecodeChunk(b []byte) (Chunk, error) {
	var c Chunk
	err := decode(b, &c)
	return c, err
}

// DecodeUpdate decodes an update that Update.Encode returned.
func DecodeUpdate(b []byte) (Update, error) {
	var u Update
	err := decode(b, &u)
	return u, err
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, fmt.Errorf("ticket: encode handover message: %w", err)
	}
	return b.Bytes(), nil
}

func decode(b []byte, v any) error {
	r := bytes.NewReader(b)
	if err := gob.NewDecoder(r).Decode(v); err != nil {
		return fmt.Errorf("ticket: decode handover message: %w", err)
	}
	if r.Len() > 0 {
		return fmt.Errorf("ticket: decode handover message: %d trailing bytes", r.Len())
	}
	return nil
}
