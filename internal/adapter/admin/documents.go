package admin

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Proposal is a document that an operator submits.
type Proposal = adminapi.Proposal

// Documents provides access to configuration documents, proposals and their history.
type Documents interface {
	Active() (adminapi.Document, error)
	Validate(yaml []byte) adminapi.ProposalResult
	Propose(ctx context.Context, p Proposal) adminapi.ProposalResult
	Proposal(id string) adminapi.ProposalResult
	History() []adminapi.HistoryEntry
}

// registerDocuments registers the handlers of the paths for documents.
func (s *Server) registerDocuments() {
	s.mux.HandleFunc(adminapi.PathDocument, s.getDocument).Methods(http.MethodGet)
	s.mux.HandleFunc(adminapi.PathDocument, s.postDocument).Methods(http.MethodPost)
	s.mux.HandleFunc(adminapi.PathHistory, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.documents.History())
	}).Methods(http.MethodGet)
	s.mux.HandleFunc(adminapi.PathProposals+"{id}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, s.documents.Proposal(mux.Vars(r)["id"]))
	}).Methods(http.MethodGet)
}

func (s *Server) getDocument(w http.ResponseWriter, _ *http.Request) {
	doc, err := s.documents.Active()
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, errorBody{err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, doc)
}

// maxUnauthenticatedBytes limits the size of a document that is validated without a token. Parsing uses
// up to about 100 times the size of the document in memory.
const maxUnauthenticatedBytes = 1 << 20

// postDocument validates a document (?validate=true) or proposes it (?base=N). A proposal requires the
// token, as does the validation of a document larger than maxUnauthenticatedBytes.
func (s *Server) postDocument(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	validateOnly := query.Get("validate") == "true"
	if !validateOnly && !s.authorized(w, r) {
		return
	}
	limit := document.Size(document.MaxBytes)
	if validateOnly && !s.hasToken(r) {
		limit = maxUnauthenticatedBytes
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorBody{"the document is larger than " + limit.String() + " or could not be read completely; larger ones require the token"})
		return
	}
	if validateOnly {
		writeResult(w, s.validate(text))
		return
	}
	base, err := strconv.ParseUint(query.Get("base"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{"base: want the revision that the document was written against"})
		return
	}
	writeResult(w, s.documents.Propose(r.Context(), Proposal{YAML: text, Base: base, Author: query.Get("author"), Note: query.Get("note")}))
}

// validate validates one document at a time to limit memory use.
func (s *Server) validate(text []byte) adminapi.ProposalResult {
	s.validating.Lock()
	defer s.validating.Unlock()
	return s.documents.Validate(text)
}

// writeResult sends a result with the matching HTTP status.
func writeResult(w http.ResponseWriter, result adminapi.ProposalResult) {
	status := map[string]int{
		adminapi.ResultInvalid: http.StatusUnprocessableEntity,
		adminapi.ResultRefused: http.StatusConflict,
		adminapi.ResultUnknown: http.StatusAccepted,
	}[result.Result]
	if status == 0 {
		status = http.StatusOK
	}
	writeJSON(w, status, result)
}
