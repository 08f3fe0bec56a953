package revision

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"
)

const (
	// RecordBytes is the size of the largest record that is not split.
	MaxLogRecordBytes = 256 << 10
	// ChunkBytes is the data size of one chunk. It reserves 1 KiB for the
	// encoding, so that a chunk's record does not exceed RecordBytes.
	ChunkBytes = MaxLogRecordBytes - 1<<10
	// MaxRecordBytes limits the size of a record before it is split, and thereby
	// the memory held for an incomplete sequence. A checkpoint of 70,000 routes
	// is far smaller.
	MaxEntryBytes = 64 << 20
	maxChunks     = MaxEntryBytes / ChunkBytes
)

// SplitRecord splits data into chunks if it is too large for one record, and
// returns nil if it fits. The set identifies the chunk sequence.
func SplitRecord(set string, data []byte) ([]Chunk, error) {
	if len(data) <= MaxLogRecordBytes {
		return nil, nil
	}
	if len(data) > MaxEntryBytes {
		return nil, errors.Errorf("record has %d bytes, the limit is %d", len(data), MaxEntryBytes)
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

// ChunkSequence is an incomplete chunk sequence. A state keeps at most one: a
// chunk of another sequence replaces or discards it. Values are immutable, so a
// snapshot may share them.
type ChunkSequence struct {
	// Start and StartTime are the offset and time of the first chunk's record.
	Start     int64
	StartTime time.Time
	Chunks    []Chunk
}

// add returns the sequence with one more chunk, and the reassembled data if the
// chunk completes it.
func (q ChunkSequence) add(r Record, c Chunk) (next ChunkSequence, data []byte, err error) {
	if err := c.validate(); err != nil {
		return ChunkSequence{}, nil, err
	}
	switch {
	case c.Index == 0:
		return ChunkSequence{Start: r.Offset, StartTime: r.Time, Chunks: []Chunk{c}}, nil, nil
	case q.isRepeat(c):
		return q, nil, errors.Errorf("chunk %d of %s is repeated", c.Index, c.Set)
	case !q.isNext(c):
		return ChunkSequence{}, nil, errors.Errorf("chunk %d of %s does not continue a sequence", c.Index, c.Set)
	}
	chunks := make([]Chunk, 0, len(q.Chunks)+1)
	next = ChunkSequence{Start: q.Start, StartTime: q.StartTime, Chunks: append(append(chunks, q.Chunks...), c)}
	if len(next.Chunks) < int(c.Count) {
		return next, nil, nil
	}
	data, err = next.join()
	return ChunkSequence{}, data, err
}

func (c Chunk) validate() error {
	last := c.Index == c.Count-1
	remaining := c.Size - uint64(c.Index)*ChunkBytes
	switch {
	case c.Count < 2 || c.Count > maxChunks || c.Index >= c.Count:
		return errors.Errorf("chunk %d of %d of %s: count out of range", c.Index, c.Count, c.Set)
	case c.Size > MaxEntryBytes || (c.Size+ChunkBytes-1)/ChunkBytes != uint64(c.Count):
		return errors.Errorf("chunks of %s: size %d does not match count %d", c.Set, c.Size, c.Count)
	case !last && len(c.Data) != ChunkBytes, last && uint64(len(c.Data)) != remaining:
		return errors.Errorf("chunk %d of %s has %d bytes", c.Index, c.Set, len(c.Data))
	}
	return nil
}

func (q ChunkSequence) isRepeat(c Chunk) bool {
	n := len(q.Chunks)
	return n > 0 && q.Chunks[n-1].Set == c.Set && q.Chunks[n-1].Index == c.Index
}

func (q ChunkSequence) isNext(c Chunk) bool {
	if len(q.Chunks) == 0 {
		return false
	}
	first := q.Chunks[0]
	return first.Set == c.Set && first.Count == c.Count && first.Size == c.Size &&
		first.Checksum == c.Checksum && int(c.Index) == len(q.Chunks)
}

func (q ChunkSequence) join() ([]byte, error) {
	first := q.Chunks[0]
	data := make([]byte, 0, first.Size)
	for _, c := range q.Chunks {
		data = append(data, c.Data...)
	}
	if sha256.Sum256(data) != first.Checksum {
		return nil, errors.Errorf("chunks of %s: wrong checksum", first.Set)
	}
	return data, nil
}
