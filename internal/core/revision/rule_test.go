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

// ruleTest runs the commands of a test file against one log and one state.
type ruleTest struct {
	t                  *testing.T
	log                testLog
	state              *revision.State
	sectionsByRevision []document.SectionSet
	saved              map[string]revision.Snapshot
}

// TestRule guards against changes to the decision rules that all hosts share.
func TestRule(t *testing.T) {
	datadriven.Walk(t, "testdata/rule", func(t *testing.T, path string) {
		rt := &ruleTest{t: t, state: revision.New(logcodec.Decode), sectionsByRevision: []document.SectionSet{{}}, saved: map[string]revision.Snapshot{}}
		datadriven.RunTest(t, path, rt.command)
	})
}

func (rt *ruleTest) command(t *testing.T, d *datadriven.TestData) string {
	rt.t = t
	switch d.Cmd {
	case "propose":
		return rt.append(must(logcodec.Encode(rt.proposal(d))))
	case "withdraw":
		return rt.append(must(logcodec.Encode(revision.Withdrawal{ID: text(t, d, "id"), Base: number(t, d, "base")})))
	case "chunks":
		return rt.chunks(d)
	case "save":
		rt.saved[text(t, d, "as")] = rt.state.Snapshot()
		return ""
	case "checkpoint":
		return rt.append(must(logcodec.Encode(revision.Checkpoint{Host: "h1", Snapshot: rt.saved[text(t, d, "of")]})))
	case "adopt":
		return rt.adopt(d)
	case "bootstrap":
		return rt.bootstrap(d)
	case "raw":
		return rt.append(rawRecord(t, d))
	case "lose":
		rt.log.add(nil)
		return ""
	case "result":
		res, ok := rt.state.Result(text(t, d, "id"))
		return fmt.Sprintf("known=%t %s\n", ok, formatResult(&res))
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

// proposal builds the proposal of a command; the fault argument selects a defect.
func (rt *ruleTest) proposal(d *datadriven.TestData) revision.Proposal {
	base := number(rt.t, d, "base")
	from := rt.sectionsByRevision[min(int(base), len(rt.sectionsByRevision)-1)]
	id := text(rt.t, d, "id")
	p := proposal(id, base, from, withRoute(from, "r-"+id, "/"+id))
	switch text(rt.t, d, "fault") {
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

func rawRecord(t *testing.T, d *datadriven.TestData) []byte {
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

// chunks appends chunks of two large proposals in the listed order, such as
// a0 b0 a1. A chunk with a "!" suffix has damaged data.
func (rt *ruleTest) chunks(d *datadriven.TestData) string {
	base := len(rt.sectionsByRevision) - 1
	sets := map[byte][][]byte{}
	for _, name := range []string{"a", "b"} {
		id := text(rt.t, d, name)
		p := proposal(id, uint64(base), rt.sectionsByRevision[base], withRoute(rt.sectionsByRevision[base], "r-"+id, largePath+id+largePath))
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
		out.WriteString(rt.append(data))
	}
	return out.String()
}

func (rt *ruleTest) append(data []byte) string {
	out := rt.state.Apply(rt.log.add(data))
	if out.Activated {
		rt.sectionsByRevision = append(rt.sectionsByRevision, rt.state.Sections())
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: as_of=%d revision=%d", out.Status, rt.state.AsOf(), rt.state.Revision())
	if out.Result != nil {
		fmt.Fprintf(&b, " %s", formatResult(out.Result))
	}
	if out.Checkpoint {
		fmt.Fprintf(&b, " checkpoint as_of=%d since=%s", rt.state.Checkpoint().AsOf, rt.state.Checkpoint().Since.Sub(epoch))
	}
	for _, err := range []error{out.Ignored, out.Err} {
		if err != nil {
			fmt.Fprintf(&b, " (%s)", err)
		}
	}
	return b.String() + "\n"
}

func formatResult(r *revision.Result) string {
	s := fmt.Sprintf("%s accepted=%t reason=%q offset=%d", r.ID, r.Accepted, r.Reason, r.Offset)
	if r.Winner != "" {
		s += fmt.Sprintf(" winner=%s at %d", r.Winner, r.WinnerRevision)
	}
	if r.Detail != "" {
		s += " detail=" + r.Detail
	}
	return s
}

func (rt *ruleTest) adopt(d *datadriven.TestData) string {
	snap := rt.saved[text(rt.t, d, "of")]
	switch text(rt.t, d, "fault") {
	case "chain":
		snap.Chain[0]++
	case "content":
		snap.Revision, snap.AsOf = snap.Revision+1, snap.AsOf+1
	}
	adopted, err := rt.state.Adopt(snap)
	cause := "none"
	if err != nil {
		cause, _, _ = strings.Cut(err.Error(), ": own chain")
	}
	return fmt.Sprintf("adopted=%t as_of=%d revision=%d error=%s\n", adopted, rt.state.AsOf(), rt.state.Revision(), cause)
}

func (rt *ruleTest) bootstrap(d *datadriven.TestData) string {
	b := revision.NewBootstrap(logcodec.Decode)
	first := int64(number(rt.t, d, "first"))
	b.SetFirstRetained(first)
	for _, r := range rt.log.records[first:] {
		b.Observe(r)
	}
	s, err := b.InitialState()
	if err != nil {
		return err.Error() + "\n"
	}
	rt.state = s
	return fmt.Sprintf("as_of=%d revision=%d\n", s.AsOf(), s.Revision())
}
