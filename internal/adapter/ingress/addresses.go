package ingress

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// AddressResponse is the JSON response of the addresses resource. It lists the
// hosts that a caller should use for a service.
type AddressResponse struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	MaxAgeMs int64  `json:"max_age_ms"`
	// Hosts is sorted by preference, most preferred first.
	Hosts []HostAddress `json:"hosts"`
	// Tickets are issued by the responding host, which is then first in Hosts.
	// They are omitted if that host is not in the service's serving set.
	Tickets   []string  `json:"tickets,omitempty"`
	ExpiresAt time.Time `json:"expires_at,omitzero"`
}

// HostAddress is the address and location of a host.
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
	callerLocation := s.location(ident.Zone(r.URL.Query().Get("zone")))
	response := AddressResponse{
		Service:  string(name),
		Revision: active.Revision,
		MaxAgeMs: s.cfg.AddressMaxAge.Milliseconds(),
		Hosts:    hostAddresses(s.cfg.Members.HostsFor(name, backend.Service.ServingHosts, callerLocation)),
	}
	if count := r.URL.Query().Get("tickets"); count != "" {
		if problem := s.addTickets(&response, count); problem != nil {
			s.refuse(w, problem)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	setHeader(w.Header(), s.cfg.Dialect.Outcome, OutcomeAnswered)
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(response)
}

// addTickets adds tickets issued by this host and moves it to the front of the
// list. It adds none if this host is not listed, because requests that carry its
// tickets would then be relayed through it by the listed hosts.
func (s *Server) addTickets(response *AddressResponse, count string) *Problem {
	index := slices.IndexFunc(response.Hosts, func(h HostAddress) bool { return h.Address == s.cfg.CallerAddress })
	if index < 0 {
		return nil
	}
	issued, problem := s.issue(count)
	if problem != nil {
		return problem
	}
	self := response.Hosts[index]
	response.Hosts = slices.Insert(slices.Delete(response.Hosts, index, index+1), 0, self)
	response.Tickets, response.ExpiresAt = issued.Tickets, issued.ExpiresAt
	return nil
}

// location returns the location of the caller's zone, or the host's location if
// the zone is unknown.
func (s *Server) location(zone ident.Zone) ident.Location {
	if at, ok := s.cfg.Members.Location(zone); ok {
		return at
	}
	return s.cfg.Location
}

func hostAddresses(hosts []port.Host) []HostAddress {
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
