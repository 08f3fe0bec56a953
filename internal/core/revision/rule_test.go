package revision_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
)

// table runs the commands of a rule table against one log and one state.
type table struct {
	t     *testing.T
	log   testLog
	state *revision.State
	bases []document.SectionSet
	saved map[string]revision.Snapshot
}

// TestRule guards against a change of the rule by which every host decides.
func TestRule(t *testing.T) {
	datadriven.Walk(t, "testdata/rule", func(t *testing.T, path string) {
		tab := &table{t: t, state: revision.New(logcodec.Decode), bases: []document.SectionSet{{}}, saved: map[string]revision.Snapshot{}}
		datadriven.RunTest(t, path, tab.command)
	})
}

func (tab *table) command(t *testing.T, d *datadriven.TestData) string {
	tab.t = t
	switch d.Cmd {
	case "propose":
		return tab.append(must(logcodec.Encode(tab.proposal(d))))
	case "withdraw":
		return tab.append(must(logcodec.Encode(revision.Withdrawal{ID: text(t, d, "id"), Base: number(t, d, "base")})))
	case "chunks":
		return tab.chunks(d)
	case "save":
		tab.saved[text(t, d, "as")] = tab.state.Snapshot()
		return ""
	case "checkpoint":
		return tab.append(must(logcodec.Encode(revision.Checkpoint{Host: "h1", Snapshot: tab.saved[text(t, d, "of")]})))
	case "adopt":
		return tab.adopt(d)
	case "bootstrap":
		return tab.bootstrap(d)
	case "raw":
		return tab.append(raw(t, d))
	case "lose":
		tab.log.add(nil)
		return ""
	case "result":
		res, ok := tab.state.Result(text(t, d, "id"))
		return fmt.Sprintf("known=%t %s\n", ok, describe(&res))
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func text(t *testing.T, d *datadriven.TestData, key string) (s string) {
	d.MaybeScanArgs(t, key, &s)
	return s
}

func number(t *testing.T, d *datadriven.TestData, key string) (n uint64) {
	d.MaybeScanArgs(t, key, &n)
	return n
}

// proposal builds the proposal of a command; fault makes it wrong in one way.
func (tab *table) proposal(d *datadriven.TestData) revision.Proposal {
	base := number(tab.t, d, "base")
	from := tab.bases[min(int(base), len(tab.bases)-1)]
	id := text(tab.t, d, "id")
	p := proposal(id, base, from, withRoute(from, "r-"+id, "/"+id))
	switch text(tab.t, d, "fault") {
	case "hash":
		p.ContentHash[0]++
	case "class":
		p.Delta.Changed = []document.Section{{Key: "route/x", Data: []byte(`{"Name":"x","PathPrefix":"/x","Service":"errata-index","Class":"c"}`)}}
		p.ContentHash = must(document.Apply(from, p.Delta)).Hash()
	case "field":
		p.Delta.Changed = []document.Section{{Key: "route/x", Data: []byte(`{"Name":"x","Weight":1}`)}}
	case "format":
		p.Delta.Changed = []document.Section{{Key: document.HeaderKey, Data: []byte(`{"Format":2,"Motto":"x"}`)}}
	}
	return p
}

func raw(t *testing.T, d *datadriven.TestData) []byte {
	good := must(logcodec.Encode(revision.Withdrawal{ID: "w"}))
	switch text(t, d, "kind") {
	case "version":
		good[4] = 2
	case "encoding":
		good[5] = 7
	case "damaged":
		good[len(good)-1]++
	case "foreign":
		return []byte("not ours")
	}
	return good
}

// chunks appends parts of two large proposals, such as a0 b0 a1.
func (tab *table) chunks(d *datadriven.TestData) string {
	base := len(tab.bases) - 1
	sets := map[byte][][]byte{}
	for _, name := range []string{"a", "b"} {
		id := text(tab.t, d, name)
		p := proposal(id, uint64(base), tab.bases[base], withRoute(tab.bases[base], "r-"+id, largePath+id+largePath))
		sets[name[0]] = must(logcodec.Records("set-"+id, p))
	}
	var out strings.Builder
	for _, part := range strings.Fields(d.Input) {
		data := sets[part[0]][part[1]-'0']
		if strings.HasSuffix(part, "!") {
			c := must(logcodec.Decode(data)).(revision.Chunk)
			c.Data[0]++
			data = must(logcodec.Encode(c))
		}
		out.WriteString(tab.append(data))
	}
	return out.String()
}

func (tab *table) append(data []byte) string {
	out := tab.state.Apply(tab.log.add(data))
	if out.Activated {
		tab.bases = append(tab.bases, tab.state.Sections())
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: as_of=%d revision=%d", out.Status, tab.state.AsOf(), tab.state.Revision())
	if out.Result != nil {
		fmt.Fprintf(&b, " %s", describe(out.Result))
	}
	if out.Checkpoint {
		fmt.Fprintf(&b, " checkpoint as_of=%d since=%s", tab.state.Checkpoint().AsOf, tab.state.Checkpoint().Since.Sub(epoch))
	}
	for _, err := range []error{out.Ignored, out.Err} {
		if err != nil {
			fmt.Fprintf(&b, " (%s)", err)
		}
	}
	return b.String() + "\n"
}

func describe(r *revision.Result) string {
	s := fmt.Sprintf("%s accepted=%t reason=%q offset=%d", r.ID, r.Accepted, r.Reason, r.Offset)
	if r.Winner != "" {
		s += fmt.Sprintf(" winner=%s at %d", r.Winner, r.WinnerRevision)
	}
	if r.Detail != "" {
		s += " detail=" + r.Detail
	}
	return s
}

func (tab *table) adopt(d *datadriven.TestData) string {
	snap := tab.saved[text(tab.t, d, "of")]
	switch text(tab.t, d, "fault") {
	case "chain":
		snap.Chain[0]++
	case "content":
		snap.Revision, snap.AsOf = snap.Revision+1, snap.AsOf+1
	}
	adopted, err := tab.state.Adopt(snap)
	cause := "none"
	if err != nil {
		cause, _, _ = strings.Cut(err.Error(), ": own chain")
	}
	return fmt.Sprintf("adopted=%t as_of=%d revision=%d error=%s\n", adopted, tab.state.AsOf(), tab.state.Revision(), cause)
}

func (tab *table) bootstrap(d *datadriven.TestData) string {
	b := revision.NewBootstrap(logcodec.Decode)
	first := int64(number(tab.t, d, "first"))
	b.SetFirstRetained(first)
	for _, r := range tab.log.records[first:] {
		b.Observe(r)
	}
	s, err := b.InitialState()
	if err != nil {
		return err.Error() + "\n"
	}
	tab.state = s
	return fmt.Sprintf("as_of=%d revision=%d\n", s.AsOf(), s.Revision())
}
