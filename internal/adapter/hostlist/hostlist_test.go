package hostlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

func newTestClient(t *testing.T, status int, body string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/hosts" {
			t.Errorf("path %s", r.URL.Path)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return New(server.URL)
}

// TestHosts guards against decoding the location, addresses or state of a host
// incorrectly.
func TestHosts(t *testing.T) {
	c := newTestClient(t, http.StatusOK, `{"hosts":[{"id":"a","peer_address":"192.0.2.1:1","caller_address":"192.0.2.1:2","admin_address":"192.0.2.1:3","region":"r","zone":"z","state":"leaving"},{"id":"b","state":"live"}]}`)
	hosts, err := c.Hosts(context.Background())
	if err != nil || len(hosts) != 2 {
		t.Fatalf("hosts %v, error %v", hosts, err)
	}
	want := port.Host{ID: "a", Location: ident.Location{Region: "r", Zone: "z"}, PeerAddress: "192.0.2.1:1", CallerAddress: "192.0.2.1:2", AdminAddress: "192.0.2.1:3", Leaving: true}
	if hosts[0] != want || hosts[1].Leaving {
		t.Fatalf("hosts %+v", hosts)
	}
}

// TestUnavailableListIsAnError guards against returning an empty list when the
// platform's host list is unavailable or malformed, which would make a fleet
// drop its members.
func TestUnavailableListIsAnError(t *testing.T) {
	for _, c := range []*Client{
		newTestClient(t, http.StatusServiceUnavailable, `{"hosts":[]}`),
		newTestClient(t, http.StatusOK, `{"hosts":[{"id":`),
		New("http://127.0.0.1:1"),
	} {
		if hosts, err := c.Hosts(context.Background()); err == nil {
			t.Errorf("got hosts %v, want an error", hosts)
		}
	}
}
