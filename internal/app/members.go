package app

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// hostListInterval is the time between two reads of the platform's host list.
const hostListInterval = time.Second

// listedMembers takes its members from the platform's host list alone.
type listedMembers struct {
	list port.HostList
	self port.Host
	log  logrus.FieldLogger

	mu    sync.Mutex
	hosts []port.Host
}

// run reads the list until ctx ends.
func (m *listedMembers) run(ctx context.Context) {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		m.refresh(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *listedMembers) refresh(ctx context.Context) {
	hosts, err := m.list.Hosts(ctx)
	if err != nil {
		m.log.WithError(err).Warn("the host list could not be read")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = hosts
}

// All returns the known hosts, this one included.
func (m *listedMembers) All() []port.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := []port.Host{m.self}
	for _, h := range m.hosts {
		if h.ID != m.self.ID {
			all = append(all, h)
		}
	}
	return all
}

// Serving implements ingress.Members.
func (m *listedMembers) Serving() []port.Host {
	var live []port.Host
	for _, h := range m.All() {
		if !h.Leaving {
			live = append(live, h)
		}
	}
	return live
}
