// Package console serves the operators' console: HTML forms for editing,
// validating and proposing a document.
//
// Hosts are stateless. Every page carries the draft, its base document and the
// base revision in one hidden field, so any host can handle the next request. A
// draft is a YAML tree rather than a document.Document, so that it can hold
// values that are not valid yet. Forms are generated from the document types;
// the only validation is document.Parse on the draft's YAML text.
package console
