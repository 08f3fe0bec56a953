package ticket

import (
	"bytes"
	"encoding/gob"
	"fmt"
)

// Encode returns the chunk for the peer protocol. Header values and bodies are
// kept byte for byte.
func (c Chunk) Encode() ([]byte, error) { return encode(c) }

// Encode returns the update for the peer protocol.
func (u Update) Encode() ([]byte, error) { return encode(u) }

// DecodeChunk reads an encoded chunk.
func DecodeChunk(b []byte) (Chunk, error) {
	var c Chunk
	err := decode(b, &c)
	return c, err
}

// DecodeUpdate reads an encoded update.
func DecodeUpdate(b []byte) (Update, error) {
	var u Update
	err := decode(b, &u)
	return u, err
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, fmt.Errorf("ticket: encode hand-over: %w", err)
	}
	return b.Bytes(), nil
}

func decode(b []byte, v any) error {
	r := bytes.NewReader(b)
	if err := gob.NewDecoder(r).Decode(v); err != nil {
		return fmt.Errorf("ticket: decode hand-over: %w", err)
	}
	if r.Len() > 0 {
		return fmt.Errorf("ticket: decode hand-over: %d bytes after the message", r.Len())
	}
	return nil
}
