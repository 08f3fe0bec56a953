package console

import (
	"reflect"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// table is one page of a list.
type table struct {
	Path, Title string
	Columns     []field
	Rows        []row
	Add         button
	Pager       pager
	Errors      []string
}

// row is an entry of a list: its inputs, or a link to the entry's own page.
type row struct {
	Number int
	Path   string
	Fields []field
	Open   *link
	Counts []link
	Remove button
	Errors []string
	// Found marks the entry that a search led to.
	Found bool
}

// pager leads to the other pages of a list.
type pager struct {
	Path                 string
	Page, Pages, Entries int
	First, Last          string
	Previous, Next       string
}

func newPager(v view, entries int) (pager, int) {
	pages := max(1, (entries+pageSize-1)/pageSize)
	page := min(v.page, pages-1)
	p := pager{Path: v.path, Page: page + 1, Pages: pages, Entries: entries}
	if page > 0 {
		p.First = view{path: v.path}.String()
		p.Previous = view{path: v.path, page: page - 1}.String()
	}
	if page < pages-1 {
		p.Next = view{path: v.path, page: page + 1}.String()
		p.Last = view{path: v.path, page: pages - 1}.String()
	}
	return p, page
}

// table returns a page of a list.
func (f *formBuilder) table(t reflect.Type, v view) table {
	entries := f.draft.count(v.path)
	p, page := newPager(v, entries)
	owner, name := cutField(v.path)
	ownerType, _ := typeAt(owner)
	info := document.Fields(ownerType)[name]
	out := table{
		Path:    v.path,
		Title:   info.Label,
		Columns: f.columns(t.Elem(), v.path),
		Add:     button{"Add " + info.ItemLabel, "add:" + v.path, itemPath(v.path, entries)},
		Pager:   p,
		Errors:  f.errors[v.path],
	}
	for i := page * pageSize; i < min(entries, (page+1)*pageSize); i++ {
		out.Rows = append(out.Rows, f.row(t.Elem(), v.path, i))
	}
	return out
}

// mark highlights the row of an entry.
func (t *table) mark(path string) {
	for i := range t.Rows {
		r := &t.Rows[i]
		r.Found = r.Path == path
		if r.Found && len(r.Fields) > 0 {
			r.Fields[0].Focus = true
		}
	}
}

// columns returns the fields that head a list's columns. Entries with their
// own page show only their name and the size of their lists.
func (f *formBuilder) columns(t reflect.Type, list string) []field {
	entry := itemPath(list, 0)
	if !hasOwnPage(entry) {
		return f.structGroup(t, entry, "").Fields
	}
	columns := []field{{Label: document.Fields(t)["name"].Label}}
	for _, l := range f.counts(t, entry) {
		columns = append(columns, field{Label: l.Label})
	}
	return columns
}

func (f *formBuilder) row(t reflect.Type, list string, i int) row {
	at := itemPath(list, i)
	r := row{Number: i + 1, Path: at, Errors: f.errors[at], Remove: button{"Remove", "remove:" + at, ""}}
	if hasOwnPage(at) {
		r.Open = &link{Label: f.entryTitle(at, i), View: view{path: at}.String()}
		r.Counts = f.counts(t, at)
		return r
	}
	r.Fields = f.structGroup(t, at, "").Fields
	return r
}

// counts returns the sizes of an entry's lists.
func (f *formBuilder) counts(t reflect.Type, path string) []link {
	var counts []link
	for i := range t.NumField() {
		if name := document.YAMLName(t.Field(i)); isStructList(t.Field(i).Type) {
			at := joinPath(path, name)
			counts = append(counts, link{document.Fields(t)[name].Label, view{path: at}.String(), f.draft.count(at)})
		}
	}
	return counts
}
