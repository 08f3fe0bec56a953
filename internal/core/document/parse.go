package document

import (
	"bytes"
	"io"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxBytes is the maximum size of a YAML document.
const MaxBytes = 64 << 20

// Parse decodes a YAML document, sets defaults and validates it. It reports all
// errors together as Errors, each with its line, column and field path. Unknown
// and duplicate fields are errors.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, Errors{{Message: "the document is larger than " + Size(MaxBytes).String()}}
	}
	root, errs := parseNode(data)
	if errs != nil {
		return nil, errs
	}
	doc := &Document{}
	d := decoder{positions: map[string]position{}}
	d.decode(root, reflect.ValueOf(doc).Elem(), "")
	doc.setDerivedDefaults()
	for _, e := range doc.validate() {
		e.Line, e.Column = d.positionOf(e.Path)
		if !d.failedPaths[e.Path] {
			d.errs = append(d.errs, e)
		}
	}
	if len(d.errs) > 0 {
		return nil, d.errs.sortByPosition()
	}
	return doc, nil
}

func parseNode(data []byte) (*yaml.Node, Errors) {
	var root yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	err := dec.Decode(&root)
	switch {
	case err == io.EOF:
		return nil, Errors{{Message: "the document is empty"}}
	case err != nil:
		return nil, Errors{{Message: strings.TrimPrefix(err.Error(), "yaml: ")}}
	}
	var extra yaml.Node
	if dec.Decode(&extra) != io.EOF {
		return nil, Errors{{Message: "there is more than one document in the file"}}
	}
	return root.Content[0], nil
}

type position struct{ line, column int }

// decoder decodes YAML nodes into Go values according to their yaml tags. It
// collects all errors instead of stopping at the first one.
type decoder struct {
	errs      Errors
	positions map[string]position
	// failedPaths holds the paths that already have an error, so that a value that
	// could not be decoded is not reported as out of range as well.
	failedPaths map[string]bool
}

func (d *decoder) addError(node *yaml.Node, path, message string) {
	if d.failedPaths == nil {
		d.failedPaths = map[string]bool{}
	}
	d.failedPaths[path] = true
	d.errs = append(d.errs, FieldError{Path: path, Line: node.Line, Column: node.Column, Message: message})
}

// positionOf returns the position of a field, or of the nearest enclosing field
// with a known position.
func (d *decoder) positionOf(path string) (line, column int) {
	for {
		if p, ok := d.positions[path]; ok {
			return p.line, p.column
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			p := d.positions[""]
			return p.line, p.column
		}
		path = path[:end]
	}
}

func (d *decoder) decode(node *yaml.Node, v reflect.Value, path string) {
	d.positions[path] = position{node.Line, node.Column}
	if node.Kind == yaml.AliasNode {
		d.addError(node, path, "aliases are not supported")
		return
	}
	if s, ok := v.Addr().Interface().(textParser); ok {
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
		d.addError(node, path, "want a mapping of field names to values")
		return
	}
	fields := fieldsByTag(v.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		fieldPath := joinPath(path, key.Value)
		index, known := fields[key.Value]
		switch {
		case !known:
			d.addError(key, fieldPath, "unknown field")
		case seen[key.Value]:
			d.addError(key, fieldPath, "the field is given twice")
		default:
			seen[key.Value] = true
			d.decode(value, v.Field(index), fieldPath)
		}
	}
}

func (d *decoder) decodeSlice(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.SequenceNode {
		d.addError(node, path, "want a list")
		return
	}
	if len(node.Content) == 0 {
		// An empty list is decoded as nil, like an absent one, so that both have
		// the same section encoding.
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
		d.addError(node, path, "want a single value")
		return
	}
	if err := parse(node.Value); err != nil {
		d.addError(node, path, err.Error())
	}
}

func (d *decoder) decodeBasic(node *yaml.Node, v reflect.Value, path string) {
	d.decodeScalar(node, path, func(text string) error {
		if err := node.Decode(v.Addr().Interface()); err != nil {
			return typeError{text, typeName(v.Kind())}
		}
		return nil
	})
}

// typeError reports a scalar that cannot be decoded as the field's type.
type typeError struct{ text, kind string }

func (e typeError) Error() string { return strconv.Quote(e.text) + " is not " + e.kind }

func typeName(k reflect.Kind) string {
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

// defaulter is implemented by types that set defaults before decoding.
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
