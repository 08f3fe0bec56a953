package console

import (
	"fmt"
	"net/http"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// maxEditableBytes limits the text shown in a text area. Browsers become slow
// with larger texts.
const maxEditableBytes = 1 << 20

// editContent is the content of an edit page: a group, a table or the YAML text.
type editContent struct {
	Crumbs      []link
	Group       *group
	Table       *table
	Suggestions []suggestionList
	// Text is the draft as YAML, in the text view.
	Text     *string
	TooLarge bool
	Errors   []string
}

// postEdit applies a form's fields to the draft, performs the requested action
// and renders the next page.
func (s *Server) postEdit(w http.ResponseWriter, r *http.Request) error {
	req, err := parseDraftRequest(r.PostForm)
	if err != nil {
		return err
	}
	action, argument, _ := strings.Cut(r.PostForm.Get("do"), ":")
	switch action {
	case "go":
		req.session.View = argument
	case "add":
		err = req.add(argument)
	case "remove":
		err = req.draft.remove(argument)
	case "text":
		return s.replaceText(w, req, pastedText(r))
	case "save", "":
		req.navigate(r.PostForm)
	default:
		err = errors.Errorf("unknown action %q", action)
	}
	if err != nil {
		return err
	}
	if req.session.View == viewReview {
		return s.renderReview(w, http.StatusOK, req, reviewContent{}, "")
	}
	return s.renderView(w, http.StatusOK, req, editContent{})
}

// add adds an entry and selects the view that shows it.
func (req *draftRequest) add(path string) error {
	if err := req.draft.add(path); err != nil {
		return err
	}
	if t, _ := typeAt(path); t != nil && t.Kind() == reflect.Slice {
		path = itemPath(path, req.draft.count(path)-1)
	}
	req.session.View = viewForField(path).String()
	return nil
}

// navigate selects another page of a list, by search text or page number.
func (req *draftRequest) navigate(form url.Values) {
	v := parseView(req.session.View)
	if text := strings.TrimSpace(form.Get("find")); text != "" {
		i := req.draft.findEntry(v.path, text, (v.page+1)*pageSize)
		if i < 0 {
			req.notice = fmt.Sprintf("No entry contains %q.", text)
			return
		}
		v.page = i / pageSize
		req.foundPath = itemPath(v.path, i)
	} else if number, err := strconv.Atoi(strings.TrimSpace(form.Get("jump"))); err == nil {
		v.page = max(0, number-1)
	}
	req.session.View = v.String()
}

// findEntry returns the index of the next list entry that contains a text, or -1
// if there is none. The search starts at from and wraps around.
func (d *draft) findEntry(list, text string, from int) int {
	entries := d.count(list)
	text = strings.ToLower(text)
	for i := range entries {
		at := (from + i) % entries
		if containsText(d.node(itemPath(list, at)), text) {
			return at
		}
	}
	return -1
}

func containsText(n *yaml.Node, text string) bool {
	if n.Kind == yaml.ScalarNode {
		return strings.Contains(strings.ToLower(n.Value), text)
	}
	stride := 1
	if n.Kind == yaml.MappingNode {
		stride = 2
	}
	for i := stride - 1; i < len(n.Content); i += stride {
		if containsText(n.Content[i], text) {
			return true
		}
	}
	return false
}

// replaceText replaces the draft with the text of the text view.
func (s *Server) replaceText(w http.ResponseWriter, req *draftRequest, text string) error {
	d, err := parseDraft([]byte(text))
	var invalid document.Errors
	if errors.As(err, &invalid) {
		return s.renderView(w, http.StatusUnprocessableEntity, req, editContent{Text: &text, Errors: invalid.Strings()})
	}
	if err != nil {
		return err
	}
	req.draft = d
	req.session.View = ""
	return s.renderView(w, http.StatusOK, req, editContent{})
}

// renderView renders the session's view.
func (s *Server) renderView(w http.ResponseWriter, status int, req *draftRequest, content editContent) error {
	if err := req.updateState(); err != nil {
		return err
	}
	v := parseView(req.session.View)
	if v.path == viewText {
		req.textContent(&content)
	} else {
		v = req.formContent(v, &content)
	}
	req.session.View = v.String()
	content.Crumbs = req.breadcrumbs(v)
	return s.renderPage(w, status, "edit", page{Title: "Draft", Session: &req.session, Notice: req.notice, Content: content})
}

func (req *draftRequest) textContent(content *editContent) {
	content.TooLarge = len(req.state.draft) > maxEditableBytes
	if content.Text == nil && !content.TooLarge {
		text := string(req.state.draft)
		content.Text = &text
	}
}

// formContent builds the form of a view. It returns the view that it built, which
// is that of the whole document if the requested view does not exist.
func (req *draftRequest) formContent(v view, content *editContent) view {
	var errs document.Errors
	if req.session.Checked {
		_, err := document.Parse(req.state.draft)
		errors.As(err, &errs)
	}
	t, ok := typeAt(v.path)
	_, _, isEntry := splitIndex(v.path)
	if !ok || v.path != "" && !hasOwnPage(v.path) || isEntry && req.draft.node(v.path) == nil {
		v, t = view{}, documentType
	}
	f := newFormBuilder(req.draft, errs)
	content.Suggestions = f.suggestions()
	if isStructList(t) {
		listTable := f.table(t, v)
		listTable.highlight(req.foundPath)
		content.Table = &listTable
		v.page = listTable.Pager.Page - 1
		return v
	}
	g := f.structGroup(t, v.path, req.title(v))
	content.Group = &g
	return v
}

// title returns the heading of a view.
func (req *draftRequest) title(v view) string {
	if v.path == "" {
		return "Document"
	}
	if v.path == viewText {
		return "YAML"
	}
	if list, index, ok := splitIndex(v.path); ok {
		return newFormBuilder(req.draft, nil).entryTitle(itemPath(list, index), index)
	}
	owner, name := splitField(v.path)
	t, _ := typeAt(owner)
	return document.Fields(t)[name].Label
}

// breadcrumbs returns the links to the views from the document down to v.
func (req *draftRequest) breadcrumbs(v view) []link {
	crumbs := []link{{Label: req.title(v), View: v.String()}}
	for v.path != "" {
		v = v.parent()
		crumbs = append([]link{{Label: req.title(v), View: v.String()}}, crumbs...)
	}
	return crumbs
}

// postDownload sends the draft as a file.
func (s *Server) postDownload(w http.ResponseWriter, r *http.Request) error {
	req, err := parseDraftRequest(r.PostForm)
	if err != nil {
		return err
	}
	text, err := req.draft.text()
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("Content-Disposition", `attachment; filename="draft.yaml"`)
	_, _ = w.Write(text)
	return nil
}
