package peer

import "github.com/sapphirehaven/sapphirehaven/internal/core/revision"

// maxRecordsBytes bounds the records in one message. drpc takes messages of at
// most 4 MiB, and one record can have 256 KiB.
const maxRecordsBytes = 2 << 20

// fitting returns how many of the records fit into one message, at least one.
func fitting(records []revision.Record) int {
	bytes := 0
	for i, r := range records {
		bytes += len(r.Data)
		if i > 0 && bytes > maxRecordsBytes {
			return i
		}
	}
	return len(records)
}
