package console

import (
	"context"
	"embed"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
)

// Prefix is the path below which the console is served.
const Prefix = "/console/"

const (
	pathStart    = Prefix + "start"
	pathEdit     = Prefix + "edit"
	pathDownload = Prefix + "draft.yaml"
	pathReview   = Prefix + "review"
	pathRebase   = Prefix + "rebase"
	pathPropose  = Prefix + "propose"
	pathResult   = Prefix + "result"
	pathStyle    = Prefix + "console.css"
)

// maxFieldBytes bounds the fields of a request other than the state and an
// uploaded document.
const maxFieldBytes = 2 << 20

//go:embed templates/console.css
var styleSheet []byte

//go:embed templates/*.html
var templateFiles embed.FS

// Documents reads and proposes documents.
type Documents interface {
	Active() (adminapi.Document, error)
	Validate(yaml []byte) adminapi.ProposalResult
	Propose(ctx context.Context, p adminapi.Proposal) adminapi.ProposalResult
	Proposal(id string) adminapi.ProposalResult
	History() []adminapi.HistoryEntry
}

// Auth checks the administration token.
type Auth interface {
	// Enabled reports whether the host has a token; without one writing is off.
	Enabled() bool
	// Valid compares in constant time.
	Valid(token string) bool
}

// Server serves the console.
type Server struct {
	documents Documents
	auth      Auth
	mux       *mux.Router
	// slot admits one request at a time to the steps that parse a document, so
	// that the console cannot take the memory and CPU that callers' requests need.
	slot chan struct{}
}

// New returns a server for paths below Prefix.
func New(documents Documents, auth Auth) *Server {
	s := &Server{documents: documents, auth: auth, mux: mux.NewRouter(), slot: make(chan struct{}, 1)}
	s.mux.HandleFunc(Prefix, s.getStart).Methods(http.MethodGet)
	s.mux.HandleFunc(pathStyle, getStyle).Methods(http.MethodGet)
	s.mux.HandleFunc(pathResult, s.getResult).Methods(http.MethodGet)
	for path, step := range map[string]stepFunc{
		pathStart:    s.postStart,
		pathEdit:     s.postEdit,
		pathDownload: s.postDownload,
		pathReview:   s.postReview,
		pathRebase:   s.postRebase,
		pathPropose:  s.postPropose,
		pathResult:   s.postResult,
	} {
		s.mux.HandleFunc(path, s.step(step)).Methods(http.MethodPost)
		s.mux.Handle(path, http.RedirectHandler(Prefix, http.StatusSeeOther)).Methods(http.MethodGet)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'")
	h.Set("X-Frame-Options", "DENY")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Referrer-Policy", "no-referrer")
	h.Set("Cache-Control", "no-store")
	s.mux.ServeHTTP(w, r)
}

func getStyle(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/css; charset=utf-8")
	_, _ = w.Write(styleSheet)
}

// stepFunc handles a submitted form; it returns the error to show.
type stepFunc func(w http.ResponseWriter, r *http.Request) error

// step reads the form within its size limit and waits for the slot.
func (s *Server) step(handle stepFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := readForm(w, r); err != nil {
			s.showError(w, err)
			return
		}
		if !s.acquire(r.Context()) {
			return
		}
		defer s.release()
		if err := handle(w, r); err != nil {
			s.showError(w, err)
		}
	}
}

func (s *Server) acquire(ctx context.Context) bool {
	select {
	case s.slot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) release() { <-s.slot }

// readForm reads a form of either encoding. Nothing spills to disk, because the
// whole body fits in the memory limit.
func readForm(w http.ResponseWriter, r *http.Request) error {
	const limit = maxTextBytes + maxStateBytes + maxFieldBytes
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	// ParseMultipartForm alone would hide an error of a form in the other encoding.
	if err := r.ParseForm(); err != nil {
		return err
	}
	if err := r.ParseMultipartForm(limit); err != http.ErrNotMultipart {
		return err
	}
	return nil
}
