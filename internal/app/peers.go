package app

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/configlog"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// peerHandler serves the calls of other hosts.
type peerHandler struct{ host *Host }

// Records implements port.PeerHandler.
func (p *peerHandler) Records(after int64, limit int) (records []revision.Record, snapshotNeeded bool) {
	records, err := p.host.follower.RecordsAfter(after, limit)
	var missing *configlog.MissingRecordsError
	return records, errors.As(err, &missing)
}

// Snapshot implements port.PeerHandler.
func (p *peerHandler) Snapshot() ([]byte, error) {
	return logcodec.EncodeSnapshot(p.host.follower.Snapshot())
}

// Push implements port.PeerHandler.
func (p *peerHandler) Push(from port.Caller, records []revision.Record) int64 {
	return p.host.spread.receive(from, records)
}

// Exchange implements port.PeerHandler.
func (p *peerHandler) Exchange(from port.Caller, evidence []port.ServiceEvidence) []port.ServiceEvidence {
	return p.host.evidence.answer(from.Host, evidence)
}

// Relay implements port.PeerHandler.
func (p *peerHandler) Relay(ctx context.Context, _ port.Caller, r port.RelayedRequest) port.RelayedResponse {
	return p.host.ingress.ServeRelayed(ctx, r)
}

// Handover implements port.PeerHandler.
func (p *peerHandler) Handover(_ port.Caller, m port.HandoverMessage) (complete bool, err error) {
	return p.host.tickets.take(m)
}
