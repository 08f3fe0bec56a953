package port

import (
	"context"
	"net/http"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
)

// ServiceEvidence is a host's health evidence on the targets of a service.
type ServiceEvidence struct {
	Service  ident.ServiceName
	Evidence health.Evidence
}

// RelayedRequest is a request that is relayed to the host which issued its ticket.
type RelayedRequest struct {
	Ticket string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
}

// RelayedResponse is the response of the host that issued the ticket.
type RelayedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// HandoverMessage transfers tickets to a successor. It holds either a chunk of the closed ticket table
// or an update with outcomes that became known later.
type HandoverMessage struct {
	Chunk  []byte
	Update []byte
}

// Sender identifies the host process that sent a call or datagram.
type Sender struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
}

// PeerHandler serves calls from other hosts.
type PeerHandler interface {
	// Records returns log records after an offset. snapshotNeeded reports that they are no longer
	// kept.
	Records(after int64, limit int) (records []revision.Record, snapshotNeeded bool)
	// Snapshot returns the encoded configuration state.
	Snapshot() ([]byte, error)
	// Push applies new log records and returns the last applied offset.
	Push(from Sender, records []revision.Record) (asOf int64)
	// Exchange merges the evidence of another host and returns this host's evidence.
	Exchange(from Sender, evidence []ServiceEvidence) []ServiceEvidence
	// Relay serves a request whose ticket this host issued.
	Relay(ctx context.Context, from Sender, r RelayedRequest) RelayedResponse
	// Handover accepts tickets from a leaving host or refuses them with an error. complete reports
	// that the successor holds all of them.
	Handover(from Sender, m HandoverMessage) (complete bool, err error)
}

// Peers calls other hosts. After an error of Relay or Handover other than a *PeerUnreachableError, the
// other host may or may not have processed the call.
type Peers interface {
	Records(ctx context.Context, address string, after int64, limit int) (records []revision.Record, snapshotNeeded bool, err error)
	Snapshot(ctx context.Context, address string) ([]byte, error)
	Push(ctx context.Context, address string, records []revision.Record) (asOf int64, err error)
	Exchange(ctx context.Context, address string, evidence []ServiceEvidence) ([]ServiceEvidence, error)
	Relay(ctx context.Context, to Host, r RelayedRequest) (RelayedResponse, error)
	Handover(ctx context.Context, to Host, m HandoverMessage) (complete bool, err error)
}

// PeerUnreachableError reports that no connection to a host could be opened. The host has not received
// the call.
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

// HandoverRefusedError reports that a successor refused tickets.
type HandoverRefusedError struct{ Reason string }

// Error implements error.
func (e *HandoverRefusedError) Error() string {
	return "the successor refused the tickets: " + e.Reason
}
