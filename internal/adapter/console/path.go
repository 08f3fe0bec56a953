package console

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// pathElement is one element of a field path: a field name, or an index if name
// is empty.
type pathElement struct {
	name  string
	index int
}

// splitPath parses a path such as services[0].classes[1].floor, the format used
// by document.FieldError.
func splitPath(path string) ([]pathElement, bool) {
	var elements []pathElement
	for _, part := range strings.Split(path, ".") {
		name, rest, _ := strings.Cut(part, "[")
		if name == "" {
			return nil, path == ""
		}
		elements = append(elements, pathElement{name: name})
		if rest == "" {
			continue
		}
		index, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
		if err != nil || index < 0 || !strings.HasSuffix(rest, "]") {
			return nil, false
		}
		elements = append(elements, pathElement{index: index})
	}
	return elements, true
}

// typeAt returns the type at a document path, without pointers.
func typeAt(path string) (reflect.Type, bool) {
	v, ok := defaultAt(path)
	if !ok {
		return nil, false
	}
	return v.Type(), true
}

// defaultAt returns the value that document.Parse uses for an absent field. For a
// list entry or an optional struct, it is the value with all fields absent.
func defaultAt(path string) (reflect.Value, bool) {
	elements, ok := splitPath(path)
	v := document.NewDefault(documentType).Elem()
	for _, s := range elements {
		switch {
		case s.name == "" && v.Kind() == reflect.Slice:
			v = document.NewDefault(v.Type().Elem()).Elem()
		case s.name != "" && v.Kind() == reflect.Struct && fieldIndex(v.Type(), s.name) >= 0:
			v = v.Field(fieldIndex(v.Type(), s.name))
		default:
			return reflect.Value{}, false
		}
		if v.Kind() == reflect.Pointer {
			v = document.NewDefault(v.Type().Elem()).Elem()
		}
	}
	return v, ok
}

// fieldIndex returns the index of a field in its struct, or -1 if there is none.
func fieldIndex(t reflect.Type, name string) int {
	for i := range t.NumField() {
		if document.YAMLName(t.Field(i)) == name {
			return i
		}
	}
	return -1
}

// isStructList reports whether t is a list of structs.
func isStructList(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// splitIndex splits the last index off a path such as routes[3].
func splitIndex(path string) (list string, index int, ok bool) {
	bracket := strings.LastIndexByte(path, '[')
	if bracket < 0 || !strings.HasSuffix(path, "]") {
		return "", 0, false
	}
	index, err := strconv.Atoi(path[bracket+1 : len(path)-1])
	return path[:bracket], index, err == nil && index >= 0
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func itemPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }
