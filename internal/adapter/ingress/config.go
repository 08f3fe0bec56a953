package ingress

import (
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
)

// ActiveConfig is an immutable configuration for serving requests. A request
// uses the same ActiveConfig from start to end.
type ActiveConfig struct {
	Revision uint64
	Routes   *route.Table
	// Teams is nil if callers need no key.
	Teams    *team.Directory
	Backends map[ident.ServiceName]*Backend
}

// Backend is a configured service with its dispatcher, targets and classes.
type Backend struct {
	Service *document.Service
	Engine  *engine.Service
	Targets map[ident.TargetID]Endpoint
	Classes map[ident.ClassName]*document.Class
}

// Endpoint is the network location of a target.
type Endpoint struct {
	// Address has the form IP:port.
	Address string
	Region  ident.Region
}
