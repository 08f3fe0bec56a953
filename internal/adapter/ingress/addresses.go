package ingress

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// Addresses is the answer to the question which hosts to use.
type Addresses struct {
	Service  string    `json:"service"`
	Revision uint64    `json:"revision"`
	MaxAgeMs int64     `json:"max_age_ms"`
	Hosts    []Address `json:"hosts"`
	// Tickets are issued by the answering host, which is then the first of
	// Hosts. They are left out when it does not serve the service.
	Tickets   []string  `json:"tickets,omitempty"`
	ExpiresAt time.Time `json:"expires_at,omitzero"`
}

// Address is one host of the answer, in order of preference.
type Address struct {
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
}

func (s *Server) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", http.MethodGet)
		s.refuse(w, notRun(http.StatusMethodNotAllowed, "bad_method", "addresses are read with GET"))
		return
	}
	active := s.active.Load()
	if active == nil {
		s.refuse(w, s.noConfiguration())
		return
	}
	name := ident.ServiceName(r.URL.Query().Get("service"))
	backend := active.Backends[name]
	if backend == nil {
		s.refuse(w, notRun(http.StatusNotFound, "unknown_service", "service: the document has no service \""+string(name)+"\""))
		return
	}
	members := s.cfg.Members.Serving()
	at := s.location(ident.Zone(r.URL.Query().Get("zone")), members)
	a := Addresses{
		Service:  string(name),
		Revision: active.Revision,
		MaxAgeMs: s.cfg.AddressMaxAge.Milliseconds(),
		Hosts:    s.order(name, backend.Service.ServingHosts, at, members),
	}
	if count := r.URL.Query().Get("tickets"); count != "" {
		if problem := s.addTickets(&a, count); problem != nil {
			s.refuse(w, problem)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, OutcomeAnswered)
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(a)
}

// addTickets adds tickets of this host if it serves the service. Tickets of
// another host would make every request with them take a way through this one.
func (s *Server) addTickets(a *Addresses, count string) *Problem {
	at := slices.IndexFunc(a.Hosts, func(h Address) bool { return h.Address == s.cfg.CallerAddress })
	if at < 0 {
		return nil
	}
	issued, problem := s.issue(count)
	if problem != nil {
		return problem
	}
	own := a.Hosts[at]
	a.Hosts = slices.Insert(slices.Delete(a.Hosts, at, at+1), 0, own)
	a.Tickets, a.ExpiresAt = issued.Tickets, issued.ExpiresAt
	return nil
}

// location returns the caller's location; without a known zone it is the
// host's own.
func (s *Server) location(zone ident.Zone, members []port.Host) ident.Location {
	for _, m := range members {
		if zone != "" && m.Location.Zone == zone {
			return m.Location
		}
	}
	return s.cfg.Location
}

func (s *Server) order(service ident.ServiceName, size int, at ident.Location, members []port.Host) []Address {
	byID := make(map[ident.HostID]port.Host, len(members))
	for _, m := range members {
		byID[m.ID] = m
	}
	s.mu.Lock()
	ordered := serving.Answer(service, size, at, ServingHosts(members), s.rng)
	s.mu.Unlock()
	list := make([]Address, 0, len(ordered))
	for _, h := range ordered {
		list = append(list, Address{
			Address: byID[h.ID].CallerAddress,
			Region:  string(h.Location.Region),
			Zone:    string(h.Location.Zone),
		})
	}
	return list
}
