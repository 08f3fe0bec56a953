package route

import (
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestHostRoutes guards against a request that takes the route of another host name,
// and against a prefix that matches a path outside of it.
func TestHostRoutes(t *testing.T) {
	table := New([]document.Route{
		{Name: "a-long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "a", Host: "A.example", PathPrefix: "/x/"},
		{Name: "b", Host: "b.example", PathPrefix: "/x/"},
		{Name: "all", PathPrefix: "/x/z"},
	})
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "a"}, {"a.example:8080", "/x/1", "a"}, {"A.EXAMPLE", "/x/y/1", "a-long"}, {"a.example", "/x/y", "a"},
		{"b.example", "/x/y/1", "b"}, {"b.example", "/x", ""}, {"b.example", "/xy/1", ""}, {"b.example", "//x/1", ""},
		{"c.example", "/x/1", ""}, {"c.example", "/x/z", "all"}, {"b.example", "/x/z", "b"},
	} {
		got := ""
		if r := table.Lookup(tt.host, "GET", tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("%s%s goes to route %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

// TestSplitKeepsWeights guards against a share that deviates from its weight, over many
// requests of one host and over the first few requests of many hosts.
func TestSplitKeepsWeights(t *testing.T) {
	split := []document.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 7}, {Service: "c", Weight: 3}}
	singleHost := map[ident.ServiceName]int{}
	for n := range uint64(1000) {
		singleHost[ChooseService(split, 0.3, n)]++
	}
	manyHosts := map[ident.ServiceName]int{}
	for host := range 100 {
		for n := range uint64(10) {
			manyHosts[ChooseService(split, float64(host)*0.37, n)]++
		}
	}
	for _, counts := range []map[ident.ServiceName]int{singleHost, manyHosts} {
		for _, s := range split {
			if off := counts[s.Service] - 10*s.Weight; off < -15 || off > 15 {
				t.Errorf("%d of 1,000 requests for weight %d of 100", counts[s.Service], s.Weight)
			}
		}
	}
}
