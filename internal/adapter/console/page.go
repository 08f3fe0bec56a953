package console

import (
	"bytes"
	"fmt"
	"html/template"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// session is the data that all pages of a draft share.
type session struct {
	State string
	Base  uint64
	// View is the current view of the draft, to which "Back to the draft"
	// returns.
	View string
	// Checked makes form pages show validation errors. It is set once the
	// operator has reviewed the draft.
	Checked      bool
	Author, Note string
}

// page is the data passed to a template.
type page struct {
	Title    string
	Writable bool
	Session  *session
	Notice   string
	Problem  string
	// Content is the data specific to the template.
	Content any
}

var templates = parseTemplates("start", "edit", "review", "result", "error")

func parseTemplates(names ...string) map[string]*template.Template {
	set := map[string]*template.Template{}
	functions := template.FuncMap{"fieldPrefix": func() string { return fieldPrefix }}
	for _, name := range names {
		set[name] = template.Must(template.New(name).Funcs(functions).ParseFS(templateFiles, "templates/layout.html", "templates/parts.html", "templates/"+name+".html"))
	}
	return set
}

// renderPage renders a template and writes the response.
func (s *Server) renderPage(w http.ResponseWriter, status int, name string, p page) error {
	p.Writable = s.auth.Enabled()
	var out bytes.Buffer
	if err := templates[name].ExecuteTemplate(&out, "layout", p); err != nil {
		return errors.Wrap(err, "console")
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_, _ = out.WriteTo(w)
	return nil
}

// renderError writes an error page, with a status that depends on the error.
func (s *Server) renderError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var stateSize tooLargeError
	var bodySize *http.MaxBytesError
	switch {
	case errors.As(err, &stateSize):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &bodySize):
		status = http.StatusRequestEntityTooLarge
		err = tooLargeError{"the request", bodySize.Limit}
	}
	if err := s.renderPage(w, status, "error", page{Title: "Error", Problem: err.Error()}); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// draftRequest is the draft and session of one request.
type draftRequest struct {
	state   state
	draft   *draft
	session session
	// notice is shown at the top of the next page, and foundPath is the path of
	// the entry that the page highlights.
	notice, foundPath string
}

// parseDraftRequest reads the session of a submitted form and applies the form's
// fields to the draft.
func parseDraftRequest(form url.Values) (*draftRequest, error) {
	st, err := decodeState(form.Get("state"))
	if err != nil {
		return nil, err
	}
	d, err := parseDraft(st.draft)
	if err != nil {
		return nil, err
	}
	if err := d.applyForm(form); err != nil {
		return nil, err
	}
	return &draftRequest{state: st, draft: d, session: session{
		View:    form.Get("view"),
		Checked: form.Get("checked") != "",
		Author:  form.Get("author"),
		Note:    form.Get("note"),
	}}, nil
}

// updateState encodes the draft into the session's state.
func (req *draftRequest) updateState() error {
	text, err := req.draft.text()
	if err != nil {
		return err
	}
	req.state.draft = text
	req.session.Base = req.state.baseRevision
	req.session.State, err = req.state.encode()
	return err
}

// maxDifferenceBytes limits the size of a difference on a page.
const maxDifferenceBytes = 256 << 10

func truncateDifference(text string) string {
	if len(text) <= maxDifferenceBytes {
		return text
	}
	return fmt.Sprintf("%s\n(%s more; compare with sapphirectl document validate)", text[:maxDifferenceBytes], document.Size(len(text)-maxDifferenceBytes))
}

// active returns the active document.
func (s *Server) active() (adminapi.Document, error) {
	doc, err := s.documents.Active()
	return doc, errors.Wrap(err, "the active document cannot be read")
}
