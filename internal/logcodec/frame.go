// Package logcodec translates the entries of internal/core/revision to and
// from the bytes of log records.
//
// A record is a frame around a protobuf message: magic, version, encoding,
// CRC-32C of the body, body. The checksum tells damage, which every build
// ignores alike, from a newer version, at which an older build has to stop.
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
	magic       = "shvn"
	version     = 1
	plain       = 0
	deflated    = 1
	headerBytes = len(magic) + 2 + crc32.Size
	// deflateFrom is the body size in bytes from which compression is worth
	// its time; most one-section proposals are smaller.
	deflateFrom = 4 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame compresses a body where that is worth its time. The data of a chunk is
// compressed already.
func frame(body []byte, compressed bool) ([]byte, error) {
	if len(body) > revision.MaxRecordBytes {
		return nil, errors.Errorf("record has %d bytes, the limit is %d", len(body), revision.MaxRecordBytes)
	}
	encoding := byte(plain)
	if len(body) >= deflateFrom && !compressed {
		encoding = deflated
		body = deflate(body)
	}
	out := make([]byte, 0, headerBytes+len(body))
	out = append(out, magic...)
	out = append(out, version, encoding)
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(body, castagnoli))
	return append(out, body...), nil
}

func unframe(data []byte) ([]byte, error) {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return nil, errors.New("not a record of this system")
	}
	if v := data[len(magic)]; v != version {
		return nil, &revision.NewerRecordError{Cause: fmt.Sprintf("frame version %d", v)}
	}
	body := data[headerBytes:]
	if binary.BigEndian.Uint32(data[headerBytes-crc32.Size:]) != crc32.Checksum(body, castagnoli) {
		return nil, errors.New("wrong checksum")
	}
	switch encoding := data[len(magic)+1]; encoding {
	case plain:
		return body, nil
	case deflated:
		return inflate(body)
	default:
		return nil, &revision.NewerRecordError{Cause: fmt.Sprintf("encoding %d", encoding)}
	}
}

func deflate(body []byte) []byte {
	var out bytes.Buffer
	// The level is valid and a buffer doesn't fail, so neither call returns an
	// error.
	w, _ := flate.NewWriter(&out, flate.DefaultCompression)
	_, _ = w.Write(body)
	_ = w.Close()
	return out.Bytes()
}

func inflate(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	out, err := io.ReadAll(io.LimitReader(r, revision.MaxRecordBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "compressed body")
	}
	if len(out) > revision.MaxRecordBytes {
		return nil, errors.Errorf("compressed body: more than %d bytes", revision.MaxRecordBytes)
	}
	return out, nil
}
