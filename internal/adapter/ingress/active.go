package ingress

import (
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
)

// Active is the configuration that requests run under. It is not changed after
// it was put in force; a request uses one from its start to its end.
type ActiveConfig struct {
	Revision uint64
	Routes   *route.Table
	Backends map[ident.ServiceName]*Backend
}

// Backend is a service of the configuration with its dispatcher.
type Backend struct {
	Service *document.Service
	Engine  *engine.Service
	Targets map[ident.TargetID]Endpoint
	Classes map[ident.ClassName]*document.Class
}

// Endpoint tells where a target is.
type Endpoint struct {
	// Address is IP:port.
	Address string
	Region  ident.Region
}
