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

// Proposal is a document that an operator hands in.
type Proposal = adminapi.Proposal

// Documents reads and proposes documents.
type Documents interface {
	Active() (adminapi.Document, error)
	Validate(yaml []byte) adminapi.ProposalResult
	Propose(ctx context.Context, p Proposal) adminapi.ProposalResult
	Proposal(id string) adminapi.ProposalResult
	History() []adminapi.HistoryEntry
}

func (s *Server) handleDocuments() {
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

// maxOpenBytes bounds a document that is checked without the token. Parsing
// takes up to about a hundred times its size in memory.
const maxOpenBytes = 1 << 20

// postDocument checks a document (?validate=true, without the token up to
// maxOpenBytes) or proposes it (?base=N, with the token).
func (s *Server) postDocument(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	onlyValidate := query.Get("validate") == "true"
	if !onlyValidate && !s.authorized(w, r) {
		return
	}
	limit := document.Size(document.MaxBytes)
	if onlyValidate && !s.hasToken(r) {
		limit = maxOpenBytes
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorBody{"the document is larger than " + limit.String() + " or broke off; larger ones need the token"})
		return
	}
	if onlyValidate {
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

// validate checks one document at a time, to bound the memory of checks.
func (s *Server) validate(text []byte) adminapi.ProposalResult {
	s.validating.Lock()
	defer s.validating.Unlock()
	return s.documents.Validate(text)
}

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
