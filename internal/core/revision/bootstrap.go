package revision

import "fmt"

// IncompleteLogError reports a truncated log without a usable checkpoint. The
// state can then only be restored from a peer's snapshot.
type IncompleteLogError struct{ FirstOffset int64 }

func (e *IncompleteLogError) Error() string {
	return fmt.Sprintf("the configuration can't be rebuilt from the log: it starts at offset %d and has no usable checkpoint", e.FirstOffset)
}

// Bootstrap selects the initial state of a reader that has no state yet. The
// reader passes all retained records to Observe, calls InitialState, and reads
// the log again from the record after that state's AsOf.
type Bootstrap struct {
	decode      Decode
	firstOffset int64
	pending     ChunkSequence
	best        *Snapshot
}

// NewBootstrap returns a Bootstrap that decodes the observed records with decode.
func NewBootstrap(decode Decode) *Bootstrap { return &Bootstrap{decode: decode} }

// SetFirstRetained sets the first retained offset, which may increase during the
// scan.
func (b *Bootstrap) SetFirstRetained(firstOffset int64) {
	b.firstOffset = max(b.firstOffset, firstOffset)
}

// Observe checks whether the next record completes a checkpoint. It skips
// records of newer versions, because only Apply has to understand them.
func (b *Bootstrap) Observe(r Record) {
	e, err := b.decode(r.Data)
	if err != nil {
		return
	}
	start := r.Offset
	if chunk, ok := e.(Chunk); ok {
		sequenceStart := b.pending.Start
		next, data, _ := b.pending.add(r, chunk)
		b.pending = next
		if data == nil {
			return
		}
		start = sequenceStart
		if e, err = b.decode(data); err != nil {
			return
		}
	}
	if c, ok := e.(Checkpoint); ok {
		b.considerCheckpoint(start, c.Snapshot)
	}
}

func (b *Bootstrap) considerCheckpoint(start int64, snap Snapshot) {
	if snap.AsOf >= start || (b.best != nil && snap.AsOf <= b.best.AsOf) {
		return
	}
	if _, err := snap.validate(); err == nil {
		b.best = &snap
	}
}

// InitialState returns the state to start from. It returns an IncompleteLogError
// if the state cannot be rebuilt from the log.
func (b *Bootstrap) InitialState() (*State, error) {
	s := New(b.decode)
	if b.best != nil && b.best.AsOf >= b.firstOffset-1 {
		if _, err := s.Adopt(*b.best); err != nil {
			return nil, err
		}
		return s, nil
	}
	if b.firstOffset > 0 {
		return nil, &IncompleteLogError{FirstOffset: b.firstOffset}
	}
	return s, nil
}
