package revision

import "fmt"

// CannotRebuildError reports a log that lost its beginning and has no usable
// checkpoint. Only a snapshot from a peer helps.
type IncompleteLogError struct{ FirstOffset int64 }

func (e *IncompleteLogError) Error() string {
	return fmt.Sprintf("the configuration can't be rebuilt from the log: it starts at offset %d and has no usable checkpoint", e.FirstOffset)
}

// Bootstrap chooses the state to start from when a reader knows nothing. The
// reader observes the retained records once, asks for the start, and reads
// again from the record after its AsOf.
type Bootstrap struct {
	decode  Decode
	first   int64
	pending ChunkSequence
	best    *Snapshot
}

// NewBootstrap returns a scan of the log.
func NewBootstrap(decode Decode) *Bootstrap { return &Bootstrap{decode: decode} }

// Retained tells the first retained offset, which may rise during the scan.
func (b *Bootstrap) SetFirstRetained(first int64) { b.first = max(b.first, first) }

// Observe looks for a checkpoint in the next record. Records of newer versions
// are passed over, because only applying needs to understand them.
func (b *Bootstrap) Observe(r Record) {
	e, err := b.decode(r.Data)
	if err != nil {
		return
	}
	start := r.Offset
	if chunk, ok := e.(Chunk); ok {
		begun := b.pending.Start
		next, whole, _ := b.pending.add(r, chunk)
		b.pending = next
		if whole == nil {
			return
		}
		start = begun
		if e, err = b.decode(whole); err != nil {
			return
		}
	}
	if c, ok := e.(Checkpoint); ok {
		b.consider(start, c.Snapshot)
	}
}

func (b *Bootstrap) consider(start int64, snap Snapshot) {
	if snap.AsOf >= start || (b.best != nil && snap.AsOf <= b.best.AsOf) {
		return
	}
	if _, err := snap.check(); err == nil {
		b.best = &snap
	}
}

// Start returns the state to start from. The error is a CannotRebuildError
// when the log is not enough.
func (b *Bootstrap) InitialState() (*State, error) {
	s := New(b.decode)
	if b.best != nil && b.best.AsOf >= b.first-1 {
		if _, err := s.Adopt(*b.best); err != nil {
			return nil, err
		}
		return s, nil
	}
	if b.first > 0 {
		return nil, &IncompleteLogError{FirstOffset: b.first}
	}
	return s, nil
}
