package console

import (
	"bytes"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// upload starts a draft from an uploaded file.
func (b *browser) upload(text string) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	_ = form.WriteField("source", "yaml")
	part, _ := form.CreateFormFile("file", "draft.yaml")
	_, _ = part.Write([]byte(text))
	_ = form.Close()
	r := httptest.NewRequest(http.MethodPost, pathStart, &body)
	r.Header.Set("Content-Type", form.FormDataContentType())
	b.do(r)
}

// TestYAMLRoundTrip guards against losing the content of an upload, and against
// accepting a structure that the forms cannot represent.
func TestYAMLRoundTrip(t *testing.T) {
	b := newBrowser(t, newFakeDocuments(t))
	b.upload("# comment\n" + exampleDocument(t))
	b.want(200, "draft against revision 7")
	page := b.body
	b.post(pathDownload)
	before, _ := sectionsOf([]byte(exampleDocument(t)))
	after, err := sectionsOf([]byte(b.body))
	if err != nil || before.Hash() != after.Hash() || strings.Contains(b.body, "comment") {
		t.Fatalf("%v: %s", err, b.body)
	}
	for text, want := range map[string]string{
		"format: 1\nspeed: 3":           "speed: unknown field",
		"name: a\nname: b":              "given twice",
		"routes: {a: b}":                "want a list",
		"regions: &r []\nroutes: *r":    "aliases are not supported",
		"a: [":                          "did not find expected node content",
		"":                              "the document is empty",
		strings.Repeat("a", 5<<20):      "larger than 4MiB",
		"routes:\n- {name: [1]}":        "want a single value",
		"format: 1\n---\nformat: 1\n":   "more than one document",
		"services: [{health: [1]}]\n":   "want a mapping of field names to values",
		"services: [{classes: null}]\n": "want a list",
	} {
		b.upload(text)
		if b.status < 400 || !strings.Contains(b.body, want) {
			t.Errorf("%.40q: status %d, page lacks %q", text, b.status, want)
		}
		b.body = page
		b.post(pathEdit, "do", "text:", "yaml", text)
		if b.status < 400 || !strings.Contains(b.body, want) {
			t.Errorf("%.40q on the text page: status %d, page lacks %q", text, b.status, want)
		}
	}
}

// TestInvalidEdit guards against form values and actions that modify anything
// other than a field of the document.
func TestInvalidEdit(t *testing.T) {
	b := newBrowser(t, newFakeDocuments(t))
	b.post(pathStart, "source", "active")
	page := b.body
	for _, pair := range [][2]string{
		{"f:services", "x"}, {"f:services[0]", "x"}, {"f:services[99].name", "x"}, {"f:services[-1].name", "x"},
		{"f:regions[0].zones[0]", "x"}, {"f:none", "x"}, {"f:", "x"}, {"f:name.x", "x"},
		{"do", "add:name"}, {"do", "add:none"}, {"do", "add:services[99].targets"}, {"do", "remove:services[99]"}, {"do", "format"},
	} {
		b.body = page
		b.post(pathEdit, pair[0], pair[1])
		if b.status != http.StatusBadRequest {
			t.Errorf("%v: status %d", pair, b.status)
		}
	}
	b.body = page
	for _, v := range []string{"services[99]@0", "name@0", "none@-3", "@x", "routes@-1"} {
		b.post(pathEdit, "do", "go:"+v)
		b.want(200)
	}
}

// FuzzField guards against a field text that changes, or makes the draft invalid,
// when the draft is encoded as YAML and parsed again.
func FuzzField(f *testing.F) {
	for _, text := range []string{"null", "1", "a: b", "- x", "!!int 3", "&a", "*a", "# c", "\"", "'", "{}", "[", "\u0085x", "a\x00b", "<<", "\ufeff"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := parseDraft([]byte(emptyDraft))
		if err != nil {
			t.Fatal(err)
		}
		for _, list := range []string{"services", "services[0].targets", "routes"} {
			if err := d.add(list); err != nil {
				t.Fatal(err)
			}
		}
		fields := []string{"name", "format", "services[0].targets[0].slots", "services[0].health.probe_interval", "services[0].health.shed_statuses", "routes[0].methods"}
		form := map[string][]string{}
		for _, path := range fields {
			form[fieldPrefix+path] = []string{text}
		}
		if err := d.applyForm(form); err != nil {
			t.Fatal(err)
		}
		out, err := d.text()
		if err != nil {
			t.Fatal(err)
		}
		again, err := parseDraft(out)
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		for _, path := range fields {
			if got, want := again.displayedText(path), d.displayedText(path); got != want {
				t.Errorf("%s: %q became %q: %s", path, want, got, out)
			}
		}
	})
}
