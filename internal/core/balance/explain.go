package balance

import (
	"slices"
	"time"
)

// Clone returns a copy that shares no state with the load.
func (r *OtherLoad) Clone() OtherLoad {
	out := *r
	out.peerReports = slices.Clone(r.peerReports)
	return out
}

// Source is the origin of the reports that OtherLoad.Load uses.
type Source string

// Sources of reports.
const (
	FromTarget Source = "target"
	FromHosts  Source = "hosts"
)

// Report returns the source and the age of the newest report that Load uses, and false if there is none
// or it has expired.
func (r *OtherLoad) Report(now time.Time) (source Source, age time.Duration, ok bool) {
	if age := now.Sub(r.targetReport.at); age < r.lifetime() {
		return FromTarget, age, true
	}
	for _, p := range r.peerReports {
		if a := now.Sub(p.at); a < r.lifetime() && (!ok || a < age) {
			age, ok = a, true
		}
	}
	return FromHosts, age, ok
}
