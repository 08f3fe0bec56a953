package document

import (
	"bytes"
	"io"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxBytes bounds the YAML form of a document.
const MaxBytes = 64 << 20

// Parse reads a document in its YAML form and fills in defaults. It reports all
// errors at once, as Errors, each with its line, column and field path. Unknown
// and repeated fields are errors.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, Errors{{Message: "the document is larger than " + Size(MaxBytes).String()}}
	}
	root, errs := readNode(data)
	if errs != nil {
		return nil, errs
	}
	doc := &Document{}
	d := decoder{places: map[string]place{}}
	d.decode(root, reflect.ValueOf(doc).Elem(), "")
	doc.setDerivedDefaults()
	for _, e := range doc.validate() {
		e.Line, e.Column = d.find(e.Path)
		if !d.failed[e.Path] {
			d.errs = append(d.errs, e)
		}
	}
	if len(d.errs) > 0 {
		return nil, d.errs.sorted()
	}
	return doc, nil
}

func readNode(data []byte) (*yaml.Node, Errors) {
	var root yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	err := dec.Decode(&root)
	switch {
	case err == io.EOF:
		return nil, Errors{{Message: "the document is empty"}}
	case err != nil:
		return nil, Errors{{Message: strings.TrimPrefix(err.Error(), "yaml: ")}}
	}
	var second yaml.Node
	if dec.Decode(&second) != io.EOF {
		return nil, Errors{{Message: "there is more than one document in the file"}}
	}
	return root.Content[0], nil
}

type place struct{ line, column int }

// decoder fills Go values from YAML nodes by their yaml tags and collects all
// errors instead of stopping at the first.
type decoder struct {
	errs   Errors
	places map[string]place
	// failed holds the paths that have an error already, so that a value that
	// could not be read is not also reported as out of range.
	failed map[string]bool
}

func (d *decoder) fail(node *yaml.Node, path, message string) {
	if d.failed == nil {
		d.failed = map[string]bool{}
	}
	d.failed[path] = true
	d.errs = append(d.errs, FieldError{Path: path, Line: node.Line, Column: node.Column, Message: message})
}

// find returns the place of a field, or of the nearest enclosing one.
func (d *decoder) find(path string) (line, column int) {
	for {
		if p, ok := d.places[path]; ok {
			return p.line, p.column
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			p := d.places[""]
			return p.line, p.column
		}
		path = path[:cut]
	}
}

func (d *decoder) decode(node *yaml.Node, v reflect.Value, path string) {
	d.places[path] = place{node.Line, node.Column}
	if node.Kind == yaml.AliasNode {
		d.fail(node, path, "aliases are not supported")
		return
	}
	if s, ok := v.Addr().Interface().(scalar); ok {
		d.decodeScalar(node, path, s.parse)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, v, path)
	case reflect.Slice:
		d.decodeSlice(node, v, path)
	case reflect.Pointer:
		if node.Tag == "!!null" {
			return
		}
		v.Set(newWithDefaults(v.Type().Elem()))
		d.decode(node, v.Elem(), path)
	default:
		d.decodeBasic(node, v, path)
	}
}

func (d *decoder) decodeStruct(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		d.fail(node, path, "want fields with values")
		return
	}
	fields := fieldsByTag(v.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		at := join(path, key.Value)
		index, known := fields[key.Value]
		switch {
		case !known:
			d.fail(key, at, "unknown field")
		case seen[key.Value]:
			d.fail(key, at, "the field is given twice")
		default:
			seen[key.Value] = true
			d.decode(value, v.Field(index), at)
		}
	}
}

func (d *decoder) decodeSlice(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.SequenceNode {
		d.fail(node, path, "want a list")
		return
	}
	if len(node.Content) == 0 {
		// An empty list is nil like an absent one, so that both have the same
		// section bytes.
		v.SetZero()
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 0, len(node.Content)))
	for i, item := range node.Content {
		element := newWithDefaults(v.Type().Elem()).Elem()
		d.decode(item, element, path+"["+strconv.Itoa(i)+"]")
		v.Set(reflect.Append(v, element))
	}
}

func (d *decoder) decodeScalar(node *yaml.Node, path string, parse func(string) error) {
	if node.Kind != yaml.ScalarNode {
		d.fail(node, path, "want a single value")
		return
	}
	if err := parse(node.Value); err != nil {
		d.fail(node, path, err.Error())
	}
}

func (d *decoder) decodeBasic(node *yaml.Node, v reflect.Value, path string) {
	d.decodeScalar(node, path, func(text string) error {
		if err := node.Decode(v.Addr().Interface()); err != nil {
			return notA{text, kindName(v.Kind())}
		}
		return nil
	})
}

// notA says that a text does not have the wanted kind.
type notA struct{ text, kind string }

func (e notA) Error() string { return strconv.Quote(e.text) + " is not " + e.kind }

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "a text"
	}
}

// defaulter is a value that has defaults before it is read.
type defaulter interface{ setDefaults() }

func newWithDefaults(t reflect.Type) reflect.Value {
	v := reflect.New(t)
	if d, ok := v.Interface().(defaulter); ok {
		d.setDefaults()
	}
	return v
}

func fieldsByTag(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		fields[name] = i
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
