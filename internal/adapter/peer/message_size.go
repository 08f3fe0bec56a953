package peer

import "github.com/sapphirehaven/sapphirehaven/internal/core/revision"

// maxRecordsBytes bounds the records in one message. drpc accepts messages of at
// most 4 MiB, and one record can have 256 KiB.
const maxRecordsBytes = 2 << 20

// countPerMessage returns the number of leading records that fit into one message. A
// single record always fits.
func countPerMessage(records []revision.Record) int {
	bytes := 0
	for i, r := range records {
		bytes += len(r.Data)
		if i > 0 && bytes > maxRecordsBytes {
			return i
		}
	}
	return len(records)
}
