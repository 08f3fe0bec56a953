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

// session is what the pages of a draft have in common.
type session struct {
	State string
	Base  uint64
	// View is where "back to the draft" leads.
	View string
	// Checked makes form pages show the errors of the draft. It is set once
	// the operator has reviewed the draft.
	Checked      bool
	Author, Note string
}

// page is the data of a template.
type page struct {
	Title    string
	Writable bool
	Session  *session
	Notice   string
	Problem  string
	// Content is the page's own data.
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

// show writes a page.
func (s *Server) show(w http.ResponseWriter, status int, name string, p page) error {
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

// showError writes the page of an error that ends a step.
func (s *Server) showError(w http.ResponseWriter, err error) {
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
	if err := s.show(w, status, "error", page{Title: "Error", Problem: err.Error()}); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// work is one step's draft with the session it belongs to.
type work struct {
	state   state
	draft   *draft
	session session
	// notice is shown above the next form page, and found is the path of the
	// entry that it highlights.
	notice, found string
}

// open reads the session of a submitted form and takes over its fields.
func open(form url.Values) (*work, error) {
	st, err := decodeState(form.Get("state"))
	if err != nil {
		return nil, err
	}
	d, err := parseDraft(st.draft)
	if err != nil {
		return nil, err
	}
	if err := d.apply(form); err != nil {
		return nil, err
	}
	return &work{state: st, draft: d, session: session{
		View:    form.Get("view"),
		Checked: form.Get("checked") != "",
		Author:  form.Get("author"),
		Note:    form.Get("note"),
	}}, nil
}

// save writes the draft to the session's state.
func (k *work) save() error {
	text, err := k.draft.text()
	if err != nil {
		return err
	}
	k.state.draft = text
	k.session.Base = k.state.base
	k.session.State, err = k.state.encode()
	return err
}

// maxShownBytes bounds a difference on a page.
const maxShownBytes = 256 << 10

func shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	return fmt.Sprintf("%s\n(%s more; compare with sapphirectl document validate)", text[:maxShownBytes], document.Size(len(text)-maxShownBytes))
}

// active returns the active document for a new session.
func (s *Server) active() (adminapi.Document, error) {
	doc, err := s.documents.Active()
	return doc, errors.Wrap(err, "the active document cannot be read")
}
