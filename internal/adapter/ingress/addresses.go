package ingress

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// Addresses is the answer to the question which hosts to use.
type AddressResponse struct {
	Service  string    `json:"service"`
	Revision uint64    `json:"revision"`
	MaxAgeMs int64     `json:"max_age_ms"`
	Hosts    []HostAddress `json:"hosts"`
	// Tickets are issued by the answering host, which is then the first of
	// Hosts. They are left out when it does not serve the service.
	Tickets   []string  `json:"tickets,omitempty"`
	ExpiresAt time.Time `json:"expires_at,omitzero"`
}

// Address is one host of the answer, in order of preference.
type HostAddress struct {
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
	at := s.location(ident.Zone(r.URL.Query().Get("zone")))
	a := AddressResponse{
		Service:  string(name),
		Revision: active.Revision,
		MaxAgeMs: s.cfg.AddressMaxAge.Milliseconds(),
		Hosts:    addresses(s.cfg.Members.Answer(name, backend.Service.ServingHosts, at)),
	}
	if count := r.URL.Query().Get("tickets"); count != "" {
		if problem := s.addTickets(&a, count); problem != nil {
			s.refuse(w, problem)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	setHeader(w.Header(), s.cfg.Dialect.Outcome, OutcomeAnswered)
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(a)
}

// addTickets adds tickets of this host if it serves the service. Tickets of
// another host would make every request with them take a way through this one.
func (s *Server) addTickets(a *AddressResponse, count string) *Problem {
	at := slices.IndexFunc(a.Hosts, func(h HostAddress) bool { return h.Address == s.cfg.CallerAddress })
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
func (s *Server) location(zone ident.Zone) ident.Location {
	if at, ok := s.cfg.Members.Location(zone); ok {
		return at
	}
	return s.cfg.Location
}

func addresses(hosts []port.Host) []HostAddress {
	list := make([]HostAddress, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, HostAddress{
			Address: h.CallerAddress,
			Region:  string(h.Location.Region),
			Zone:    string(h.Location.Zone),
		})
	}
	return list
}
