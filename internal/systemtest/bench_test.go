//go:build linux

package systemtest

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
)

// idleDuration is the period over which the overhead of idle hosts is measured.
const idleDuration = 10 * time.Second

// BenchmarkFleet measures the overhead and the propagation delays of a fleet's
// control plane. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				measureFleet(b, hosts)
			}
		})
	}
}

func measureFleet(b *testing.B, hosts int) {
	f := newServingFleet(b, hosts)
	started := time.Now()
	if result, code := f.hosts[0].apply(b, 1, f.document("second")); code != 0 {
		b.Fatalf("apply: %+v", result)
	}
	lastInForceAt := time.Time{}
	for _, h := range f.hosts {
		f.waitRevision(2, h)
		if at := h.status().InForceAt; at.After(lastInForceAt) {
			lastInForceAt = at
		}
	}
	b.ReportMetric(float64(lastInForceAt.Sub(started).Milliseconds()), "ms-in-force")
	f.measureIdle(b)
	killed := f.hosts[hosts-1]
	killed.signal(syscall.SIGKILL)
	started = time.Now()
	for _, h := range f.hosts[:hosts-1] {
		waitFor(b, "the killed host is absent from address responses", func() bool { return !h.considersUsable(killed) })
	}
	b.ReportMetric(float64(time.Since(started).Milliseconds()), "ms-killed-host-out")
	b.ReportMetric(0, "ns/op")
}

// considersUsable reports whether h lists another host in its address responses
// or doesn't consider it failed yet.
func (h *host) considersUsable(other *host) bool {
	var a ingress.AddressResponse
	if err := get(h.caller+"/.sapphirehaven/v1/addresses?service=index", &a); err != nil {
		return true
	}
	for _, entry := range a.Hosts {
		if "http://"+entry.Address == other.caller {
			return true
		}
	}
	return h.memberState(other.id) != "failed"
}

// measureIdle reports the mean overhead per idle host.
func (f *fleet) measureIdle(b *testing.B) {
	total := func(name string) (sum float64) {
		for _, h := range f.hosts {
			sum += h.sumMetrics(b, name)
		}
		return sum
	}
	count := float64(len(f.hosts))
	cpu, bytes := total("process_cpu_seconds_total"), total("sapphirehaven_control_bytes_total{")
	started := time.Now()
	time.Sleep(idleDuration)
	elapsed := time.Since(started).Seconds() * count
	b.ReportMetric((total("sapphirehaven_control_bytes_total{")-bytes)/elapsed, "control-B/s/host")
	b.ReportMetric((total("process_cpu_seconds_total")-cpu)/elapsed*100, "cpu-%/host")
	b.ReportMetric(total("process_resident_memory_bytes")/count/(1<<20), "MiB/host")
}

// sumMetrics returns the sum of the host's metrics whose names start with prefix.
func (h *host) sumMetrics(b *testing.B, prefix string) (total float64) {
	res, err := http.Get(h.admin + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if strings.HasPrefix(name, prefix) {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
			total += n
		}
	}
	return total
}
