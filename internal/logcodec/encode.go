package logcodec

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logpb"
)

// Encode returns the encoded entry. It can exceed the size limit of a record;
// Records splits it.
func Encode(e revision.Entry) ([]byte, error) {
	m, err := toProto(e)
	if err != nil {
		return nil, err
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	_, isChunk := e.(revision.Chunk)
	return frame(body, isChunk)
}

// Records returns the records to append for an entry, in order: a single record
// or several chunks. The set has to be unique among all chunk sequences.
func Records(set string, e revision.Entry) ([][]byte, error) {
	data, err := Encode(e)
	if err != nil {
		return nil, err
	}
	chunks, err := revision.SplitRecord(set, data)
	if err != nil {
		return nil, err
	}
	if chunks == nil {
		return [][]byte{data}, nil
	}
	var records [][]byte
	for _, c := range chunks {
		record, err := Encode(c)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// EncodeSnapshot encodes a snapshot for the transfer to a peer.
func EncodeSnapshot(s revision.Snapshot) ([]byte, error) {
	return Encode(revision.Checkpoint{Snapshot: s})
}

// toProto converts an entry to its message. It returns an error if Decode would
// reject the message.
func toProto(e revision.Entry) (*logpb.Record, error) {
	m := &logpb.Record{}
	switch e := e.(type) {
	case revision.Proposal:
		m.Kind = &logpb.Record_Proposal{Proposal: proposalProto(e)}
	case revision.Withdrawal:
		m.Kind = &logpb.Record_Withdrawal{Withdrawal: &logpb.Withdrawal{Id: e.ID, Base: e.Base}}
	case revision.Checkpoint:
		m.Kind = &logpb.Record_Checkpoint{Checkpoint: &logpb.Checkpoint{Host: string(e.Host), Snapshot: snapshotProto(e.Snapshot)}}
		return m, nil
	case revision.Chunk:
		m.Kind = &logpb.Record_Chunk{Chunk: chunkProto(e)}
	default:
		return nil, errors.Errorf("cannot encode %T", e)
	}
	_, err := fromProto(m)
	return m, err
}

func proposalProto(p revision.Proposal) *logpb.Proposal {
	return &logpb.Proposal{
		Id:          p.ID,
		Base:        p.Base,
		Changed:     sectionProtos(p.Delta.Changed),
		Deleted:     p.Delta.Deleted,
		ContentHash: p.ContentHash[:],
		Author:      p.Author,
		Note:        p.Note,
	}
}

func chunkProto(c revision.Chunk) *logpb.Chunk {
	return &logpb.Chunk{Set: c.Set, Index: c.Index, Count: c.Count, Size: c.Size, Checksum: c.Checksum[:], Data: c.Data}
}

func sectionProtos(sections []document.Section) []*logpb.Section {
	list := make([]*logpb.Section, len(sections))
	for i, s := range sections {
		list[i] = &logpb.Section{Key: s.Key, Data: s.Data}
	}
	return list
}

func snapshotProto(s revision.Snapshot) *logpb.Snapshot {
	m := &logpb.Snapshot{
		AsOf:              s.AsOf,
		AsOfTimeMs:        toMillis(s.AsOfTime),
		Revision:          s.Revision,
		Chain:             s.Chain[:],
		Previous:          s.Previous[:],
		ActiveId:          s.ActiveID,
		Sections:          sectionProtos(s.Sections.Sections()),
		Withdrawn:         s.Withdrawn,
		CheckpointAsOf:    s.Checkpoint.AsOf,
		CheckpointSinceMs: toMillis(s.Checkpoint.Since),
		PendingStart:      s.Pending.Start,
		PendingStartMs:    toMillis(s.Pending.StartTime),
	}
	for _, r := range s.Results {
		m.Results = append(m.Results, resultProto(r))
	}
	for _, c := range s.Pending.Chunks {
		m.Pending = append(m.Pending, chunkProto(c))
	}
	return m
}

func resultProto(r revision.Result) *logpb.Result {
	return &logpb.Result{
		Id:             r.ID,
		Base:           r.Base,
		Accepted:       r.Accepted,
		Revision:       r.Revision,
		Chain:          r.Chain[:],
		Offset:         r.Offset,
		TimeMs:         toMillis(r.Time),
		Reason:         uint32(r.Reason),
		Winner:         r.Winner,
		WinnerRevision: r.WinnerRevision,
		Detail:         r.Detail,
		Author:         r.Author,
		Note:           r.Note,
	}
}

func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}
