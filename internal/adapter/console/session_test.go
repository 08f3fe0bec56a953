package console

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// TestSessionAcrossHosts guards against session state kept on one host: a second
// host continues the draft and proposes it with all changes.
func TestSessionAcrossHosts(t *testing.T) {
	first, second := newFakeDocuments(t), newFakeDocuments(t)
	second.result = adminapi.ProposalResult{ID: "id-1", Result: adminapi.ResultAccepted, Revision: 8, Hash: "cafe", Offset: 99}
	b := newBrowser(t, first)
	b.post(pathStart, "source", "active")
	b.want(200, "draft against revision 7")
	b.post(pathEdit, "f:services[0].targets[0].slots", "12", "do", "add:routes")
	b.want(200, `id="routes[5]"`)

	b.server = New(second, fakeAuth(testToken))
	b.post(pathEdit, "f:routes[5].name", "new", "f:routes[5].path_prefix", "/new", "f:routes[5].methods", "GET, HEAD",
		"f:routes[5].service", "errata-index", "f:routes[5].class", "lookup", "do", "remove:routes[0]")
	b.post(pathReview)
	b.want(200, "added route/new", "target.slots: 6 -&gt; 12", "removed route/lookups")
	b.post(pathPropose, "author", "amal", "note", "more slots", "token", testToken)
	b.want(200, "accepted as revision 8", "cafe", "99")

	want := strings.Replace(exampleDocument(t), "zone: cairo-maadi, slots: 6", "zone: cairo-maadi, slots: 12", 1)
	want = strings.Replace(want, "- {name: lookups, path_prefix: /errata, methods: [GET, HEAD], service: errata-index, class: lookup}",
		"- {name: new, path_prefix: /new, methods: [GET, HEAD], service: errata-index, class: lookup}", 1)
	p := second.proposed[0]
	if p.Base != 7 || p.Author != "amal" || p.Note != "more slots" || len(first.proposed) != 0 {
		t.Fatalf("proposed %+v", p)
	}
	got, err := sectionsOf(p.YAML)
	if err != nil {
		t.Fatal(err)
	}
	expected, _ := sectionsOf([]byte(want))
	if diff := document.DiffText(expected, got); diff != "" {
		t.Fatalf("proposed document differs: %s", diff)
	}
}

// TestBuildFromEmpty guards against parts of a document that cannot be created
// with forms.
func TestBuildFromEmpty(t *testing.T) {
	documents := &fakeDocuments{result: adminapi.ProposalResult{Result: adminapi.ResultAccepted, Revision: 1}}
	b := newBrowser(t, documents)
	b.post(pathStart, "source", "empty")
	for _, list := range []string{"regions", "services", "services[0].classes", "services[0].targets", "services[0].classes[0].upload", "routes"} {
		b.post(pathEdit, "do", "add:"+list)
		b.want(200)
	}
	b.post(pathEdit, "do", "go:services[0]@0")
	b.want(200, `name="f:services[0].retry.budget" value="" placeholder="0.1"`, `value="500, 502, 504"`)
	b.post(pathReview)
	b.want(200, "services[0].targets[0].address", "routes[0].path_prefix")
	b.post(pathEdit, "f:name", "null", "f:regions[0].name", "r", "f:regions[0].zones", "z1 z2", "f:services[0].name", "s",
		"f:services[0].classes[0].name", "c", "f:services[0].health.failure_statuses", "",
		"f:services[0].targets[0].name", "1", "f:services[0].targets[0].address", "10.0.0.1:80", "f:services[0].targets[0].zone", "z2",
		"f:routes[0].name", "r", "f:routes[0].path_prefix", "/", "f:routes[0].service", "s", "f:routes[0].class", "c")
	b.post(pathPropose, "author", "a", "token", testToken)
	b.want(200, "<th>Log offset</th><td>0</td>")
	doc, err := document.Parse(documents.proposed[0].YAML)
	if err != nil {
		t.Fatal(err)
	}
	s := doc.Services[0]
	if doc.Name != "null" || s.Targets[0].Name != "1" || s.Classes[0].Upload == nil || len(s.Health.FailureStatuses) != 0 || s.Targets[0].Connections != 330 {
		t.Fatalf("document %+v\n%s", doc, documents.proposed[0].YAML)
	}
}

// TestInvalidValues guards against losing or accepting invalid input, and against
// errors that are not shown with their field.
func TestInvalidValues(t *testing.T) {
	b := newBrowser(t, newFakeDocuments(t))
	b.post(pathStart, "source", "active")
	b.post(pathEdit, "f:services[1].targets[2].slots", "5x", "f:services[0].health.shed_statuses", "429, 999")
	b.post(pathReview)
	b.want(200, "services[1].targets[2].slots", "&#34;5x&#34; is not a whole number", `value="go:services[1].targets@0"`, "services[0].health.shed_statuses[1]")
	b.post(pathEdit, "do", "go:services[1].targets@0")
	b.want(200, `value="5x"`, "is not a whole number")
	b.post(pathEdit, "do", "go:services[0]@0")
	b.want(200, `value="429, 999"`, "is 999, want 400 to 599")
}

// TestStaleBase guards against a proposal that reverts changes made by others
// since its base revision.
func TestStaleBase(t *testing.T) {
	documents := newFakeDocuments(t)
	documents.result = adminapi.ProposalResult{Result: adminapi.ResultRefused, Reason: "written against revision 7", Difference: "changed x"}
	b := newBrowser(t, documents)
	b.post(pathStart, "source", "active")
	b.post(pathEdit, "f:services[0].targets[0].slots", "12", "f:services[0].serving_hosts", "5")
	documents.active.Revision = 8
	documents.active.YAML = strings.Replace(documents.active.YAML, "queue_length: 64", "queue_length: 65", 2)
	b.post(pathReview)
	b.want(200, "Move the draft to revision 8", "limits.queue_length: 65 -&gt; 64")
	b.post(pathPropose, "author", "a", "token", testToken)
	b.want(409, "written against revision 7", "changed x", "Move the draft to revision 8")
	b.post(pathRebase)
	b.want(200, "draft against revision 8", "<li>service/errata-index</li>", "target.slots: 6 -&gt; 12")
	if strings.Contains(b.body, "service/notice-press") {
		t.Fatalf("the draft reverts another service: %s", b.body)
	}
	b.post(pathPropose, "author", "a", "token", testToken)
	if p := documents.proposed[1]; p.Base != 8 || !strings.Contains(string(p.YAML), "queue_length: 65") {
		t.Fatalf("proposed %+v", p)
	}
}

// TestUnknownResult guards against an unknown result that cannot be queried again
// on another host.
func TestUnknownResult(t *testing.T) {
	documents := newFakeDocuments(t)
	documents.result = adminapi.ProposalResult{ID: "id-7", Result: adminapi.ResultUnknown, Reason: "timeout"}
	b := newBrowser(t, documents)
	b.post(pathStart, "source", "active")
	b.post(pathPropose, "author", "a", "token", testToken)
	b.want(202, "id-7", "timeout", "Ask again")
	other := newFakeDocuments(t)
	other.statusResult = adminapi.ProposalResult{Result: adminapi.ResultAccepted, Revision: 8}
	b.server = New(other, fakeAuth(""))
	b.post(pathResult)
	b.want(200, "accepted as revision 8", "id-7")
}

// TestToken guards against accepting a proposal without a valid token, and
// against a page that contains the token.
func TestToken(t *testing.T) {
	documents := newFakeDocuments(t)
	b := newBrowser(t, documents)
	b.post(pathStart, "source", "active")
	b.post(pathPropose, "author", "a", "token", "wrong-token")
	b.want(401, "The token is not valid", `type="password"`)
	if strings.Contains(b.body, "wrong-token") {
		t.Error("the page contains the token")
	}
	b.post(pathPropose+"?token="+testToken, "author", "a")
	b.want(401)
	b.post(pathPropose, "token", testToken, "author", "")
	b.want(422, "author is missing")
	b.server = New(documents, fakeAuth(""))
	b.post(pathReview)
	b.want(200, "Writing is off")
	b.post(pathPropose, "author", "a", "token", "")
	b.want(403, "Writing is off")
	if len(documents.proposed) != 0 {
		t.Errorf("proposed %d documents", len(documents.proposed))
	}
}

// TestMarkupIsEscaped guards against HTML injection through document fields,
// results and errors.
func TestMarkupIsEscaped(t *testing.T) {
	documents := newFakeDocuments(t)
	b := newBrowser(t, documents)
	const markup = `"><script>alert(1)</script>`
	documents.result = adminapi.ProposalResult{ID: markup, Result: adminapi.ResultUnknown, Reason: markup, Difference: markup, Errors: []string{markup}}
	b.post(pathStart, "source", "active")
	check := func() {
		t.Helper()
		if strings.Contains(b.body, "<script") || !strings.Contains(b.body, "&lt;script&gt;") {
			t.Errorf("not escaped: %s", b.body)
		}
	}
	for _, step := range []string{"go:@0", "go:services@0", "go:services[0]@0", "go:services[0].targets@0", "go:routes@0", "go:text@0", "go:review"} {
		b.post(pathEdit, "do", step, "f:name", markup, "f:regions[0].zones", markup, "f:services[0].name", markup, "f:services[0].targets[0].name", markup, "f:routes[0].class", markup)
		check()
	}
	b.post(pathPropose, "author", markup, "token", testToken)
	check()
	b.post(pathStart, "source", "yaml", "yaml", markup)
	check()
}

// TestSecurityHeaders guards against pages that can be framed or cached, or can
// run scripts.
func TestSecurityHeaders(t *testing.T) {
	w := httptest.NewRecorder()
	New(newFakeDocuments(t), fakeAuth("")).ServeHTTP(w, httptest.NewRequest(http.MethodGet, Prefix, nil))
	for name, want := range map[string]string{"Content-Security-Policy": "default-src 'none'", "X-Frame-Options": "DENY", "Cache-Control": "no-store"} {
		if got := w.Header().Get(name); w.Code != 200 || !strings.Contains(got, want) {
			t.Errorf("%d %s: %q", w.Code, name, got)
		}
	}
}

// TestPagination guards against pages that show more than pageSize entries, and
// against entries that no page shows.
func TestPagination(t *testing.T) {
	documents := newFakeDocuments(t)
	documents.active.YAML += strings.Repeat("  - {name: filler, path_prefix: /filler}\n", 2000) + "  - {name: last, path_prefix: /last}\n"
	b := newBrowser(t, documents)
	b.post(pathStart, "source", "active")
	b.post(pathEdit, "do", "go:routes@1")
	b.want(200, "page 2 of 41, 2006 entries", `id="routes[99]"`)
	if n := strings.Count(b.body, "<tr id="); n != pageSize {
		t.Errorf("%d rows", n)
	}
	b.post(pathEdit, "find", "LAST")
	b.want(200, "page 41 of 41", `<tr id="routes[2005]" class="found">`, `name="f:routes[2005].name" value="last"`, " autofocus")
	b.post(pathEdit, "find", "nowhere")
	b.want(200, "page 41 of 41", "No entry contains")
	b.post(pathEdit, "jump", "3")
	b.want(200, "page 3 of 41")
	b.post(pathEdit, "do", "go:routes@9999")
	b.want(200, "page 41 of 41")
}

// blockingDocuments blocks Propose until release is closed.
type blockingDocuments struct {
	*fakeDocuments
	entered, release chan struct{}
}

func (f *blockingDocuments) Propose(ctx context.Context, p adminapi.Proposal) adminapi.ProposalResult {
	close(f.entered)
	<-f.release
	return f.fakeDocuments.Propose(ctx, p)
}

// TestPendingProposalDoesNotBlock guards against a slow log that blocks other
// requests to the console while a proposal is pending.
func TestPendingProposalDoesNotBlock(t *testing.T) {
	documents := &blockingDocuments{newFakeDocuments(t), make(chan struct{}), make(chan struct{})}
	documents.result = adminapi.ProposalResult{Result: adminapi.ResultAccepted, Revision: 8}
	b := newBrowser(t, documents)
	b.post(pathStart, "source", "active")
	other := &browser{t: t, server: b.server}
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.post(pathPropose, "author", "a", "token", testToken)
	}()
	<-documents.entered
	other.post(pathStart, "source", "empty")
	other.want(200, "draft against revision 7")
	close(documents.release)
	<-done
	b.want(200, "accepted as revision 8")
}
