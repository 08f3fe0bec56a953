package logcodec_test

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
	"github.com/sapphirehaven/sapphirehaven/internal/logpb"
)

func entries(t testing.TB) []revision.Entry {
	t.Helper()
	set, err := document.Sections(&document.Document{Format: 1, Name: "desk"})
	if err != nil {
		t.Fatal(err)
	}
	at := time.UnixMilli(1_796_000_000_123).UTC()
	snap := revision.Snapshot{
		AsOf: 7, AsOfTime: at, Revision: 2, Chain: document.Hash{1}, Previous: document.Hash{2}, ActiveID: "p2", Sections: set,
		Withdrawn:  []string{"p3"},
		Results:    []revision.Result{{ID: "p2", Base: 1, Accepted: true, Revision: 2, Chain: document.Hash{1}, Offset: 5, Time: at, Author: "a", Note: "n"}, {ID: "p4", Reason: revision.StaleBase, Winner: "p2", WinnerRevision: 2, Detail: "d"}},
		Checkpoint: revision.CheckpointInfo{AsOf: revision.NoOffset, Since: at},
		Pending:    revision.ChunkSequence{Start: 6, StartTime: at, Chunks: []revision.Chunk{{Set: "s", Count: 2, Size: 9, Data: []byte("x")}}},
	}
	return []revision.Entry{
		revision.Proposal{ID: "p", Base: 3, Delta: document.Delta{Changed: set.Sections(), Deleted: []string{"route/x"}}, ContentHash: set.Hash(), Author: "a", Note: "n"},
		revision.Withdrawal{ID: "p", Base: 3},
		revision.Checkpoint{Host: "h", Snapshot: snap},
		revision.Chunk{Set: "s", Index: 1, Count: 2, Size: 9, Checksum: document.Hash{3}, Data: []byte("x")},
	}
}

// TestRoundTrip guards against a field that is lost when an entry is encoded.
func TestRoundTrip(t *testing.T) {
	for _, e := range entries(t) {
		data, err := logcodec.Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		got, err := logcodec.Decode(data)
		if err != nil || !reflect.DeepEqual(got, e) {
			t.Errorf("got %+v, %v, want %+v", got, err, e)
		}
	}
}

// TestUnknownFieldIsNewerVersion guards against ignoring fields that only a newer
// build understands, whether at the top level or in a nested message.
func TestUnknownFieldIsNewerVersion(t *testing.T) {
	nested := &logpb.Proposal{Id: "p", ContentHash: make([]byte, 32), Changed: []*logpb.Section{{Key: "k"}}}
	nested.Changed[0].ProtoReflect().SetUnknown([]byte{0x98, 0x06, 0x01})
	top := &logpb.Record{}
	top.ProtoReflect().SetUnknown([]byte{0x9a, 0x06, 0x00})
	for _, m := range []*logpb.Record{top, {Kind: &logpb.Record_Proposal{Proposal: nested}}} {
		body, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		var newer *revision.NewerRecordError
		if _, err := logcodec.Decode(logcodec.Frame(body)); !errors.As(err, &newer) {
			t.Errorf("got %v, want a NewerRecordError", err)
		}
	}
}

// TestEncodeRejectsInvalidEntry guards against writing a record that every reader
// would ignore.
func TestEncodeRejectsInvalidEntry(t *testing.T) {
	for _, e := range []revision.Entry{
		revision.Proposal{},
		revision.Proposal{ID: strings.Repeat("x", logcodec.MaxIDBytes+1)},
		revision.Proposal{ID: "p", Note: strings.Repeat("x", logcodec.MaxNoteBytes+1)},
		revision.Withdrawal{},
		revision.Chunk{},
	} {
		if _, err := logcodec.Encode(e); err == nil {
			t.Errorf("%+v: encoded without an error", e)
		}
	}
}

// FuzzDecode guards against a record that makes a reader panic, and against an
// entry that changes when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, e := range entries(f) {
		data, err := logcodec.Encode(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data[10:]) // without the header of headerBytes bytes
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = logcodec.Decode(body)
		e, err := logcodec.Decode(logcodec.Frame(body))
		if err != nil {
			return
		}
		data, errData := logcodec.Encode(e)
		again, errAgain := logcodec.Decode(data)
		twice, errTwice := logcodec.Encode(again)
		if errData != nil || errAgain != nil || errTwice != nil || !bytes.Equal(data, twice) {
			t.Fatalf("the entry changes when it is encoded again: %v, %v, %v", errData, errAgain, errTwice)
		}
	})
}
