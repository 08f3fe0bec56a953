package document

import (
	"fmt"
	"sort"
	"strings"
)

// FieldError is one error in a document.
type FieldError struct {
	// Path names the field, like services[0].classes[1].floor.
	Path string
	// Line and Column are the place in the YAML form, 0 if unknown.
	Line, Column int
	Message      string
}

// Error formats the error as line:column: path: message.
func (e FieldError) Error() string {
	text := e.Message
	if e.Path != "" {
		text = e.Path + ": " + text
	}
	if e.Line > 0 {
		text = fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, text)
	}
	return text
}

// Errors lists every error of a document.
type Errors []FieldError

// Error joins the errors, one a line.
func (e Errors) Error() string { return strings.Join(e.Strings(), "\n") }

// Texts returns the errors as text.
func (e Errors) Strings() []string {
	texts := make([]string, len(e))
	for i, field := range e {
		texts[i] = field.Error()
	}
	return texts
}

func (e *Errors) add(path, format string, args ...any) {
	*e = append(*e, FieldError{Path: path, Message: fmt.Sprintf(format, args...)})
}

// sorted orders the errors by their place.
func (e Errors) sorted() Errors {
	sort.SliceStable(e, func(i, j int) bool {
		if e[i].Line != e[j].Line {
			return e[i].Line < e[j].Line
		}
		return e[i].Column < e[j].Column
	})
	return e
}
