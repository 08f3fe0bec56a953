//go:build linux

package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
)

const adminToken = "system-test-token"

// host is a running sapphirehaven process.
type host struct {
	*process
	id, caller, admin, peer string
}

// fleet is a set of hosts with simulated platform services and targets.
type fleet struct {
	t                            testing.TB
	logURL                       string
	hostsURL                     string
	lookupTargets, noticeTargets []string
	hosts                        []*host
}

// fleetSlots limits the number of fleets that run concurrently, to leave most of
// the machine to other processes.
var fleetSlots = make(chan struct{}, 6)

func newFleet(t testing.TB, logArgs ...string) *fleet {
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &fleet{t: t}
	f.logURL = "http://" + f.startStandin("log", logArgs...)
	f.hostsURL = "http://" + f.startStandin("hosts", "-lag", "0")
	return f
}

func (f *fleet) startStandin(kind string, args ...string) string {
	_, addresses := startListening(f.t, "standin", 1, acceptsConnections, func(a []string) []string {
		return append([]string{kind, "-listen", a[0]}, args...)
	})
	return addresses[0]
}

func (f *fleet) addTargets(count int) {
	for range count {
		f.lookupTargets = append(f.lookupTargets, f.startStandin("target", "-latency", "2ms"))
		f.noticeTargets = append(f.noticeTargets, f.startStandin("target", "-latency", "2ms"))
	}
}

// addHost starts a host and registers it in the host list. The given flags
// override the defaults.
func (f *fleet) addHost(id, zone string, flags ...string) *host {
	f.t.Helper()
	p, addresses := startListening(f.t, "sapphirehaven", 3, healthy, func(a []string) []string {
		return append([]string{"-host-id", id, "-region", "r", "-zone", zone, "-caller-listen", a[0], "-admin-listen", a[1], "-peer-listen", a[2],
			"-log-url", f.logURL, "-hosts-url", f.hostsURL, "-admin-token", adminToken, "-address-max-age", "1s", "-drain-limit", "30s"}, flags...)
	})
	h := &host{process: p, id: id, caller: "http://" + addresses[0], admin: "http://" + addresses[1], peer: addresses[2]}
	f.t.Cleanup(func() {
		if f.t.Failed() {
			lines := strings.Split(strings.TrimSpace(h.out.String()), "\n")
			f.t.Logf("last lines of output of %s:\n%s", id, strings.Join(lines[max(0, len(lines)-25):], "\n"))
		}
	})
	f.hosts = append(f.hosts, h)
	f.registerHost(h, addresses[2])
	return h
}

// healthy reports whether a host serves its administration interface, which it
// does only after opening all its sockets.
func healthy(addresses []string) bool {
	res, err := httpClient.Get("http://" + addresses[1] + "/healthz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// registerHost adds a host to the host list with the given peer address.
func (f *fleet) registerHost(h *host, peer string) {
	f.t.Helper()
	put(f.t, f.hostsURL+"/v1/hosts/"+h.id, map[string]string{"peer_address": peer, "caller_address": strings.TrimPrefix(h.caller, "http://"),
		"admin_address": strings.TrimPrefix(h.admin, "http://"), "region": "r", "zone": "a", "state": "live"})
}

// newServingFleet starts hosts in two zones and applies a document.
func newServingFleet(t testing.TB, hosts int, logArgs ...string) *fleet {
	f := newFleet(t, logArgs...)
	f.addTargets(3)
	for i := range hosts {
		f.addHost(fmt.Sprintf("host-%d", i+1), string(rune('a'+i%2)))
	}
	f.mustApply(0, f.document("first"))
	f.waitMembers(f.hosts...)
	return f
}

// waitMembers waits until the hosts consider each other alive.
func (f *fleet) waitMembers(hosts ...*host) {
	f.t.Helper()
	waitFor(f.t, "all hosts consider each other alive", func() bool {
		for _, a := range hosts {
			for _, b := range hosts {
				if state := a.memberState(b.id); state != "alive" && state != "self" {
					return false
				}
			}
		}
		return true
	})
}

// document returns a document with the fleet's targets. The name distinguishes
// it from other documents.
func (f *fleet) document(name string) string {
	return newDocument(name, f.lookupTargets, f.noticeTargets)
}

func newDocument(name string, lookupTargets, noticeTargets []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "format: 1\nname: %s\nregions: [{name: r, zones: [a, b]}]\nservices:\n", name)
	service := func(name, classes string, targets []string) {
		fmt.Fprintf(&b, "  - name: %s\n    health: {probe_path: /healthz, probe_interval: 1s, load_path: /load, shed_statuses: [503]}\n    limits: {queue_length: 64}\n    retry: {budget: 0.2, max_attempts: 3}\n    classes: [%s]\n    targets:\n", name, classes)
		for i, address := range targets {
			fmt.Fprintf(&b, "      - {name: %s-%d, address: %q, zone: %c, slots: 6}\n", name, i+1, address, 'a'+i%2)
		}
	}
	service("index", "{name: lookup, idempotent: true, deadline: 5s, attempt_timeout: 2s}", lookupTargets)
	service("press", "{name: notice, idempotent: false, deadline: 5s, not_run_statuses: [503]}", noticeTargets)
	b.WriteString("routes:\n  - {name: lookups, path_prefix: /errata, methods: [GET], service: index, class: lookup}\n" +
		"  - {name: notices, path_prefix: /notices, methods: [POST], service: press, class: notice}\n")
	return b.String()
}

// runCtl runs sapphirectl and returns its exit code and standard output.
func runCtl(t testing.TB, stdin string, args ...string) (int, string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, "sapphirectl"), args...)
	cmd.Stdin = strings.NewReader(stdin)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, os.Stderr
	if err := cmd.Run(); cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.String()
}

// apply proposes a document through a host with sapphirectl.
func (h *host) apply(t testing.TB, base uint64, doc string) (adminapi.ProposalResult, int) {
	t.Helper()
	code, out := runCtl(t, doc, "document", "apply", "-output", "json", "-admin", h.admin, "-token", adminToken, "-base", fmt.Sprint(base), "-")
	var result adminapi.ProposalResult
	if err := json.Unmarshal([]byte(out), &result); err != nil {
		t.Errorf("apply: exit code %d: %v: %q", code, err, out)
	}
	return result, code
}

// mustApply applies a document and waits until it is in force on all hosts.
func (f *fleet) mustApply(base uint64, doc string) {
	f.t.Helper()
	result, code := f.hosts[0].apply(f.t, base, doc)
	if code != 0 || result.Revision != base+1 {
		f.t.Fatalf("apply: exit code %d, %+v", code, result)
	}
	f.waitRevision(base+1, f.hosts...)
}

// waitRevision waits until a revision is in force on the hosts. It requires that
// their document hashes are equal and returns the hash.
func (f *fleet) waitRevision(revision uint64, hosts ...*host) string {
	f.t.Helper()
	hash := ""
	for _, h := range hosts {
		var s adminapi.Status
		waitFor(f.t, fmt.Sprintf("revision %d on %s", revision, h.id), func() bool {
			s = h.status()
			return s.Revision >= revision
		})
		if s.Revision != revision || (hash != "" && s.Hash != hash) {
			f.t.Fatalf("%s has revision %d with hash %s, want %d with %s", h.id, s.Revision, s.Hash, revision, hash)
		}
		hash = s.Hash
	}
	return hash
}

func (h *host) status() (s adminapi.Status) {
	_ = get(h.admin+adminapi.PathStatus, &s)
	return s
}

// memberState returns the state of another host as seen by h.
func (h *host) memberState(id string) string {
	var members []adminapi.Member
	_ = get(h.admin+adminapi.PathMembers, &members)
	for _, m := range members {
		if m.Host == id {
			return m.State
		}
	}
	return ""
}

// countEvents counts the events of a kind that have the field; an empty field
// matches all.
func (h *host) countEvents(kind, field string) (count int) {
	var events []adminapi.Event
	_ = get(h.admin+adminapi.PathTimeline, &events)
	for _, e := range events {
		if e.Kind == kind && (field == "" || strings.Contains(strings.Join(e.Fields, " ")+" ", field+" ")) {
			count++
		}
	}
	return count
}

func get(url string, out any) error {
	res, err := httpClient.Get(url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(out)
}

func put(t testing.TB, url string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	res, err := httpClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("PUT %s: status %d", url, res.StatusCode)
	}
}

func decode(t testing.TB, res *http.Response, out any) {
	t.Helper()
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
}
