package port

import (
	"context"
	"net/http"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
)

// ServiceEvidence is a host's health evidence about the targets of a service.
type ServiceEvidence struct {
	Service  ident.ServiceName
	Evidence health.Evidence
}

// RelayedRequest is a request with a ticket that another host issued.
type RelayedRequest struct {
	Ticket   string
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	TimeLeft time.Duration
}

// RelayedResponse is the response of the host that issued the ticket.
type RelayedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// HandoverMessage carries tickets to a successor: either a chunk of the frozen
// table or an update with outcomes that came later.
type HandoverMessage struct {
	Chunk  []byte
	Update []byte
}

// Caller identifies the process that made a call.
type Caller struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
}

// PeerHandler serves the calls of other hosts.
type PeerHandler interface {
	// Records returns log records after an offset. SnapshotNeeded tells that
	// they are no longer kept.
	Records(after int64, limit int) (records []revision.Record, snapshotNeeded bool)
	// Snapshot returns the encoded configuration state.
	Snapshot() ([]byte, error)
	// Push takes new log records and returns the offset applied.
	Push(from Caller, records []revision.Record) (asOf int64)
	// Exchange takes a host's evidence and returns this host's.
	Exchange(from Caller, evidence []ServiceEvidence) []ServiceEvidence
	// Relay serves a request with a ticket of this host.
	Relay(ctx context.Context, from Caller, r RelayedRequest) RelayedResponse
	// Handover takes tickets of a leaving host; an error refuses them.
	Handover(from Caller, m HandoverMessage) (complete bool, err error)
}

// Peers calls other hosts. An error of Relay or Handover does not tell whether
// the other host acted, unless it is a *PeerUnreachableError.
type Peers interface {
	Records(ctx context.Context, address string, after int64, limit int) (records []revision.Record, snapshotNeeded bool, err error)
	Snapshot(ctx context.Context, address string) ([]byte, error)
	Push(ctx context.Context, address string, records []revision.Record) (asOf int64, err error)
	Exchange(ctx context.Context, address string, evidence []ServiceEvidence) ([]ServiceEvidence, error)
	Relay(ctx context.Context, to Host, r RelayedRequest) (RelayedResponse, error)
	Handover(ctx context.Context, to Host, m HandoverMessage) (complete bool, err error)
}

// PeerUnreachableError reports that no connection to a host could be opened, so
// that the call certainly did not reach it.
type PeerUnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *PeerUnreachableError) Error() string {
	return "host " + e.Address + " is unreachable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PeerUnreachableError) Unwrap() error { return e.Cause }

// HandoverRefusedError reports that a successor did not take the tickets.
type HandoverRefusedError struct{ Reason string }

// Error implements error.
func (e *HandoverRefusedError) Error() string {
	return "the successor refused the tickets: " + e.Reason
}
