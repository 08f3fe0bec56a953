package port

import (
	"context"
	"fmt"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Registry is the platform's store of the active configuration, the targets and the hosts. A
// StoreUnavailableError means that a call had no effect. After any other error, it may have had one.
type Registry interface {
	// Configuration returns the newest configuration, or nil if there is none, and the position at
	// which to continue reading.
	Configuration(ctx context.Context) (*registry.Configuration, registry.Position, error)
	// ConfigurationSince returns the newest configuration recorded at or after a position, or nil if
	// there is none. It waits for one for up to the given time. A PositionGoneError means that the
	// store has no such position, because it no longer keeps it or was rolled back.
	ConfigurationSince(ctx context.Context, position registry.Position, wait time.Duration) (*registry.Configuration, registry.Position, error)
	// Targets returns the newest record of each target.
	Targets(ctx context.Context) ([]registry.TargetRecord, registry.Position, error)
	// TargetsSince returns the target records at or after a position. A PositionGoneError means that
	// they are no longer kept, or that the store was rolled back.
	TargetsSince(ctx context.Context, position registry.Position) ([]registry.TargetRecord, registry.Position, error)
	// Hosts returns the newest record of each host, and the position of the next one.
	Hosts(ctx context.Context) ([]registry.HostRecord, registry.Position, error)
	// Publish stores records of hosts.
	Publish(ctx context.Context, hosts []registry.Host) error
	// Remove deletes the records of hosts.
	Remove(ctx context.Context, hosts []ident.HostID) error
}

// StoreUnavailableError reports that the store refused a call.
type StoreUnavailableError struct {
	Call   string
	Status int
}

// Error implements error.
func (e *StoreUnavailableError) Error() string {
	return fmt.Sprintf("store: %s refused with status %d", e.Call, e.Status)
}

// StaleResponseError reports a response of an earlier era of the store than another response
// that arrived before it.
type StaleResponseError struct {
	Call        string
	Era, Latest uint64
}

// Error implements error.
func (e *StaleResponseError) Error() string {
	return fmt.Sprintf("store: %s: the response is of era %d, an earlier one was of era %d", e.Call, e.Era, e.Latest)
}

// PositionGoneError reports a position whose records are no longer kept, or that is of an
// earlier era of the store.
type PositionGoneError struct{ Position registry.Position }

// Error implements error.
func (e *PositionGoneError) Error() string {
	return fmt.Sprintf("store: the records at position %s are gone", e.Position)
}
