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

// maxEditableBytes bounds the text that is shown in an input area; browsers
// become slow with more.
const maxEditableBytes = 1 << 20

// editContent is the content of a form page: a group, a table or the text.
type editContent struct {
	Crumbs      []link
	Group       *group
	Table       *table
	Suggestions []suggestionList
	// Text is the draft's YAML form in the text view.
	Text     *string
	TooLarge bool
	Errors   []string
}

// postEdit takes over a form's fields, performs its action and shows the next page.
func (s *Server) postEdit(w http.ResponseWriter, r *http.Request) error {
	k, err := open(r.PostForm)
	if err != nil {
		return err
	}
	verb, argument, _ := strings.Cut(r.PostForm.Get("do"), ":")
	switch verb {
	case "go":
		k.session.View = argument
	case "add":
		err = k.add(argument)
	case "remove":
		err = k.draft.remove(argument)
	case "text":
		return s.replaceText(w, k, pastedText(r))
	case "save", "":
		k.move(r.PostForm)
	default:
		err = errors.Errorf("unknown action %q", verb)
	}
	if err != nil {
		return err
	}
	if k.session.View == viewReview {
		return s.showReview(w, http.StatusOK, k, reviewContent{}, "")
	}
	return s.showView(w, http.StatusOK, k, editContent{})
}

// add adds an entry and shows its page if it is not on the current one.
func (k *work) add(path string) error {
	if err := k.draft.add(path); err != nil {
		return err
	}
	if t, _ := typeAt(path); t != nil && t.Kind() == reflect.Slice {
		path = itemPath(path, k.draft.count(path)-1)
	}
	k.session.View = viewOf(path).String()
	return nil
}

// move leads to another page of a list, by a searched text or a page number.
func (k *work) move(form url.Values) {
	v := parseView(k.session.View)
	if text := strings.TrimSpace(form.Get("find")); text != "" {
		i := k.draft.find(v.path, text, (v.page+1)*pageSize)
		if i < 0 {
			k.notice = fmt.Sprintf("No entry contains %q.", text)
			return
		}
		v.page = i / pageSize
		k.found = itemPath(v.path, i)
	} else if number, err := strconv.Atoi(strings.TrimSpace(form.Get("jump"))); err == nil {
		v.page = max(0, number-1)
	}
	k.session.View = v.String()
}

// find returns the next entry of a list that contains a text, from an index on
// and then from the start; -1 if there is none.
func (d *draft) find(list, text string, from int) int {
	entries := d.count(list)
	text = strings.ToLower(text)
	for i := range entries {
		at := (from + i) % entries
		if contains(d.node(itemPath(list, at)), text) {
			return at
		}
	}
	return -1
}

func contains(n *yaml.Node, text string) bool {
	if n.Kind == yaml.ScalarNode {
		return strings.Contains(strings.ToLower(n.Value), text)
	}
	step := 1
	if n.Kind == yaml.MappingNode {
		step = 2
	}
	for i := step - 1; i < len(n.Content); i += step {
		if contains(n.Content[i], text) {
			return true
		}
	}
	return false
}

// replaceText takes over the draft from the text view.
func (s *Server) replaceText(w http.ResponseWriter, k *work, text string) error {
	d, err := parseDraft([]byte(text))
	var invalid document.Errors
	if errors.As(err, &invalid) {
		return s.showView(w, http.StatusUnprocessableEntity, k, editContent{Text: &text, Errors: invalid.Strings()})
	}
	if err != nil {
		return err
	}
	k.draft = d
	k.session.View = ""
	return s.showView(w, http.StatusOK, k, editContent{})
}

// showView shows the form of the session's view.
func (s *Server) showView(w http.ResponseWriter, status int, k *work, content editContent) error {
	if err := k.save(); err != nil {
		return err
	}
	v := parseView(k.session.View)
	if v.path == viewText {
		k.textContent(&content)
	} else {
		v = k.formContent(v, &content)
	}
	k.session.View = v.String()
	content.Crumbs = k.crumbs(v)
	return s.show(w, status, "edit", page{Title: "Draft", Session: &k.session, Notice: k.notice, Content: content})
}

func (k *work) textContent(content *editContent) {
	content.TooLarge = len(k.state.draft) > maxEditableBytes
	if content.Text == nil && !content.TooLarge {
		text := string(k.state.draft)
		content.Text = &text
	}
}

// formContent fills in the form of a view. It returns the view that is shown,
// which is the document's if the wanted one does not exist (any more).
func (k *work) formContent(v view, content *editContent) view {
	var errs document.Errors
	if k.session.Checked {
		_, err := document.Parse(k.state.draft)
		errors.As(err, &errs)
	}
	t, ok := typeAt(v.path)
	_, _, isEntry := splitIndex(v.path)
	if !ok || v.path != "" && !hasOwnPage(v.path) || isEntry && k.draft.node(v.path) == nil {
		v, t = view{}, documentType
	}
	f := newFormBuilder(k.draft, errs)
	content.Suggestions = f.suggestions()
	if isStructList(t) {
		shown := f.table(t, v)
		shown.mark(k.found)
		content.Table = &shown
		v.page = shown.Pager.Page - 1
		return v
	}
	g := f.structGroup(t, v.path, k.title(v))
	content.Group = &g
	return v
}

// title returns the heading of a view.
func (k *work) title(v view) string {
	if v.path == "" {
		return "Document"
	}
	if v.path == viewText {
		return "YAML"
	}
	if list, index, ok := splitIndex(v.path); ok {
		return newFormBuilder(k.draft, nil).entryTitle(itemPath(list, index), index)
	}
	owner, name := cutField(v.path)
	t, _ := typeAt(owner)
	return document.Fields(t)[name].Label
}

// crumbs returns the way from the document to a view.
func (k *work) crumbs(v view) []link {
	way := []link{{Label: k.title(v), View: v.String()}}
	for v.path != "" {
		v = v.parent()
		way = append([]link{{Label: k.title(v), View: v.String()}}, way...)
	}
	return way
}

// postDownload sends the draft as a file.
func (s *Server) postDownload(w http.ResponseWriter, r *http.Request) error {
	k, err := open(r.PostForm)
	if err != nil {
		return err
	}
	text, err := k.draft.text()
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("Content-Disposition", `attachment; filename="draft.yaml"`)
	_, _ = w.Write(text)
	return nil
}
