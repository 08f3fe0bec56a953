package route

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// TestLookup guards against a request that does not take the route with the longest
// prefix for its method.
func TestLookup(t *testing.T) {
	table := New([]document.Route{
		{Name: "root", PathPrefix: "/", Methods: []string{"GET"}},
		{Name: "any", PathPrefix: "/notices"},
		{Name: "post", PathPrefix: "/notices", Methods: []string{"POST", "PUT"}},
		{Name: "deep", PathPrefix: "/notices/archive/", Methods: []string{"GET"}},
	})
	datadriven.RunTest(t, "testdata/lookup.txt", func(t *testing.T, d *datadriven.TestData) string {
		r := table.Lookup("", d.CmdArgs[0].Key, d.CmdArgs[1].Key)
		if r == nil {
			return "none"
		}
		return r.Name
	})
}

func manyRoutes(count int) []document.Route {
	routes := make([]document.Route, count)
	for i := range routes {
		routes[i] = document.Route{
			Name:       fmt.Sprintf("route-%d", i),
			PathPrefix: fmt.Sprintf("/team-%d/service-%d", i/3, i%3),
			Methods:    []string{"GET"},
			Service:    "service",
			Class:      "lookup",
		}
	}
	return routes
}

// BenchmarkLookup measures one lookup and reports the table size per route.
func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{100, 7_000, 70_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			routes := manyRoutes(count)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := New(routes)
			runtime.GC()
			runtime.ReadMemStats(&after)
			path := routes[count/2].PathPrefix + "/item/7"
			for b.Loop() {
				if table.Lookup("", "GET", path) == nil {
					b.Fatal("no route")
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "table_bytes/route")
		})
	}
}

// BenchmarkNew measures compiling the whole table, which every configuration change
// does.
func BenchmarkNew(b *testing.B) {
	routes := manyRoutes(70_000)
	for b.Loop() {
		New(routes)
	}
}
