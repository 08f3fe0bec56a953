package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// fakeIdentity is an Identity whose clock does not advance.
type fakeIdentity port.Sender

func (p fakeIdentity) Sender() port.Sender { return port.Sender(p) }
func (p fakeIdentity) Stamp() event.Stamp  { return event.Stamp{} }
func (p fakeIdentity) Observe(event.Stamp) {}

// recordsHandler is a handler that serves a fixed list of records.
type recordsHandler struct {
	port.PeerHandler
	list []revision.Record
}

func (r *recordsHandler) Records(int64, int) ([]revision.Record, bool) { return r.list, false }

func (r *recordsHandler) Push(_ port.Sender, list []revision.Record) int64 {
	return list[len(list)-1].Offset
}

func (r *recordsHandler) Handover(port.Sender, port.HandoverMessage) (bool, error) { return true, nil }

func serve(t *testing.T, handler port.PeerHandler) (*Client, port.Host) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, _ := logtest.NewNullLogger()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Serve(ctx, lis, fakeIdentity{Host: "b", Incarnation: 7}, handler, log)
	}()
	client := NewClient(fakeIdentity{Host: "a", Incarnation: 1})
	t.Cleanup(func() {
		client.Close()
		cancel()
		<-done
	})
	return client, port.Host{ID: "b", Incarnation: 7, PeerAddress: lis.Addr().String()}
}

// TestRecordsMessageLimit guards against responses and pushes that exceed drpc's limit
// of 4 MiB. They fail completely, so that a host that is far behind never catches up.
func TestRecordsMessageLimit(t *testing.T) {
	var list []revision.Record
	for i := range 64 {
		list = append(list, revision.Record{Offset: int64(i), Time: time.UnixMilli(0), Data: make([]byte, 256<<10)})
	}
	client, host := serve(t, &recordsHandler{list: list})
	got, _, err := client.Records(context.Background(), host.PeerAddress, -1, 256)
	if err != nil || len(got) != 8 || got[7].Offset != 7 {
		t.Errorf("%d records, %v, want 8", len(got), err)
	}
	if asOf, err := client.Push(context.Background(), host.PeerAddress, list); err != nil || asOf != 7 {
		t.Errorf("pushed up to %d, %v, want 7", asOf, err)
	}
	if countPerMessage([]revision.Record{{Data: make([]byte, 3<<20)}}) != 1 {
		t.Error("a single large record does not fit")
	}
}

// TestPanicInCall guards against a call of another host that ends the process.
func TestPanicInCall(t *testing.T) {
	client, host := serve(t, &recordsHandler{})
	// The handler of the test has no last record.
	if _, err := client.Push(t.Context(), host.PeerAddress, nil); err == nil {
		t.Error("a call whose handler panicked succeeded")
	}
	if complete, err := client.Handover(t.Context(), host, port.HandoverMessage{}); err != nil || !complete {
		t.Errorf("the next call: complete %t, %v", complete, err)
	}
}

// TestReplyFromOtherIncarnation guards against accepting a reply from an incarnation of
// the host other than the called one.
func TestReplyFromOtherIncarnation(t *testing.T) {
	client, host := serve(t, &recordsHandler{})
	if complete, err := client.Handover(context.Background(), host, port.HandoverMessage{}); err != nil || !complete {
		t.Errorf("complete %t, %v", complete, err)
	}
	host.Incarnation++
	if _, err := client.Handover(context.Background(), host, port.HandoverMessage{}); !errors.Is(err, errOtherIncarnation) {
		t.Errorf("error %v, want errOtherIncarnation", err)
	}
}

// chunkStream is a stream of snapshot chunks.
type chunkStream struct {
	peerpb.DRPCPeer_SnapshotClient
	list []*peerpb.SnapshotChunk
}

func (c *chunkStream) Recv() (*peerpb.SnapshotChunk, error) {
	if len(c.list) == 0 {
		return nil, io.EOF
	}
	next := c.list[0]
	c.list = c.list[1:]
	return next, nil
}

// TestDamagedSnapshot guards against accepting a corrupt or incomplete snapshot.
func TestDamagedSnapshot(t *testing.T) {
	wrong := &chunkStream{list: []*peerpb.SnapshotChunk{{Data: []byte("a")}, {Data: []byte("b"), Checksum: make([]byte, 32)}}}
	if _, _, err := receiveSnapshot(wrong); err == nil || !strings.Contains(err.Error(), "checksum") {
		t.Errorf("a wrong checksum: %v", err)
	}
	if _, _, err := receiveSnapshot(&chunkStream{list: []*peerpb.SnapshotChunk{{Data: []byte("a")}}}); err == nil {
		t.Error("a snapshot without its last chunk was accepted")
	}
}

func newMessage(updates int) member.Message {
	info := member.Info{
		ID:            ident.HostID(strings.Repeat("h", 128)),
		Version:       member.Version{Incarnation: 1 << 50, Epoch: 3},
		Location:      ident.Location{Region: "r", Zone: "z"},
		PeerAddress:   "127.0.0.1:1",
		CallerAddress: "127.0.0.1:2",
		AdminAddress:  "127.0.0.1:3",
		Leaving:       true,
		Successor:     "s",
	}
	m := member.Message{Kind: member.Ack, Sequence: 5, ToIncarnation: 9, From: info, Subject: "x", SubjectAddress: "127.0.0.1:4",
		Digest: member.Digest{AsOf: 10, Revision: 2, LogAge: 3 * time.Second}}
	for range updates {
		m.Updates = append(m.Updates, member.Update{Info: info, State: member.Suspect})
	}
	return m
}

// TestDatagram guards against fields that are lost in encoding and against datagrams
// that are large enough to be fragmented.
func TestDatagram(t *testing.T) {
	for _, updates := range []int{2, 60} {
		m := newMessage(updates)
		data, err := (&Datagrams{identity: fakeIdentity{}}).encode(m)
		if err != nil || len(data) > MaxDatagramBytes {
			t.Fatalf("%d bytes, %v", len(data), err)
		}
		pb := &peerpb.Membership{}
		if err := proto.Unmarshal(data, pb); err != nil {
			t.Fatal(err)
		}
		got, ok := fromMembership(pb)
		if len(got.Updates) < 2 {
			t.Errorf("%d of %d updates were sent", len(got.Updates), updates)
		}
		m.Updates = m.Updates[:len(got.Updates)]
		if !ok || !reflect.DeepEqual(got, m) {
			t.Errorf("got %+v, want %+v", got, m)
		}
	}
}

// FuzzFromMembership guards against datagrams that break the membership protocol: every
// accepted message has a valid kind, valid states and a valid age.
func FuzzFromMembership(f *testing.F) {
	data, err := proto.Marshal(toMembership(newMessage(1)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		pb := &peerpb.Membership{}
		if proto.Unmarshal(data, pb) != nil {
			return
		}
		m, ok := fromMembership(pb)
		if !ok {
			return
		}
		if m.From.ID == "" || m.Kind < member.Ping || m.Kind > member.PingRequest || m.Digest.LogAge < 0 || m.Digest.LogAge > member.MaxLogAge {
			t.Errorf("accepted invalid message %+v", m)
		}
		l := member.New(time.Unix(0, 0), member.DefaultConfig(), member.Info{ID: "self"}, 1)
		l.Receive(time.Unix(1, 0), m)
	})
}
