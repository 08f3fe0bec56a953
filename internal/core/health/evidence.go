package health

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Evidence is what one serving host tells the others about the targets of a
// service. It travels between hosts and can arrive late, twice or never.
type Evidence struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	Targets  []TargetEvidence
}

// TargetEvidence is one host's view of one target.
type TargetEvidence struct {
	Target ident.TargetID
	// Score is the sequential test's statistic on that host's own attempts.
	Score float64
	// Attempts is the number of attempts that the statistic rests on.
	Attempts uint32
	// InFlight is the number of that host's attempts at the target.
	InFlight uint32
	// Draining tells that the host saw the target announce draining.
	Draining bool
}

// Evidence returns this host's report for the other serving hosts.
func (t *Tracker) Evidence(time.Time) Evidence { return Evidence{} }

// Merge takes the report of another serving host.
func (t *Tracker) Merge(time.Time, Evidence) []Change { return nil }
