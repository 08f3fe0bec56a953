// Package admin serves the administration interface: status, timeline, metrics, configuration documents
// and the console.
package admin

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/console"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
)

// Host provides the state of a host for the administration interface.
type Host interface {
	Status() adminapi.Status
	Members() []adminapi.Member
	Timeline() []adminapi.Event
	// Explain returns what the host would do now with a request, without an effect.
	Explain(q adminapi.Question) adminapi.Explanation
}

// Server serves the administration interface.
type Server struct {
	// validating serializes the validation of documents.
	validating sync.Mutex
	// explaining serializes explanations: each of them locks the service of its request for a moment.
	explaining sync.Mutex

	host      Host
	documents Documents
	token     adminToken
	mux       *mux.Router
}

// New returns a server. An empty token disables writing.
func New(host Host, documents Documents, token string) *Server {
	s := &Server{host: host, documents: documents, token: adminToken(token), mux: mux.NewRouter()}
	get := func(path string, value func() any) {
		s.mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, value()) }).Methods(http.MethodGet)
	}
	get(adminapi.PathStatus, func() any { return host.Status() })
	get(adminapi.PathMembers, func() any { return host.Members() })
	get(adminapi.PathTimeline, func() any { return host.Timeline() })
	s.mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) }).Methods(http.MethodGet)
	s.mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }).Methods(http.MethodGet)
	s.mux.HandleFunc(adminapi.PathExplain, s.getExplanation).Methods(http.MethodGet)
	s.registerDocuments()
	s.mux.Handle(strings.TrimSuffix(console.Prefix, "/"), http.RedirectHandler(console.Prefix, http.StatusMovedPermanently))
	s.mux.PathPrefix(console.Prefix).Handler(console.New(documents, s.token))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// authorized reports whether the request has the valid token, and sends an error response if not.
func (s *Server) authorized(w http.ResponseWriter, r *http.Request) bool {
	if !s.token.Enabled() {
		writeJSON(w, http.StatusForbidden, errorBody{"writing is off: the host has no -admin-token"})
		return false
	}
	if !s.hasToken(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeJSON(w, http.StatusUnauthorized, errorBody{"the Authorization header does not contain a valid token"})
		return false
	}
	return true
}

// hasToken reports whether the request has the valid token.
func (s *Server) hasToken(r *http.Request) bool {
	given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return s.token.Valid(given)
}

// writeJSON sends a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
