package app

import (
	"cmp"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// dispatchConfig translates a service of the document for its dispatcher.
func dispatchConfig(revision uint64, doc *document.Document, s *document.Service) dispatch.Config {
	cfg := dispatch.Config{
		Revision:    revision,
		Service:     s.Name,
		Balance:     s.Health.Balance,
		QueueLength: orNone(s.Limits.QueueLength),
		RetryBudget: orNone(s.Retry.Budget),
		SelectByCost:      s.Selection == document.ExpectedCost,
	}
	if s.Health.ProbePath != "" {
		// The serving hosts of a region share the probes of a target.
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
		})
	}
	return cfg
}

func zoneRegions(doc *document.Document) map[ident.Zone]ident.Region {
	regions := map[ident.Zone]ident.Region{}
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			regions[z] = r.Name
		}
	}
	return regions
}

// orNone translates a setting of 0, which the dispatcher takes for the default,
// to the negative value that means none.
func orNone[T int | float64](value T) T {
	if value == 0 {
		return -1
	}
	return value
}
