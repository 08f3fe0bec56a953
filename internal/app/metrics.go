package app

import "github.com/VictoriaMetrics/metrics"

// State of the configuration.
var (
	configurationRevision = metrics.NewGauge("sapphirehaven_configuration_revision", nil)
	// configurationAsOf is the offset of the last log record that was applied.
	configurationAsOf = metrics.NewGauge("sapphirehaven_configuration_as_of_offset", nil)
)
