package app

import (
	"cmp"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// dispatchConfig converts a service of the configuration document to the configuration of its
// dispatcher.
func dispatchConfig(revision uint64, doc *document.Document, s *document.Service) dispatch.Config {
	cfg := dispatch.Config{
		Revision:     revision,
		Service:      s.Name,
		Balance:      s.Health.Balance,
		QueueLength:  disableIfZero(s.Limits.QueueLength),
		RetryRatio:   disableIfZero(s.Retry.Budget),
		SelectByCost: s.Selection == document.ExpectedCost,
	}
	if s.Health.ProbePath != "" {
		// The serving hosts of a region divide the probes of a target among them, so each probes at
		// a multiple of the interval.
		cfg.ProbeInterval = time.Duration(s.Health.ProbeInterval) * time.Duration(s.ServingHosts)
	}
	regions := zoneRegions(doc)
	for _, t := range s.Targets {
		cfg.Targets = append(cfg.Targets, dispatch.Target{
			ID:             t.Name,
			Location:       ident.Location{Region: regions[t.Zone], Zone: t.Zone},
			Slots:          t.Slots,
			MaxConnections: t.Connections,
		})
	}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, dispatch.Class{
			Name:           c.Name,
			Idempotent:     c.Idempotent,
			Upload:         c.Upload != nil,
			Floor:          c.Floor,
			Deadline:       time.Duration(c.Deadline),
			AttemptTimeout: time.Duration(c.AttemptTimeout),
			MaxAttempts:    cmp.Or(c.MaxAttempts, s.Retry.MaxAttempts),
			Objective:      time.Duration(c.Objective),
			Priority:       c.Priority,
			LargeBodies:    c.LargeBodies,
			LargeResponses: c.LargeResponses,
		})
	}
	return cfg
}

// zoneRegions maps each availability zone of the document to its region.
func zoneRegions(doc *document.Document) map[ident.Zone]ident.Region {
	regions := map[ident.Zone]ident.Region{}
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			regions[z] = r.Name
		}
	}
	return regions
}

// disableIfZero returns -1 for a setting of 0. The dispatcher uses its default for 0 and disables
// the feature for a negative value.
func disableIfZero[T int | float64](value T) T {
	if value == 0 {
		return -1
	}
	return value
}
