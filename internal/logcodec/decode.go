package logcodec

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logpb"
)

// Limits of texts in bytes. They bound the history that every host keeps.
const (
	MaxIDBytes     = 64
	MaxAuthorBytes = 128
	MaxNoteBytes   = 256
)

// Decode returns the entry of a record's bytes. It is a revision.Decode.
func Decode(data []byte) (revision.Entry, error) {
	body, err := unframe(data)
	if err != nil {
		return nil, err
	}
	m := &logpb.Record{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	if name := unknownField(m.ProtoReflect()); name != "" {
		return nil, &revision.NewerRecordError{Cause: "unknown field in " + name}
	}
	return fromProto(m)
}

// DecodeSnapshot returns the snapshot that EncodeSnapshot encoded.
func DecodeSnapshot(data []byte) (revision.Snapshot, error) {
	e, err := Decode(data)
	if err != nil {
		return revision.Snapshot{}, err
	}
	c, ok := e.(revision.Checkpoint)
	if !ok {
		return revision.Snapshot{}, errors.Errorf("%T is not a snapshot", e)
	}
	return c.Snapshot, nil
}

// unknownField returns the name of a message that has fields which this build
// doesn't know.
func unknownField(m protoreflect.Message) (name string) {
	if len(m.GetUnknown()) > 0 {
		return string(m.Descriptor().Name())
	}
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case fd.Message() == nil:
		case fd.IsList():
			for i := 0; i < v.List().Len() && name == ""; i++ {
				name = unknownField(v.List().Get(i).Message())
			}
		default:
			name = unknownField(v.Message())
		}
		return name == ""
	})
	return name
}

func fromProto(m *logpb.Record) (revision.Entry, error) {
	switch k := m.Kind.(type) {
	case *logpb.Record_Proposal:
		return proposal(k.Proposal)
	case *logpb.Record_Withdrawal:
		return withdrawal(k.Withdrawal)
	case *logpb.Record_Checkpoint:
		return checkpoint(k.Checkpoint)
	case *logpb.Record_Chunk:
		return chunk(k.Chunk)
	}
	return nil, errors.New("record: kind is missing")
}

func proposal(m *logpb.Proposal) (revision.Entry, error) {
	hash, err := hashField("proposal.content_hash", m.ContentHash)
	if err == nil {
		err = texts(text{"proposal.id", m.Id, 1, MaxIDBytes}, text{"proposal.author", m.Author, 0, MaxAuthorBytes}, text{"proposal.note", m.Note, 0, MaxNoteBytes})
	}
	if err != nil {
		return nil, err
	}
	delta := document.Delta{Changed: sections(m.Changed), Deleted: m.Deleted}
	return revision.Proposal{ID: m.Id, Base: m.Base, Delta: delta, ContentHash: hash, Author: m.Author, Note: m.Note}, nil
}

func withdrawal(m *logpb.Withdrawal) (revision.Entry, error) {
	if err := texts(text{"withdrawal.id", m.Id, 1, MaxIDBytes}); err != nil {
		return nil, err
	}
	return revision.Withdrawal{ID: m.Id, Base: m.Base}, nil
}

func chunk(m *logpb.Chunk) (revision.Entry, error) {
	c, err := chunkValue(m)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func chunkValue(m *logpb.Chunk) (revision.Chunk, error) {
	sum, err := hashField("chunk.checksum", m.Checksum)
	if err == nil {
		err = texts(text{"chunk.set", m.Set, 1, MaxIDBytes})
	}
	return revision.Chunk{Set: m.Set, Index: m.Index, Count: m.Count, Size: m.Size, Checksum: sum, Data: m.Data}, err
}

func checkpoint(m *logpb.Checkpoint) (revision.Entry, error) {
	if m.Snapshot == nil {
		return nil, errors.New("checkpoint.snapshot: missing")
	}
	s, err := snapshot(m.Snapshot)
	if err != nil {
		return nil, err
	}
	return revision.Checkpoint{Host: ident.HostID(m.Host), Snapshot: s}, nil
}

func snapshot(m *logpb.Snapshot) (revision.Snapshot, error) {
	chain, err := hashField("snapshot.chain", m.Chain)
	if err != nil {
		return revision.Snapshot{}, err
	}
	previous, err := hashField("snapshot.previous", m.Previous)
	if err != nil {
		return revision.Snapshot{}, err
	}
	set, err := document.NewSectionSet(sections(m.Sections))
	if err != nil {
		return revision.Snapshot{}, errors.Wrap(err, "snapshot.sections")
	}
	s := revision.Snapshot{
		AsOf:       m.AsOf,
		AsOfTime:   fromMillis(m.AsOfTimeMs),
		Revision:   m.Revision,
		Chain:      chain,
		Previous:   previous,
		ActiveID:   m.ActiveId,
		Sections:   set,
		Withdrawn:  m.Withdrawn,
		Checkpoint: revision.CheckpointInfo{AsOf: m.CheckpointAsOf, Since: fromMillis(m.CheckpointSinceMs)},
		Pending:    revision.ChunkSequence{Start: m.PendingStart, StartTime: fromMillis(m.PendingStartMs)},
	}
	return s, snapshotLists(m, &s)
}

func snapshotLists(m *logpb.Snapshot, s *revision.Snapshot) error {
	if len(m.Results) > revision.MaxResults {
		return errors.Errorf("snapshot.results: %d entries, the limit is %d", len(m.Results), revision.MaxResults)
	}
	for _, r := range m.Results {
		res, err := result(r)
		if err != nil {
			return err
		}
		s.Results = append(s.Results, res)
	}
	for _, c := range m.Pending {
		value, err := chunkValue(c)
		if err != nil {
			return err
		}
		s.Pending.Chunks = append(s.Pending.Chunks, value)
	}
	return nil
}

func result(m *logpb.Result) (revision.Result, error) {
	chain, err := hashField("result.chain", m.Chain)
	if err != nil {
		return revision.Result{}, err
	}
	if m.Reason > 255 || !revision.Reason(m.Reason).Valid() {
		return revision.Result{}, &revision.NewerRecordError{Cause: "result.reason"}
	}
	return revision.Result{
		ID:             m.Id,
		Base:           m.Base,
		Accepted:       m.Accepted,
		Revision:       m.Revision,
		Chain:          chain,
		Offset:         m.Offset,
		Time:           fromMillis(m.TimeMs),
		Reason:         revision.Reason(m.Reason),
		Winner:         m.Winner,
		WinnerRevision: m.WinnerRevision,
		Detail:         m.Detail,
		Author:         m.Author,
		Note:           m.Note,
	}, nil
}

func sections(list []*logpb.Section) []document.Section {
	out := make([]document.Section, len(list))
	for i, s := range list {
		out[i] = document.Section{Key: s.Key, Data: s.Data}
	}
	return out
}

func hashField(field string, b []byte) (document.Hash, error) {
	var h document.Hash
	if len(b) != len(h) {
		return h, errors.Errorf("%s: %d bytes, want %d", field, len(b), len(h))
	}
	copy(h[:], b)
	return h, nil
}

type text struct {
	field    string
	value    string
	min, max int
}

func texts(list ...text) error {
	for _, t := range list {
		if len(t.value) < t.min || len(t.value) > t.max {
			return errors.Errorf("%s: %d bytes, want %d to %d", t.field, len(t.value), t.min, t.max)
		}
	}
	return nil
}
