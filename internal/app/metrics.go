package app

import "github.com/VictoriaMetrics/metrics"

// Metrics of the active configuration.
var (
	configurationRevision = metrics.NewGauge("sapphirehaven_configuration_revision", nil)
	// configurationAsOf is the offset of the last applied log record.
	configurationAsOf = metrics.NewGauge("sapphirehaven_configuration_as_of_offset", nil)
)
