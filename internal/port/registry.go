package port

import (
	"context"
	"fmt"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Registry is the platform's store of the configuration in force, of targets and
// of hosts. A StoreUnavailableError means that a call was certainly not carried
// out; any other error means that it may have been.
type Registry interface {
	// Configuration returns the newest configuration, nil if there is none, and
	// the position from which to read on.
	Configuration(ctx context.Context) (*registry.Configuration, int64, error)
	// ConfigurationSince returns the newest configuration recorded from a position
	// on, nil if there is none. It waits up to wait for one.
	ConfigurationSince(ctx context.Context, position int64, wait time.Duration) (*registry.Configuration, int64, error)
	// Targets returns the newest record of every target.
	Targets(ctx context.Context) ([]registry.TargetRecord, int64, error)
	// TargetsSince returns the records from a position on. A PositionGoneError
	// means that they are no longer kept.
	TargetsSince(ctx context.Context, position int64) ([]registry.TargetRecord, int64, error)
	// Hosts returns the newest record of every host.
	Hosts(ctx context.Context) ([]registry.HostRecord, error)
	// Publish records hosts.
	Publish(ctx context.Context, hosts []registry.Host) error
}

// StoreUnavailableError reports that the store did not take a call.
type StoreUnavailableError struct {
	Call   string
	Status int
}

// Error implements error.
func (e *StoreUnavailableError) Error() string {
	return fmt.Sprintf("store: %s was refused with status %d", e.Call, e.Status)
}

// PositionGoneError reports a position whose records are no longer kept.
type PositionGoneError struct{ Position int64 }

// Error implements error.
func (e *PositionGoneError) Error() string {
	return fmt.Sprintf("store: the records from position %d on are no longer kept", e.Position)
}
