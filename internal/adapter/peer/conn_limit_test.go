package peer

import (
	"net"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
)

// TestSilentConnectionsYield guards against connections that send nothing and use up the descriptors of a host,
// and against a bound that closes a connection in use instead.
func TestSilentConnectionsYield(t *testing.T) {
	const limit = 4
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, hook := test.NewNullLogger()
	bounded := newBoundedListener(lis, limit, log)
	t.Cleanup(func() { bounded.Close() })
	connect := func() (client, server net.Conn) {
		client, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		server, err = bounded.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, server
	}
	one := make([]byte, 1)
	client, server := connect()
	for range 3 * limit {
		connect()
		if _, err := client.Write(one); err != nil {
			t.Fatal(err)
		}
		if _, err := server.Read(one); err != nil {
			t.Fatalf("the connection in use was closed: %v", err)
		}
	}
	if len(bounded.conns) != limit {
		t.Errorf("%d connections are open, want %d", len(bounded.conns), limit)
	}
	if len(hook.AllEntries()) != 1 {
		t.Errorf("%d log lines, want 1", len(hook.AllEntries()))
	}
	server.Close()
	if len(bounded.conns) != limit-1 {
		t.Error("a closed connection still counts")
	}
}
