package document

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// DiffText formats the difference between two section sets with one line for
// each added, removed or changed section and for each changed field, under the
// field's YAML name. It returns an empty string if the sets are equal.
func DiffText(a, b SectionSet) string {
	var out strings.Builder
	forEachChange(a, b, func(before, after *entry) {
		switch {
		case before == nil:
			fmt.Fprintf(&out, "added %s\n", after.Key)
		case after == nil:
			fmt.Fprintf(&out, "removed %s\n", before.Key)
		default:
			fmt.Fprintf(&out, "changed %s\n", after.Key)
			writeFields(&out, flatten(before.value), flatten(after.value))
		}
	})
	return out.String()
}

// absentValue is printed for a field that one of the two sections lacks.
const absentValue = "(none)"

func writeFields(out *strings.Builder, before, after map[string]string) {
	paths := map[string]bool{}
	for p := range before {
		paths[p] = true
	}
	for p := range after {
		paths[p] = true
	}
	sorted := make([]string, 0, len(paths))
	for p := range paths {
		sorted = append(sorted, p)
	}
	sort.Strings(sorted)
	for _, p := range sorted {
		old, okOld := before[p]
		value, okNew := after[p]
		if !okOld {
			old = absentValue
		}
		if !okNew {
			value = absentValue
		}
		if old != value {
			fmt.Fprintf(out, "  %s: %s -> %s\n", p, old, value)
		}
	}
}

// flatten maps field paths such as classes[lookup].floor to formatted values.
func flatten(value any) map[string]string {
	fields := map[string]string{}
	flattenValue(reflect.ValueOf(value), "", fields)
	return fields
}

func flattenValue(v reflect.Value, path string, fields map[string]string) {
	if m, ok := v.Interface().(interface{ MarshalYAML() (any, error) }); ok {
		printed, _ := m.MarshalYAML()
		fields[path] = fmt.Sprint(printed)
		return
	}
	switch {
	case v.Kind() == reflect.Pointer && !v.IsNil():
		flattenValue(v.Elem(), path, fields)
	case v.Kind() == reflect.Pointer:
		fields[path] = absentValue
	case v.Kind() == reflect.Struct:
		flattenStruct(v, path, fields)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		flattenList(v, path, fields)
	default:
		fields[path] = fmt.Sprint(v.Interface())
	}
}

func flattenStruct(v reflect.Value, path string, fields map[string]string) {
	for i := range v.NumField() {
		if !v.Type().Field(i).IsExported() {
			continue
		}
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if name == "" {
			name = v.Type().Field(i).Name
		}
		if path != "" {
			name = path + "." + name
		}
		flattenValue(v.Field(i), name, fields)
	}
}

// flattenList identifies elements by their Name field instead of their index, so
// that an inserted element does not make all later elements appear changed. The
// list of names is added as a field of its own to show changes of the order.
func flattenList(v reflect.Value, path string, fields map[string]string) {
	var names []string
	for i := range v.Len() {
		name := fmt.Sprint(i)
		if f := v.Index(i).FieldByName("Name"); f.IsValid() {
			name = fmt.Sprint(f.Interface())
		}
		names = append(names, name)
		flattenValue(v.Index(i), path+"["+name+"]", fields)
	}
	fields[path] = fmt.Sprint(names)
}
