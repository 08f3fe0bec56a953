package revision

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"
)

const (
	// RecordBytes is the largest record that is not split.
	RecordBytes = 256 << 10
	// ChunkBytes is the data of one chunk. It leaves 1 KiB for the encoding, so
	// that a chunk's record is not larger than RecordBytes.
	ChunkBytes = RecordBytes - 1<<10
	// MaxRecordBytes bounds a record that is split, and so the memory for an
	// incomplete sequence. A checkpoint of 70,000 routes is far below it.
	MaxRecordBytes = 64 << 20
	maxChunks      = MaxRecordBytes / ChunkBytes
)

// Split returns data as chunks when it is too large for one record. The
// function returns nil when it fits.
func SplitRecord(set string, data []byte) ([]Chunk, error) {
	if len(data) <= RecordBytes {
		return nil, nil
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Errorf("record has %d bytes, the limit is %d", len(data), MaxRecordBytes)
	}
	count := (len(data) + ChunkBytes - 1) / ChunkBytes
	sum := sha256.Sum256(data)
	chunks := make([]Chunk, 0, count)
	for i := range count {
		part := data[i*ChunkBytes : min((i+1)*ChunkBytes, len(data))]
		chunks = append(chunks, Chunk{Set: set, Index: uint32(i), Count: uint32(count), Size: uint64(len(data)), Checksum: sum, Data: part})
	}
	return chunks, nil
}

// Sequence is an incomplete chunk sequence. At most one is kept: a chunk of
// another sequence replaces or drops it. Values are not modified, so a
// snapshot may share them.
type ChunkSequence struct {
	// Start and StartTime are the offset and time of the first chunk's record.
	Start     int64
	StartTime time.Time
	Chunks    []Chunk
}

// add returns the sequence after one more chunk, and the whole record when the
// chunk completes it.
func (q ChunkSequence) add(r Record, c Chunk) (next ChunkSequence, whole []byte, err error) {
	if err := c.check(); err != nil {
		return ChunkSequence{}, nil, err
	}
	switch {
	case c.Index == 0:
		return ChunkSequence{Start: r.Offset, StartTime: r.Time, Chunks: []Chunk{c}}, nil, nil
	case q.repeats(c):
		return q, nil, errors.Errorf("chunk %d of %s is repeated", c.Index, c.Set)
	case !q.continues(c):
		return ChunkSequence{}, nil, errors.Errorf("chunk %d of %s does not continue a sequence", c.Index, c.Set)
	}
	chunks := make([]Chunk, 0, len(q.Chunks)+1)
	next = ChunkSequence{Start: q.Start, StartTime: q.StartTime, Chunks: append(append(chunks, q.Chunks...), c)}
	if len(next.Chunks) < int(c.Count) {
		return next, nil, nil
	}
	whole, err = next.join()
	return ChunkSequence{}, whole, err
}

func (c Chunk) check() error {
	last := c.Index == c.Count-1
	rest := c.Size - uint64(c.Index)*ChunkBytes
	switch {
	case c.Count < 2 || c.Count > maxChunks || c.Index >= c.Count:
		return errors.Errorf("chunk %d of %d of %s: count out of range", c.Index, c.Count, c.Set)
	case c.Size > MaxRecordBytes || (c.Size+ChunkBytes-1)/ChunkBytes != uint64(c.Count):
		return errors.Errorf("chunks of %s: size %d does not match count %d", c.Set, c.Size, c.Count)
	case !last && len(c.Data) != ChunkBytes, last && uint64(len(c.Data)) != rest:
		return errors.Errorf("chunk %d of %s has %d bytes", c.Index, c.Set, len(c.Data))
	}
	return nil
}

func (q ChunkSequence) repeats(c Chunk) bool {
	n := len(q.Chunks)
	return n > 0 && q.Chunks[n-1].Set == c.Set && q.Chunks[n-1].Index == c.Index
}

func (q ChunkSequence) continues(c Chunk) bool {
	if len(q.Chunks) == 0 {
		return false
	}
	first := q.Chunks[0]
	return first.Set == c.Set && first.Count == c.Count && first.Size == c.Size &&
		first.Checksum == c.Checksum && int(c.Index) == len(q.Chunks)
}

func (q ChunkSequence) join() ([]byte, error) {
	first := q.Chunks[0]
	whole := make([]byte, 0, first.Size)
	for _, c := range q.Chunks {
		whole = append(whole, c.Data...)
	}
	if sha256.Sum256(whole) != first.Checksum {
		return nil, errors.Errorf("chunks of %s: wrong checksum", first.Set)
	}
	return whole, nil
}
