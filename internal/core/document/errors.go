package document

import (
	"fmt"
	"sort"
	"strings"
)

// FieldError is a validation or syntax error in a document.
type FieldError struct {
	// Path identifies the field, for example services[0].classes[1].floor.
	Path string
	// Line and Column are the position in the YAML source, 0 if unknown.
	Line, Column int
	Message      string
}

// Error formats the error as "line L, column C: path: message". Parts that are
// not known are omitted.
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

// Errors is a list of all errors in a document.
type Errors []FieldError

// Error joins the errors, one per line.
func (e Errors) Error() string { return strings.Join(e.Strings(), "\n") }

// Strings returns the error messages.
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

// sortByPosition sorts the errors in place by line and column and returns them.
func (e Errors) sortByPosition() Errors {
	sort.SliceStable(e, func(i, j int) bool {
		if e[i].Line != e[j].Line {
			return e[i].Line < e[j].Line
		}
		return e[i].Column < e[j].Column
	})
	return e
}
