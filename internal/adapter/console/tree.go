package console

import (
	"reflect"

	"go.yaml.in/yaml/v3"
)

// matchesType reports whether forms for t can represent a node: fields are known
// and not repeated, node kinds match, and there are no aliases. It does not check
// values.
func matchesType(n *yaml.Node, t reflect.Type) bool {
	switch {
	case t.Kind() == reflect.Pointer:
		return isNull(n) || matchesType(n, t.Elem())
	case t.Kind() == reflect.Struct:
		return n.Kind == yaml.MappingNode && fieldsMatch(n, t)
	case t.Kind() == reflect.Slice:
		for _, item := range n.Content {
			if !matchesType(item, t.Elem()) {
				return false
			}
		}
		return n.Kind == yaml.SequenceNode
	default:
		return n.Kind == yaml.ScalarNode
	}
}

func fieldsMatch(n *yaml.Node, t reflect.Type) bool {
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i].Value
		index := fieldIndex(t, name)
		if index < 0 || seen[name] || !matchesType(n.Content[i+1], t.Field(index).Type) {
			return false
		}
		seen[name] = true
	}
	return true
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

// childNode returns the node of a field or a list item, or nil if it is absent.
func childNode(n *yaml.Node, s pathElement) *yaml.Node {
	if n == nil {
		return nil
	}
	if s.name == "" {
		if n.Kind == yaml.SequenceNode && s.index < len(n.Content) {
			return n.Content[s.index]
		}
		return nil
	}
	if i := keyIndex(n, s.name); i >= 0 {
		return n.Content[i+1]
	}
	return nil
}

func keyIndex(n *yaml.Node, name string) int {
	if n.Kind != yaml.MappingNode {
		return -1
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return i
		}
	}
	return -1
}

// setField sets a field of a mapping of type t. A new field is inserted in the
// order of the type's fields.
func setField(n *yaml.Node, t reflect.Type, name string, value *yaml.Node) {
	if i := keyIndex(n, name); i >= 0 {
		n.Content[i+1] = value
		return
	}
	at := 0
	for at < len(n.Content) && fieldIndex(t, n.Content[at].Value) < fieldIndex(t, name) {
		at += 2
	}
	key := &yaml.Node{Kind: yaml.ScalarNode, Value: name}
	rest := append([]*yaml.Node{key, value}, n.Content[at:]...)
	n.Content = append(n.Content[:at:at], rest...)
}

func deleteField(n *yaml.Node, name string) {
	if i := keyIndex(n, name); i >= 0 {
		n.Content = append(n.Content[:i:i], n.Content[i+2:]...)
	}
}

// newNode returns an empty node for a type.
func newNode(t reflect.Type) *yaml.Node {
	if t.Kind() == reflect.Slice {
		return &yaml.Node{Kind: yaml.SequenceNode}
	}
	return &yaml.Node{Kind: yaml.MappingNode}
}

// scalarNode returns a node for the text form of a value. Strings get a tag, so
// that a name such as "null" or "1" is quoted. Other values are kept as entered
// and validated by document.Parse.
func scalarNode(t reflect.Type, text string) *yaml.Node {
	n := &yaml.Node{Kind: yaml.ScalarNode, Value: text}
	if t.Kind() == reflect.String {
		n.Tag = "!!str"
	}
	return n
}
