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

// maxFieldBytes limits the total size of a request's fields apart from the state
// and an uploaded document.
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
	// Enabled reports whether the host has a token. Without one, proposing is
	// disabled.
	Enabled() bool
	// Valid compares the token in constant time.
	Valid(token string) bool
}

// Server serves the console.
type Server struct {
	documents Documents
	auth      Auth
	mux       *mux.Router
	// parseSlot is a semaphore that admits one request at a time to the handlers
	// that parse a document, so that the console does not take memory and CPU
	// time away from callers' requests.
	parseSlot chan struct{}
}

// New returns a server for the paths below Prefix.
func New(documents Documents, auth Auth) *Server {
	s := &Server{documents: documents, auth: auth, mux: mux.NewRouter(), parseSlot: make(chan struct{}, 1)}
	s.mux.HandleFunc(Prefix, s.getStart).Methods(http.MethodGet)
	s.mux.HandleFunc(pathStyle, getStyle).Methods(http.MethodGet)
	s.mux.HandleFunc(pathResult, s.getResult).Methods(http.MethodGet)
	for path, handle := range map[string]formHandler{
		pathStart:    s.postStart,
		pathEdit:     s.postEdit,
		pathDownload: s.postDownload,
		pathReview:   s.postReview,
		pathRebase:   s.postRebase,
		pathPropose:  s.postPropose,
		pathResult:   s.postResult,
	} {
		s.mux.HandleFunc(path, s.handle(handle)).Methods(http.MethodPost)
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

// formHandler handles a submitted form. It returns the error to show.
type formHandler func(w http.ResponseWriter, r *http.Request) error

// handle returns a handler that reads the form within its size limit, acquires
// the parse slot and calls next.
func (s *Server) handle(next formHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := readForm(w, r); err != nil {
			s.renderError(w, err)
			return
		}
		if !s.acquireSlot(r.Context()) {
			return
		}
		defer s.releaseSlot()
		if err := next(w, r); err != nil {
			s.renderError(w, err)
		}
	}
}

func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.parseSlot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() { <-s.parseSlot }

// readForm reads a URL-encoded or multipart form. It creates no temporary files,
// because the memory limit is as large as the body limit.
func readForm(w http.ResponseWriter, r *http.Request) error {
	const limit = maxTextBytes + maxStateBytes + maxFieldBytes
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	// ParseMultipartForm alone would hide errors of a URL-encoded form.
	if err := r.ParseForm(); err != nil {
		return err
	}
	if err := r.ParseMultipartForm(limit); err != http.ErrNotMultipart {
		return err
	}
	return nil
}
