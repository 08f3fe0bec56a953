package console

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// maxShownErrors limits the number of errors on the review page.
const maxShownErrors = 200

// reviewContent is the content of the review page.
type reviewContent struct {
	Valid      bool
	Errors     []reviewError
	MoreErrors int
	Difference string
	// Active is the active revision. Stale is set if it is not the draft's base.
	Active uint64
	Stale  bool
	// Conflicts are the keys of the sections that the draft and newer revisions
	// changed in different ways.
	Conflicts []string
}

// reviewError is a validation error with the field and the view that show it.
type reviewError struct{ Path, Message, View string }

func (s *Server) postReview(w http.ResponseWriter, r *http.Request) error {
	req, err := parseDraftRequest(r.PostForm)
	if err != nil {
		return err
	}
	return s.renderReview(w, http.StatusOK, req, reviewContent{}, "")
}

// renderReview validates the draft and renders its errors or its difference from
// the active document.
func (s *Server) renderReview(w http.ResponseWriter, status int, req *draftRequest, content reviewContent, problem string) error {
	if err := req.updateState(); err != nil {
		return err
	}
	req.session.Checked = true
	if req.session.View == viewReview {
		req.session.View = ""
	}
	active, err := s.active()
	if err != nil {
		return err
	}
	content.Stale = active.Revision != req.state.baseRevision
	content.Active = active.Revision
	result := s.documents.Validate(req.state.draft)
	content.Valid = result.Result == adminapi.ResultValid
	content.Difference = truncateDifference(result.Difference)
	if !content.Valid {
		content.setErrors(req.state.draft, result)
	}
	return s.renderPage(w, status, "review", page{Title: "Review", Session: &req.session, Problem: problem, Content: content})
}

// setErrors lists the errors with their fields. If document.Parse reports none,
// it lists the errors of the result, which have no field.
func (c *reviewContent) setErrors(text []byte, result adminapi.ProposalResult) {
	_, err := document.Parse(text)
	var fields document.Errors
	errors.As(err, &fields)
	for _, e := range fields {
		c.Errors = append(c.Errors, reviewError{e.Path, e.Message, viewForField(e.Path).String()})
	}
	if len(fields) == 0 {
		for _, text := range result.Errors {
			c.Errors = append(c.Errors, reviewError{Message: text, View: view{}.String()})
		}
	}
	if len(c.Errors) > maxShownErrors {
		c.MoreErrors = len(c.Errors) - maxShownErrors
		c.Errors = c.Errors[:maxShownErrors]
	}
}

// postRebase rebases the draft onto the active revision.
func (s *Server) postRebase(w http.ResponseWriter, r *http.Request) error {
	req, err := parseDraftRequest(r.PostForm)
	if err != nil {
		return err
	}
	if err := req.updateState(); err != nil {
		return err
	}
	active, err := s.active()
	if err != nil {
		return err
	}
	text, conflicts, err := merge(req.state.baseText, req.state.draft, []byte(active.YAML))
	if err != nil {
		return s.renderReview(w, http.StatusUnprocessableEntity, req, reviewContent{}, "The draft cannot be moved to the active revision yet: "+err.Error())
	}
	if req.draft, err = parseDraft(text); err != nil {
		return err
	}
	req.state.baseRevision, req.state.baseText = active.Revision, []byte(active.YAML)
	return s.renderReview(w, http.StatusOK, req, reviewContent{Conflicts: conflicts}, "")
}

// postPropose proposes the draft. It releases the parse slot while it waits for
// the log.
func (s *Server) postPropose(w http.ResponseWriter, r *http.Request) error {
	req, err := parseDraftRequest(r.PostForm)
	if err != nil {
		return err
	}
	if err := req.updateState(); err != nil {
		return err
	}
	if status, problem := s.checkProposeAllowed(r); problem != "" {
		return s.renderReview(w, status, req, reviewContent{}, problem)
	}
	proposal := adminapi.Proposal{YAML: req.state.draft, Base: req.state.baseRevision, Author: req.session.Author, Note: req.session.Note}
	s.releaseSlot()
	result := s.documents.Propose(r.Context(), proposal)
	s.parseSlot <- struct{}{}
	return s.renderResult(w, req, result)
}

// checkProposeAllowed returns the status and the problem that prevent a request
// from proposing. The problem is empty if there is none.
func (s *Server) checkProposeAllowed(r *http.Request) (status int, problem string) {
	switch {
	case !s.auth.Enabled():
		return http.StatusForbidden, "Writing is off: the host has no -admin-token."
	case !s.auth.Valid(r.PostForm.Get("token")):
		return http.StatusUnauthorized, "The token is not valid."
	case strings.TrimSpace(r.PostForm.Get("author")) == "":
		return http.StatusUnprocessableEntity, "The author is missing."
	}
	return 0, ""
}

// resultContent is the content of the result page.
type resultContent struct {
	adminapi.ProposalResult
	// Stale is set if the page offers to rebase the draft onto revision Active.
	Stale  bool
	Active uint64
}

// resultStatuses maps results to HTTP statuses, as the administration API does.
var resultStatuses = map[string]int{
	adminapi.ResultInvalid: http.StatusUnprocessableEntity,
	adminapi.ResultRefused: http.StatusConflict,
	adminapi.ResultUnknown: http.StatusAccepted,
}

// renderResult renders the result of a proposal. The draft request is nil if the
// draft is not available.
func (s *Server) renderResult(w http.ResponseWriter, req *draftRequest, result adminapi.ProposalResult) error {
	content := resultContent{ProposalResult: result}
	content.Difference = truncateDifference(result.Difference)
	p := page{Title: fmt.Sprintf("Result: %s", result.Result)}
	if req != nil && result.Result != adminapi.ResultAccepted {
		active, err := s.documents.Active()
		content.Active = active.Revision
		content.Stale = err == nil && result.Result == adminapi.ResultRefused && active.Revision != req.state.baseRevision
		p.Session = &req.session
	}
	p.Content = content
	status := resultStatuses[result.Result]
	if status == 0 {
		status = http.StatusOK
	}
	return s.renderPage(w, status, "result", p)
}

// postResult queries the result of a proposal again.
func (s *Server) postResult(w http.ResponseWriter, r *http.Request) error {
	result := s.documents.Proposal(r.PostForm.Get("id"))
	if r.PostForm.Get("state") == "" {
		return s.renderResult(w, nil, result)
	}
	req, err := parseDraftRequest(r.PostForm)
	if err != nil {
		return err
	}
	if err := req.updateState(); err != nil {
		return err
	}
	return s.renderResult(w, req, result)
}

// getResult renders the result of a proposal that is linked from the start page.
func (s *Server) getResult(w http.ResponseWriter, r *http.Request) {
	if err := s.renderResult(w, nil, s.documents.Proposal(r.URL.Query().Get("id"))); err != nil {
		s.renderError(w, err)
	}
}
