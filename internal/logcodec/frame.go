// Package logcodec encodes the entries of internal/core/revision as log records
// and decodes them.
//
// A record is a frame around a protobuf message: magic, version, encoding,
// CRC-32C of the body, body. The checksum distinguishes corrupt records, which
// every build ignores, from records of a newer version, at which an older build
// has to stop.
package logcodec

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
)

const (
	magic           = "shvn"
	frameVersion    = 1
	encodingPlain   = 0
	encodingDeflate = 1
	headerBytes     = len(magic) + 2 + crc32.Size
	// minDeflateBytes is the size of the smallest body that is compressed. Most
	// one-section proposals are smaller; compressing them is not worth the time.
	minDeflateBytes = 4 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame returns the record of a body. It compresses bodies of at least
// minDeflateBytes unless they are already compressed, as the data of a chunk is.
func frame(body []byte, alreadyCompressed bool) ([]byte, error) {
	if len(body) > revision.MaxEntryBytes {
		return nil, errors.Errorf("record has %d bytes, the limit is %d", len(body), revision.MaxEntryBytes)
	}
	encoding := byte(encodingPlain)
	if len(body) >= minDeflateBytes && !alreadyCompressed {
		encoding = encodingDeflate
		body = deflate(body)
	}
	out := make([]byte, 0, headerBytes+len(body))
	out = append(out, magic...)
	out = append(out, frameVersion, encoding)
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(body, castagnoli))
	return append(out, body...), nil
}

func unframe(data []byte) ([]byte, error) {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return nil, errors.New("not a record of this system")
	}
	if v := data[len(magic)]; v != frameVersion {
		return nil, &revision.NewerRecordError{Cause: fmt.Sprintf("frame version %d", v)}
	}
	body := data[headerBytes:]
	if binary.BigEndian.Uint32(data[headerBytes-crc32.Size:]) != crc32.Checksum(body, castagnoli) {
		return nil, errors.New("wrong checksum")
	}
	switch encoding := data[len(magic)+1]; encoding {
	case encodingPlain:
		return body, nil
	case encodingDeflate:
		return inflate(body)
	default:
		return nil, &revision.NewerRecordError{Cause: fmt.Sprintf("encoding %d", encoding)}
	}
}

func deflate(body []byte) []byte {
	var out bytes.Buffer
	// The errors are ignored: the level is valid, and writes to a buffer do not
	// fail.
	w, _ := flate.NewWriter(&out, flate.DefaultCompression)
	_, _ = w.Write(body)
	_ = w.Close()
	return out.Bytes()
}

func inflate(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, revision.MaxEntryBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress body")
	}
	if len(out) > revision.MaxEntryBytes {
		return nil, errors.Errorf("decompressed body exceeds %d bytes", revision.MaxEntryBytes)
	}
	return out, nil
}
