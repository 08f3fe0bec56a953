package configlog

import "github.com/sapphirehaven/sapphirehaven/internal/core/revision"

// window keeps the newest applied records. They have no gaps.
type window struct {
	maxRecords int
	maxBytes   int
	bytes      int
	records    []revision.Record
}

func (w *window) add(r revision.Record) {
	w.records = append(w.records, r)
	w.bytes += len(r.Data)
	for len(w.records) > w.maxRecords || w.bytes > w.maxBytes {
		w.bytes -= len(w.records[0].Data)
		w.records[0] = revision.Record{}
		w.records = w.records[1:]
	}
}

func (w *window) reset() {
	w.records = nil
	w.bytes = 0
}

// after returns up to limit records after an offset, and false when the first
// one of them is not kept.
func (w *window) after(offset int64, limit int) ([]revision.Record, bool) {
	if len(w.records) == 0 || offset+1 < w.records[0].Offset {
		return nil, false
	}
	skip := min(offset+1-w.records[0].Offset, int64(len(w.records)))
	rest := w.records[skip:]
	return append([]revision.Record(nil), rest[:min(limit, len(rest))]...), true
}
