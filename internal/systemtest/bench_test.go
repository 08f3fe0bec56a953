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

// idleTime is how long hosts are idle for the measurement of their overhead.
const idleTime = 10 * time.Second

// BenchmarkFleet measures what the control plane of a whole fleet takes. Run it
// with -benchtime 1x.
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
	last := time.Time{}
	for _, h := range f.hosts {
		f.waitRevision(2, h)
		if at := h.status().InForceAt; at.After(last) {
			last = at
		}
	}
	b.ReportMetric(float64(last.Sub(started).Milliseconds()), "ms-in-force")
	f.measureIdle(b)
	victim := f.hosts[hosts-1]
	victim.signal(syscall.SIGKILL)
	started = time.Now()
	for _, h := range f.hosts[:hosts-1] {
		waitFor(b, "the killed host is out of the address answers", func() bool { return !h.namesHost(victim) })
	}
	b.ReportMetric(float64(time.Since(started).Milliseconds()), "ms-killed-host-out")
	b.ReportMetric(0, "ns/op")
}

// namesHost tells whether h holds another host as usable in address answers.
func (h *host) namesHost(other *host) bool {
	var a ingress.AddressResponse
	if err := get(h.caller+"/.sapphirehaven/v1/addresses?service=index", &a); err != nil {
		return true
	}
	for _, entry := range a.Hosts {
		if "http://"+entry.Address == other.caller {
			return true
		}
	}
	return h.stateOf(other.id) != "failed"
}

// measureIdle reports the mean overhead of a host.
func (f *fleet) measureIdle(b *testing.B) {
	sum := func(name string) (total float64) {
		for _, h := range f.hosts {
			total += h.metric(b, name)
		}
		return total
	}
	count := float64(len(f.hosts))
	cpu, bytes := sum("process_cpu_seconds_total"), sum("sapphirehaven_control_bytes_total{")
	started := time.Now()
	time.Sleep(idleTime)
	elapsed := time.Since(started).Seconds() * count
	b.ReportMetric((sum("sapphirehaven_control_bytes_total{")-bytes)/elapsed, "control-B/s/host")
	b.ReportMetric((sum("process_cpu_seconds_total")-cpu)/elapsed*100, "cpu-%/host")
	b.ReportMetric(sum("process_resident_memory_bytes")/count/(1<<20), "MiB/host")
}

// metric adds up the metrics of a host whose names have a prefix.
func (h *host) metric(b *testing.B, prefix string) (total float64) {
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
