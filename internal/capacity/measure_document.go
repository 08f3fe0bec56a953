package capacity

import (
	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
)

func measureDocument(cfg Config, s *Slopes) error {
	size := cfg.Size
	full, err := document.Sections(size.document())
	if err != nil {
		return err
	}
	if err := measureDocumentMemory(size, s); err != nil {
		return err
	}
	if err := measureChange(cfg, s, full); err != nil {
		return err
	}
	return measureSnapshot(cfg, s, full)
}

// copySections returns a copy of a section set that shares no memory with it, like
// one that a host decodes from a record.
func copySections(set document.SectionSet) (document.SectionSet, error) {
	list := set.Sections()
	for i := range list {
		list[i] = document.Section{Key: string([]byte(list[i].Key)), Data: append([]byte(nil), list[i].Data...)}
	}
	return document.NewSectionSet(list)
}

func measureDocumentMemory(size Size, s *Slopes) error {
	routes, targets := size, size
	routes.Targets, routes.Services = 1, 1
	targets.Routes = 0
	for _, part := range []struct {
		id, what string
		of       Size
		count    int
	}{
		{"sections.route", "route", routes, size.Routes},
		{"sections.target", "target with its share of the service", targets, size.Targets},
	} {
		set, err := document.Sections(part.of.document())
		if err != nil {
			return err
		}
		var copied document.SectionSet
		bytes := retainedBytes(func() any {
			copied, err = copySections(set)
			return copied
		}, set)
		if err != nil {
			return err
		}
		s.add(part.id, bytes/float64(part.count), "bytes", "sections of one "+part.what+" (live heap of `document.SectionSet`)")
	}
	return measureRouteMemory(routes, s)
}

func measureRouteMemory(size Size, s *Slopes) error {
	set, err := document.Sections(size.document())
	if err != nil {
		return err
	}
	var doc *document.Document
	bytes := retainedBytes(func() any {
		doc, err = document.FromSections(set)
		return doc
	}, set)
	if err != nil {
		return err
	}
	count := float64(size.Routes)
	s.add("document.route", bytes/count, "bytes", "one route of the assembled document (live heap of `document.FromSections`)")
	s.add("table.route", retainedBytes(func() any { return route.New(doc.Routes) }, doc)/count, "bytes", "one route of the route table (live heap of `route.New`)")
	return nil
}

// stateWithDocument returns a state whose current document has the given sections.
func stateWithDocument(set document.SectionSet) (*revision.State, error) {
	state := revision.New(logcodec.Decode)
	p := revision.Proposal{ID: "p0", Delta: document.Diff(document.SectionSet{}, set), ContentHash: set.Hash()}
	records, err := logcodec.Records("set", p)
	if err != nil {
		return nil, err
	}
	for i, data := range records {
		state.Apply(revision.Record{Offset: int64(i), Time: epoch, Data: data})
	}
	if state.Revision() != 1 {
		return nil, errors.New("sample document was rejected")
	}
	return state, nil
}

// measureChange measures a change of one route in a document of the full size.
func measureChange(cfg Config, s *Slopes, full document.SectionSet) error {
	state, err := stateWithDocument(full)
	if err != nil {
		return err
	}
	doc := *state.Document()
	doc.Routes = append([]document.Route(nil), doc.Routes...)
	doc.Routes[7].PathPrefix = "/changed"
	changed, err := document.Sections(&doc)
	if err != nil {
		return err
	}
	p := revision.Proposal{ID: "0123456789abcdef", Base: 1, Delta: document.Diff(full, changed), ContentHash: changed.Hash(), Author: "operator", Note: "move a route"}
	data, err := logcodec.Encode(p)
	if err != nil {
		return err
	}
	s.add("record.change", float64(len(data)), "bytes", "log record of a change of one route (`logcodec.Encode`)")
	s.add("apply.delta", nsPerCall(cfg, func() { _, _ = document.Apply(full, p.Delta) }), "ns", "delta of one section and content hash at the full size (`document.Apply`)")
	s.add("apply.assemble", nsPerCall(cfg, func() { _, _ = document.FromSections(full) }), "ns", "document from all sections (`document.FromSections`)")
	s.add("apply.check", nsPerCall(cfg, func() { _ = doc.ValidateChange(p.Delta) }), "ns", "check of the changed document, when only routes or targets changed (`Document.ValidateChange`)")
	s.add("apply.validate", nsPerCall(cfg, func() { _ = state.Document().Validate() }), "ns", "validation of the whole document, when something else changed (`Document.Validate`)")
	s.add("apply.compile", nsPerCall(cfg, func() { route.New(doc.Routes) }), "ns", "route table from all routes (`route.New`)")
	return nil
}

func measureSnapshot(cfg Config, s *Slopes, full document.SectionSet) error {
	state, err := stateWithDocument(full)
	if err != nil {
		return err
	}
	snap := state.Snapshot()
	data, err := logcodec.EncodeSnapshot(snap)
	if err != nil {
		return err
	}
	records, err := logcodec.Records("set", revision.Checkpoint{Snapshot: snap})
	if err != nil {
		return err
	}
	s.add("snapshot", float64(len(data)), "bytes", "snapshot of the whole document, compressed (`logcodec.EncodeSnapshot`)")
	s.add("snapshot.section", float64(len(data))/float64(full.Len()), "bytes", "the same for one section")
	s.add("checkpoint.records", float64(len(records)), "", "log records of one checkpoint (`logcodec.Records`)")
	s.add("snapshot.encode", nsPerCall(cfg, func() { _, _ = logcodec.EncodeSnapshot(snap) }), "ns", "encoding of a snapshot at the full size")
	s.add("snapshot.adopt", nsPerCall(cfg, func() {
		if got, err := logcodec.DecodeSnapshot(data); err == nil {
			_, _ = revision.New(logcodec.Decode).Adopt(got)
		}
	}), "ns", "decoding and adopting it, which a starting host does")
	return nil
}
