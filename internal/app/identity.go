package app

import (
	"sync/atomic"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/timeline"
)

// identity identifies this process as the sender of messages. It implements peer.Identity.
type identity struct {
	host        ident.HostID
	incarnation atomic.Uint64
	timeline    *timeline.Timeline
}

func newIdentity(host ident.HostID, incarnation ident.Incarnation, t *timeline.Timeline) *identity {
	id := &identity{host: host, timeline: t}
	id.incarnation.Store(uint64(incarnation))
	return id
}

// Sender implements peer.Identity.
func (i *identity) Sender() port.Sender {
	return port.Sender{Host: i.host, Incarnation: ident.Incarnation(i.incarnation.Load())}
}

// Stamp implements peer.Identity.
func (i *identity) Stamp() event.Stamp { return i.timeline.Stamp() }

// Observe implements peer.Identity.
func (i *identity) Observe(s event.Stamp) { i.timeline.Observe(s) }
