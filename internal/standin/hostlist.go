package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// HostEntry is a host in the platform's host list.
type HostEntry struct {
	ID            string `json:"id"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	AdminAddress  string `json:"admin_address"`
	Region        string `json:"region"`
	Zone          string `json:"zone"`
	// State is live or leaving.
	State string `json:"state"`
}

// HostList simulates the platform's host list. Changes become visible after Lag.
type HostList struct {
	Lag time.Duration

	mu      sync.Mutex
	outage  bool
	changes []hostChange
}

type hostChange struct {
	at      time.Time
	entry   HostEntry
	removed bool
}

// HostListFaults configures fault injection for the host list.
type HostListFaults struct {
	Outage bool `json:"outage"`
}

// Handler returns the HTTP handler of the host list.
func (l *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		unavailable := l.outage
		l.mu.Unlock()
		if unavailable {
			http.Error(w, "host list unavailable", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, map[string]any{"hosts": l.Entries()})
	})
	mux.HandleFunc("PUT /v1/hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		var e HostEntry
		if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.ID = r.PathValue("id")
		l.addChange(hostChange{entry: e})
	})
	mux.HandleFunc("DELETE /v1/hosts/{id}", func(_ http.ResponseWriter, r *http.Request) {
		l.addChange(hostChange{entry: HostEntry{ID: r.PathValue("id")}, removed: true})
	})
	mux.HandleFunc("PUT "+FaultPath, func(w http.ResponseWriter, r *http.Request) {
		var f HostListFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.outage = f.Outage
	})
	return mux
}

func (l *HostList) addChange(c hostChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now()
	l.changes = append(l.changes, c)
}

// Entries returns the hosts that are visible in the list now.
func (l *HostList) Entries() []HostEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := time.Now().Add(-l.Lag)
	index := map[string]int{}
	entries := []HostEntry{}
	for _, c := range l.changes {
		if c.at.After(cutoff) {
			continue
		}
		i, known := index[c.entry.ID]
		switch {
		case c.removed && known:
			entries[i].State = "removed"
		case known:
			entries[i] = c.entry
		case !c.removed:
			index[c.entry.ID] = len(entries)
			entries = append(entries, c.entry)
		}
	}
	present := entries[:0]
	for _, e := range entries {
		if e.State != "removed" {
			present = append(present, e)
		}
	}
	return present
}
