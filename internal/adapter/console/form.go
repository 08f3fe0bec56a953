package console

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// maxSuggestions bounds the suggested values of a field.
const maxSuggestions = 500

// field is an input of a form.
type field struct {
	Path, Label, Help  string
	Value, Placeholder string
	// Suggestions is the ID of a list of suggested values.
	Suggestions string
	IsBool      bool
	// Focus puts the cursor into the input and scrolls to it.
	Focus  bool
	Errors []string
}

// group is a part of a form: the fields of a struct and its inner parts.
type group struct {
	Path, Title, Help string
	Fields            []field
	Groups            []group
	Links             []link
	Add, Remove       *button
	Errors            []string
}

// link leads to the page of a list or an entry.
type link struct {
	Label, View string
	Count       int
}

// button submits an action; Anchor is the part of the next page to show.
type button struct{ Label, Do, Anchor string }

// formBuilder builds forms from the document types, a draft and its errors.
type formBuilder struct {
	draft  *draft
	errors map[string][]string
}

func newFormBuilder(d *draft, errs document.Errors) *formBuilder {
	f := &formBuilder{draft: d, errors: map[string][]string{}}
	for _, e := range errs {
		at := fieldOf(e.Path)
		f.errors[at] = append(f.errors[at], e.Message)
	}
	return f
}

// fieldOf returns the path of the form field that shows a path: an item of a
// list of plain values is shown by the list's field.
func fieldOf(path string) string {
	list, _, ok := splitIndex(path)
	if t, known := typeAt(list); ok && known && t.Kind() == reflect.Slice && !isStructList(t) {
		return list
	}
	return path
}

// structGroup returns the form of a struct.
func (f *formBuilder) structGroup(t reflect.Type, path, title string) group {
	g := group{Path: path, Title: title, Errors: f.errors[path]}
	infos := document.Fields(t)
	for i := range t.NumField() {
		name := document.YAMLName(t.Field(i))
		at, info, inner := joinPath(path, name), infos[name], t.Field(i).Type
		switch {
		case isStructList(inner) && hasOwnPage(at):
			g.Links = append(g.Links, link{info.Label, view{path: at}.String(), f.draft.count(at)})
			g.Errors = append(g.Errors, f.errors[at]...)
		case isStructList(inner):
			g.Groups = append(g.Groups, f.listGroup(inner, at, info))
		case inner.Kind() == reflect.Pointer:
			g.Groups = append(g.Groups, f.optionalGroup(inner.Elem(), at, info))
		case inner.Kind() == reflect.Struct:
			g.Groups = append(g.Groups, f.structGroup(inner, at, info.Label))
		default:
			g.Fields = append(g.Fields, f.field(t, path, name))
		}
	}
	return g
}

// listGroup returns the forms of a list's entries, for lists without pages.
func (f *formBuilder) listGroup(t reflect.Type, path string, info document.FieldInfo) group {
	g := group{Path: path, Title: info.Label, Help: info.Help, Errors: f.errors[path]}
	for i := range f.draft.count(path) {
		at := itemPath(path, i)
		entry := f.structGroup(t.Elem(), at, f.entryTitle(at, i))
		entry.Remove = &button{"Remove " + info.ItemLabel + " " + entry.Title, "remove:" + at, path}
		g.Groups = append(g.Groups, entry)
	}
	g.Add = &button{"Add " + info.ItemLabel, "add:" + path, itemPath(path, f.draft.count(path))}
	return g
}

// entryTitle returns the name of an entry, or its number if it has none.
func (f *formBuilder) entryTitle(path string, i int) string {
	if n := f.draft.node(path + ".name"); n != nil && n.Value != "" {
		return n.Value
	}
	return fmt.Sprintf("number %d", i+1)
}

func (f *formBuilder) optionalGroup(t reflect.Type, path string, info document.FieldInfo) group {
	if n := f.draft.node(path); n == nil || isNull(n) {
		return group{Path: path, Title: info.Label, Help: info.Help, Errors: f.errors[path], Add: &button{"Add " + strings.ToLower(info.Label), "add:" + path, path}}
	}
	g := f.structGroup(t, path, info.Label)
	g.Help = info.Help
	g.Remove = &button{"Remove " + strings.ToLower(info.Label), "remove:" + path, path}
	return g
}

func (f *formBuilder) field(t reflect.Type, path, name string) field {
	at := joinPath(path, name)
	standard, _ := defaultAt(at)
	info := document.Fields(t)[name]
	return field{
		Path:        at,
		Label:       info.Label,
		Help:        helpText(info, standard),
		Value:       f.draft.shown(at),
		Placeholder: defaultText(standard),
		Suggestions: suggestionsFor(t, name),
		IsBool:      standard.Kind() == reflect.Bool,
		Errors:      f.errors[at],
	}
}

// helpText joins the unit, the range, the default and the explanation.
func helpText(info document.FieldInfo, standard reflect.Value) string {
	var parts []string
	for _, part := range []string{info.Unit, info.Range, info.Help} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if standard.Kind() == reflect.Slice {
		parts = append(parts, "separated by commas")
	}
	if text := defaultText(standard); text != "" && standard.Kind() != reflect.Bool {
		parts = append(parts, "default "+text)
	}
	return strings.Join(parts, "; ")
}

// suggestionsFor returns the ID of the suggested values of a field that refers
// to another part of the document.
func suggestionsFor(t reflect.Type, name string) string {
	switch {
	case t == reflect.TypeFor[document.Target]() && name == "zone":
		return "zones"
	case t == reflect.TypeFor[document.Route]() && name == "service":
		return "service-names"
	case t == reflect.TypeFor[document.Route]() && name == "class":
		return "class-names"
	}
	return ""
}

// suggestionList holds suggested values; ID is used by field.Suggestions.
type suggestionList struct {
	ID     string
	Values []string
}

// suggestions returns the zones, services and classes of the draft.
func (f *formBuilder) suggestions() []suggestionList {
	zones, services, classes := newValueSet(), newValueSet(), newValueSet()
	for i := range f.draft.count("regions") {
		if n := f.draft.node(itemPath("regions", i) + ".zones"); n != nil {
			for _, zone := range n.Content {
				zones.add(zone.Value)
			}
		}
	}
	for i := range f.draft.count("services") {
		at := itemPath("services", i)
		services.addNode(f.draft, at+".name")
		for j := range f.draft.count(at + ".classes") {
			classes.addNode(f.draft, itemPath(at+".classes", j)+".name")
		}
	}
	return []suggestionList{{"zones", zones.values}, {"service-names", services.values}, {"class-names", classes.values}}
}

// valueSet holds distinct values in the order they were added, up to
// maxSuggestions.
type valueSet struct {
	seen   map[string]bool
	values []string
}

func newValueSet() *valueSet { return &valueSet{seen: map[string]bool{}} }

func (s *valueSet) add(value string) {
	if value == "" || s.seen[value] || len(s.values) == maxSuggestions {
		return
	}
	s.seen[value] = true
	s.values = append(s.values, value)
}

func (s *valueSet) addNode(d *draft, path string) {
	if n := d.node(path); n != nil {
		s.add(n.Value)
	}
}
