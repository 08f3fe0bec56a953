package configlog

import "github.com/sapphirehaven/sapphirehaven/internal/core/revision"

// window holds the most recently applied records, without gaps.
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

// after returns the records after an offset, limited to limit records and maxBytes
// of data but at least one record. It returns false if the first one is not kept.
func (w *window) after(offset int64, limit, maxBytes int) ([]revision.Record, bool) {
	if len(w.records) == 0 || offset+1 < w.records[0].Offset {
		return nil, false
	}
	skip := min(offset+1-w.records[0].Offset, int64(len(w.records)))
	rest := w.records[skip:]
	rest = rest[:min(limit, len(rest))]
	bytes := 0
	for i, r := range rest {
		bytes += len(r.Data)
		if bytes > maxBytes && i > 0 {
			rest = rest[:i]
			break
		}
	}
	return append([]revision.Record(nil), rest...), true
}
