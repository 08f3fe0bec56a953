package console

import (
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// merge applies what a draft changed since its origin to the active document,
// section by section. Where both changed a section in different ways, the
// draft's version wins and the section's key is among the conflicts.
func merge(origin, draft, active []byte) (text []byte, conflicts []string, err error) {
	sets := make([]document.SectionSet, 3)
	for i, text := range [][]byte{origin, draft, active} {
		if sets[i], err = sectionsOf(text); err != nil {
			return nil, nil, err
		}
	}
	mine, theirs := document.Diff(sets[0], sets[1]), document.Diff(sets[0], sets[2])
	mine, conflicts = resolve(mine, theirs)
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

// sectionsOf returns the sections of a valid text, none for an empty one.
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

// resolve returns mine without the deletions that theirs has as well, and the
// keys that both changed differently.
func resolve(mine, theirs document.Delta) (document.Delta, []string) {
	gone, changed := map[string]bool{}, map[string]string{}
	for _, key := range theirs.Deleted {
		gone[key] = true
	}
	for _, s := range theirs.Changed {
		changed[s.Key] = string(s.Data)
	}
	out := document.Delta{Changed: mine.Changed}
	var conflicts []string
	for _, s := range mine.Changed {
		data, both := changed[s.Key]
		if gone[s.Key] || both && data != string(s.Data) {
			conflicts = append(conflicts, s.Key)
		}
	}
	for _, key := range mine.Deleted {
		if _, both := changed[key]; both {
			conflicts = append(conflicts, key)
		}
		if !gone[key] {
			out.Deleted = append(out.Deleted, key)
		}
	}
	return out, conflicts
}
