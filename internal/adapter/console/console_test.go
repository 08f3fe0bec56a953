package console

import (
	"context"
	"html"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

const testToken = "s3cret"

// fakeDocuments is a Documents that validates like the daemon and records
// proposals. Propose returns result; Proposal returns statusResult.
type fakeDocuments struct {
	active       adminapi.Document
	proposed     []adminapi.Proposal
	result       adminapi.ProposalResult
	statusResult adminapi.ProposalResult
}

func (f *fakeDocuments) Active() (adminapi.Document, error) { return f.active, nil }

func (f *fakeDocuments) Validate(text []byte) adminapi.ProposalResult {
	set, err := sectionsOf(text)
	if err != nil {
		return adminapi.ProposalResult{Result: adminapi.ResultInvalid, Errors: []string{err.Error()}}
	}
	active, _ := sectionsOf([]byte(f.active.YAML))
	return adminapi.ProposalResult{Result: adminapi.ResultValid, Difference: document.DiffText(active, set)}
}

func (f *fakeDocuments) Propose(_ context.Context, p adminapi.Proposal) adminapi.ProposalResult {
	f.proposed = append(f.proposed, p)
	return f.result
}

func (f *fakeDocuments) Proposal(id string) adminapi.ProposalResult {
	f.statusResult.ID = id
	return f.statusResult
}

func (f *fakeDocuments) History() []adminapi.HistoryEntry { return nil }

type fakeAuth string

func (a fakeAuth) Enabled() bool          { return a != "" }
func (a fakeAuth) Valid(t string) bool    { return a.Enabled() && string(a) == t }
func exampleDocument(t testing.TB) string { return readFile(t, "../../../examples/nilebridge.yaml") }
func newFakeDocuments(t testing.TB) *fakeDocuments {
	return &fakeDocuments{active: adminapi.Document{Revision: 7, YAML: exampleDocument(t)}}
}

func readFile(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// browser submits forms with the hidden fields of the last page, as a browser
// does.
type browser struct {
	t      *testing.T
	server http.Handler
	status int
	body   string
}

func newBrowser(t *testing.T, documents Documents) *browser {
	return &browser{t: t, server: New(documents, fakeAuth(testToken))}
}

func (b *browser) do(r *http.Request) {
	w := httptest.NewRecorder()
	b.server.ServeHTTP(w, r)
	b.status, b.body = w.Code, w.Body.String()
}

var hiddenInput = regexp.MustCompile(`<input type="hidden" name="([a-z]+)" value="([^"]*)">`)

// post submits the last page's hidden fields and the given name-value pairs.
func (b *browser) post(path string, pairs ...string) {
	form := url.Values{}
	for _, m := range hiddenInput.FindAllStringSubmatch(b.body, -1) {
		form.Set(m[1], html.UnescapeString(m[2]))
	}
	for i := 0; i < len(pairs); i += 2 {
		form.Set(pairs[i], pairs[i+1])
	}
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(form.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	b.do(r)
}

func (b *browser) want(status int, texts ...string) {
	b.t.Helper()
	if b.status != status {
		b.t.Fatalf("status %d, want %d: %s", b.status, status, b.body)
	}
	for _, text := range texts {
		if !strings.Contains(b.body, text) {
			b.t.Fatalf("page lacks %q: %s", text, b.body)
		}
	}
}
