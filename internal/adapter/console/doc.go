// Package console serves the operators' console: HTML forms in which a document
// is written, checked and proposed.
//
// A host holds no session. Every page carries the draft, the document it was
// started from and that document's revision in one hidden field, so any host
// can take the next step. A draft is a YAML tree rather than a
// document.Document, so it also holds values that are not valid yet. Forms are
// generated from the document types; the only validation is document.Parse on
// the draft's YAML text.
package console
