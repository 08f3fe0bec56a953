package console

import (
	"bytes"
	"fmt"
	"io"
	"net/url"
	"reflect"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// emptyDraft is the initial text of a draft without a base document.
const emptyDraft = "format: 1\n"

// fieldPrefix is the name prefix of form values that are document fields.
const fieldPrefix = "f:"

var documentType = reflect.TypeFor[document.Document]()

// draft is a document that is being edited. It may hold invalid values.
type draft struct{ root *yaml.Node }

// parseDraft parses a YAML text. It rejects text whose structure forms cannot
// represent, with the errors of document.Parse if there are any.
func parseDraft(text []byte) (*draft, error) {
	if len(text) > maxTextBytes {
		return nil, tooLargeError{"the document", maxTextBytes}
	}
	var top, second yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(text))
	if dec.Decode(&top) == nil && dec.Decode(&second) == io.EOF && matchesType(top.Content[0], documentType) {
		stripComments(top.Content[0])
		return &draft{root: top.Content[0]}, nil
	}
	if _, err := document.Parse(text); err != nil {
		return nil, err
	}
	return nil, errors.New("the document has a structure that cannot be shown as forms")
}

// stripComments removes comments and anchors. The log does not store them, and
// the YAML library can misplace comments when it encodes a modified tree.
func stripComments(n *yaml.Node) {
	n.HeadComment, n.LineComment, n.FootComment, n.Anchor = "", "", "", ""
	for _, c := range n.Content {
		stripComments(c)
	}
}

// text returns the draft as YAML.
func (d *draft) text() ([]byte, error) {
	var out bytes.Buffer
	enc := yaml.NewEncoder(&out)
	enc.SetIndent(2)
	if err := enc.Encode(d.root); err != nil {
		return nil, errors.Wrap(err, "draft")
	}
	if out.Len() > maxTextBytes {
		return nil, tooLargeError{"the draft", maxTextBytes}
	}
	return out.Bytes(), nil
}

// node returns the node at a path, or nil if it is absent.
func (d *draft) node(path string) *yaml.Node {
	elements, ok := splitPath(path)
	if !ok {
		return nil
	}
	n := d.root
	for _, s := range elements {
		n = childNode(n, s)
	}
	return n
}

// ensureNode returns the node at a path. It creates absent fields along the path,
// but no list items.
func (d *draft) ensureNode(path string) (*yaml.Node, error) {
	elements, ok := splitPath(path)
	if !ok {
		return nil, errors.Errorf("%q is not a field", path)
	}
	n, t := d.root, documentType
	for _, s := range elements {
		next := childNode(n, s)
		inner, known := elementType(t, s)
		if !known {
			return nil, errors.Errorf("%q is not a field", path)
		}
		if next == nil && s.name == "" {
			return nil, errors.Errorf("%s is no longer in the draft", path)
		}
		if next == nil || isNull(next) && inner.Kind() == reflect.Struct {
			next = newNode(inner)
			setField(n, t, s.name, next)
		}
		n, t = next, inner
	}
	return n, nil
}

// elementType returns the type of a field or list item of t, without pointers.
func elementType(t reflect.Type, s pathElement) (reflect.Type, bool) {
	switch {
	case s.name == "" && t.Kind() == reflect.Slice:
		t = t.Elem()
	case s.name != "" && t.Kind() == reflect.Struct && fieldIndex(t, s.name) >= 0:
		t = t.Field(fieldIndex(t, s.name)).Type
	default:
		return nil, false
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t, true
}

// applyForm sets the document fields of a submitted form.
func (d *draft) applyForm(form url.Values) error {
	for key, values := range form {
		path, ok := strings.CutPrefix(key, fieldPrefix)
		if !ok {
			continue
		}
		if err := d.setText(path, strings.TrimSpace(strings.ToValidUTF8(values[0], "\uFFFD"))); err != nil {
			return err
		}
	}
	return nil
}

// setText sets a field from its text form. Unchanged fields keep their YAML
// notation, and an absent field that displays its default stays absent.
func (d *draft) setText(path, text string) error {
	t, ok := typeAt(path)
	if !ok || t.Kind() == reflect.Struct || isStructList(t) {
		return errors.Errorf("%q is not a field", path)
	}
	parent, name := splitField(path)
	owner, _ := typeAt(parent)
	if owner == nil || owner.Kind() != reflect.Struct || fieldIndex(owner, name) < 0 {
		return errors.Errorf("%q is not a field", path)
	}
	if d.displayedText(path) == text {
		return nil
	}
	n, err := d.ensureNode(parent)
	if err != nil {
		return err
	}
	switch {
	case t.Kind() == reflect.Slice:
		setField(n, owner, name, listNode(t, text))
	case text == "":
		deleteField(n, name)
	default:
		setField(n, owner, name, scalarNode(t, text))
	}
	return nil
}

func splitField(path string) (parent, name string) {
	dot := strings.LastIndexByte(path, '.')
	if dot < 0 {
		return "", path
	}
	return path[:dot], path[dot+1:]
}

// listNode returns a list node for text whose items are separated by commas or
// spaces.
func listNode(t reflect.Type, text string) *yaml.Node {
	n := newNode(t)
	n.Style = yaml.FlowStyle
	for _, item := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' }) {
		n.Content = append(n.Content, scalarNode(t.Elem(), item))
	}
	return n
}

// displayedText returns the text that a form displays for a field: its value if
// it is present. Absent lists and booleans display their default; other absent
// fields are empty, which also means the default.
func (d *draft) displayedText(path string) string {
	n := d.node(path)
	defaultValue, _ := defaultAt(path)
	switch {
	case n != nil && n.Kind == yaml.SequenceNode:
		items := make([]string, len(n.Content))
		for i, item := range n.Content {
			items[i] = item.Value
		}
		return strings.Join(items, ", ")
	case n != nil:
		return n.Value
	case defaultValue.Kind() == reflect.Slice || defaultValue.Kind() == reflect.Bool:
		return defaultText(defaultValue)
	}
	return ""
}

// defaultText formats a default value as an operator would enter it.
func defaultText(v reflect.Value) string {
	if v.Kind() == reflect.Slice {
		return strings.Join(strings.Fields(strings.Trim(fmt.Sprint(v.Interface()), "[]")), ", ")
	}
	if v.IsZero() && v.Kind() != reflect.Bool {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

// add appends an entry to a list of structs, or creates an optional struct.
func (d *draft) add(path string) error {
	t, ok := typeAt(path)
	if !ok || t.Kind() != reflect.Struct && !isStructList(t) {
		return errors.Errorf("%q cannot be added", path)
	}
	n, err := d.ensureNode(path)
	if err != nil {
		return err
	}
	if isStructList(t) {
		n.Style &^= yaml.FlowStyle
		n.Content = append(n.Content, newNode(t.Elem()))
	}
	return nil
}

// remove deletes a list entry or an optional struct.
func (d *draft) remove(path string) error {
	list, index, ok := splitIndex(path)
	if !ok {
		parent, name := splitField(path)
		if n := d.node(parent); n != nil {
			deleteField(n, name)
		}
		return nil
	}
	n := d.node(list)
	if n == nil || n.Kind != yaml.SequenceNode || index >= len(n.Content) {
		return errors.Errorf("%s is no longer in the draft", path)
	}
	n.Content = append(n.Content[:index:index], n.Content[index+1:]...)
	return nil
}

// count returns the number of entries of a list.
func (d *draft) count(list string) int {
	if n := d.node(list); n != nil && n.Kind == yaml.SequenceNode {
		return len(n.Content)
	}
	return 0
}
