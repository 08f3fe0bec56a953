package console

import (
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// merge is a three-way merge by section: it applies the draft's changes since
// its base document to the active document. If both changed a section in
// different ways, the draft's version is used and the section's key is returned
// as a conflict.
func merge(baseText, draft, active []byte) (text []byte, conflicts []string, err error) {
	sets := make([]document.SectionSet, 3)
	for i, text := range [][]byte{baseText, draft, active} {
		if sets[i], err = sectionsOf(text); err != nil {
			return nil, nil, err
		}
	}
	mine, theirs := document.Diff(sets[0], sets[1]), document.Diff(sets[0], sets[2])
	mine, conflicts = resolveConflicts(mine, theirs)
	merged, err := document.Apply(sets[2], mine)
	if err != nil {
		return nil, nil, errors.Wrap(err, "merge")
	}
	doc, err := document.FromSections(merged)
	if err != nil {
		return nil, nil, errors.Wrap(err, "merge")
	}
	text, err = yaml.Marshal(doc)
	return text, conflicts, errors.Wrap(err, "merge")
}

// sectionsOf parses a document and returns its sections. An empty text has none.
func sectionsOf(text []byte) (document.SectionSet, error) {
	if len(text) == 0 {
		return document.SectionSet{}, nil
	}
	doc, err := document.Parse(text)
	if err != nil {
		return document.SectionSet{}, err
	}
	return document.Sections(doc)
}

// resolveConflicts returns mine without the deletions that are also in theirs,
// and the keys of the sections that both changed in different ways.
func resolveConflicts(mine, theirs document.Delta) (document.Delta, []string) {
	deletedKeys, changedData := map[string]bool{}, map[string]string{}
	for _, key := range theirs.Deleted {
		deletedKeys[key] = true
	}
	for _, s := range theirs.Changed {
		changedData[s.Key] = string(s.Data)
	}
	out := document.Delta{Changed: mine.Changed}
	var conflicts []string
	for _, s := range mine.Changed {
		data, both := changedData[s.Key]
		if deletedKeys[s.Key] || both && data != string(s.Data) {
			conflicts = append(conflicts, s.Key)
		}
	}
	for _, key := range mine.Deleted {
		if _, both := changedData[key]; both {
			conflicts = append(conflicts, key)
		}
		if !deletedKeys[key] {
			out.Deleted = append(out.Deleted, key)
		}
	}
	return out, conflicts
}
