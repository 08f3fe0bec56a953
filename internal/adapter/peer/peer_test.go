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

	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// process is an identity with a clock that stands still.
type process port.Caller

func (p process) Caller() port.Caller { return port.Caller(p) }
func (p process) Stamp() event.Stamp  { return event.Stamp{} }
func (p process) Observe(event.Stamp) {}

// records is a handler that has only records.
type records struct {
	port.PeerHandler
	list []revision.Record
}

func (r *records) Records(int64, int) ([]revision.Record, bool) { return r.list, false }

func (r *records) Push(_ port.Caller, list []revision.Record) int64 {
	return list[len(list)-1].Offset
}

func (r *records) Handover(port.Caller, port.HandoverMessage) (bool, error) { return true, nil }

func serve(t *testing.T, handler port.PeerHandler) (*Client, port.Host) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = Serve(ctx, lis, process{Host: "b", Incarnation: 7}, handler)
	}()
	client := NewClient(process{Host: "a", Incarnation: 1})
	t.Cleanup(func() {
		client.Close()
		cancel()
		<-done
	})
	return client, port.Host{ID: "b", Incarnation: 7, PeerAddress: lis.Addr().String()}
}

// Guards against responses and pushes above drpc's limit of 4 MiB, which fail
// as a whole, so that a host that is far behind never catches up.
func TestRecordsAreBounded(t *testing.T) {
	var list []revision.Record
	for i := range 64 {
		list = append(list, revision.Record{Offset: int64(i), Time: time.UnixMilli(0), Data: make([]byte, 256<<10)})
	}
	client, host := serve(t, &records{list: list})
	got, _, err := client.Records(context.Background(), host.PeerAddress, -1, 256)
	if err != nil || len(got) != 8 || got[7].Offset != 7 {
		t.Errorf("%d records, %v, want 8", len(got), err)
	}
	if asOf, err := client.Push(context.Background(), host.PeerAddress, list); err != nil || asOf != 7 {
		t.Errorf("pushed up to %d, %v, want 7", asOf, err)
	}
	if fitting([]revision.Record{{Data: make([]byte, 3<<20)}}) != 1 {
		t.Error("a large record alone does not fit")
	}
}

// Guards against taking the reply of another life of a host for that of the
// host that was asked.
func TestReplyOfOtherIncarnation(t *testing.T) {
	client, host := serve(t, &records{})
	if complete, err := client.Handover(context.Background(), host, port.HandoverMessage{}); err != nil || !complete {
		t.Errorf("complete %t, %v", complete, err)
	}
	host.Incarnation++
	if _, err := client.Handover(context.Background(), host, port.HandoverMessage{}); !errors.Is(err, errOtherIncarnation) {
		t.Errorf("the error is %v", err)
	}
}

// chunks is a stream of snapshot chunks.
type chunks struct {
	peerpb.DRPCPeer_SnapshotClient
	list []*peerpb.SnapshotChunk
}

func (c *chunks) Recv() (*peerpb.SnapshotChunk, error) {
	if len(c.list) == 0 {
		return nil, io.EOF
	}
	next := c.list[0]
	c.list = c.list[1:]
	return next, nil
}

// Guards against a damaged or incomplete snapshot being adopted.
func TestDamagedSnapshot(t *testing.T) {
	wrong := &chunks{list: []*peerpb.SnapshotChunk{{Data: []byte("a")}, {Data: []byte("b"), Checksum: make([]byte, 32)}}}
	if _, _, err := receiveSnapshot(wrong); err == nil || !strings.Contains(err.Error(), "checksum") {
		t.Errorf("a wrong checksum: %v", err)
	}
	if _, _, err := receiveSnapshot(&chunks{list: []*peerpb.SnapshotChunk{{Data: []byte("a")}}}); err == nil {
		t.Error("a snapshot without its end was taken")
	}
}

func fullMessage(updates int) member.Message {
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

// Guards against fields that are lost on the wire and datagrams that a network
// would split.
func TestDatagram(t *testing.T) {
	for _, updates := range []int{2, 60} {
		m := fullMessage(updates)
		data, err := (&Datagrams{identity: process{}}).encode(m)
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

// Guards against datagrams from the network that break the membership protocol:
// whatever is taken has valid kinds, states and ages.
func FuzzFromMembership(f *testing.F) {
	data, err := proto.Marshal(toMembership(fullMessage(1)))
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
			t.Errorf("taken: %+v", m)
		}
		l := member.New(time.Unix(0, 0), member.DefaultConfig(), member.Info{ID: "self"}, 1)
		l.Receive(time.Unix(1, 0), m)
	})
}
