package console

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// step is one part of a field path: a field name, or an index if name is empty.
type step struct {
	name  string
	index int
}

// splitPath reads a path like services[0].classes[1].floor, the form that
// document.FieldError has.
func splitPath(path string) ([]step, bool) {
	var steps []step
	for _, part := range strings.Split(path, ".") {
		name, rest, _ := strings.Cut(part, "[")
		if name == "" {
			return nil, path == ""
		}
		steps = append(steps, step{name: name})
		if rest == "" {
			continue
		}
		index, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
		if err != nil || index < 0 || !strings.HasSuffix(rest, "]") {
			return nil, false
		}
		steps = append(steps, step{index: index})
	}
	return steps, true
}

// typeAt returns the type at a path of the document, without pointers.
func typeAt(path string) (reflect.Type, bool) {
	v, ok := defaultAt(path)
	if !ok {
		return nil, false
	}
	return v.Type(), true
}

// defaultAt returns the value that document.Parse uses for an absent field, and
// for an entry or an optional part the value it has when all fields are absent.
func defaultAt(path string) (reflect.Value, bool) {
	steps, ok := splitPath(path)
	v := document.NewDefault(documentType).Elem()
	for _, s := range steps {
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

// fieldIndex returns the place of a field in its struct, -1 if there is none.
func fieldIndex(t reflect.Type, name string) int {
	for i := range t.NumField() {
		if document.YAMLName(t.Field(i)) == name {
			return i
		}
	}
	return -1
}

// isStructList reports whether t is a list of entries with fields of their own.
func isStructList(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// splitIndex cuts the last index off a path like routes[3].
func splitIndex(path string) (list string, index int, ok bool) {
	open := strings.LastIndexByte(path, '[')
	if open < 0 || !strings.HasSuffix(path, "]") {
		return "", 0, false
	}
	index, err := strconv.Atoi(path[open+1 : len(path)-1])
	return path[:open], index, err == nil && index >= 0
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func itemPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }
