package console

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// maxShownErrors bounds the errors on the review page.
const maxShownErrors = 200

// reviewContent is the content of the review page.
type reviewContent struct {
	Valid      bool
	Errors     []reviewError
	MoreErrors int
	Difference string
	// Active is the active revision if it is not the draft's base any more.
	Active uint64
	Stale  bool
	// Conflicts are the sections that the draft and other revisions changed.
	Conflicts []string
}

// reviewError is an error with the page and the field that show it.
type reviewError struct{ Path, Message, View string }

func (s *Server) postReview(w http.ResponseWriter, r *http.Request) error {
	k, err := open(r.PostForm)
	if err != nil {
		return err
	}
	return s.showReview(w, http.StatusOK, k, reviewContent{}, "")
}

// showReview validates the draft and shows its errors or its difference.
func (s *Server) showReview(w http.ResponseWriter, status int, k *work, content reviewContent, problem string) error {
	if err := k.save(); err != nil {
		return err
	}
	k.session.Checked = true
	if k.session.View == viewReview {
		k.session.View = ""
	}
	active, err := s.active()
	if err != nil {
		return err
	}
	content.Stale = active.Revision != k.state.base
	content.Active = active.Revision
	result := s.documents.Validate(k.state.draft)
	content.Valid = result.Result == adminapi.ResultValid
	content.Difference = shorten(result.Difference)
	if !content.Valid {
		content.setErrors(k.state.draft, result)
	}
	return s.show(w, status, "review", page{Title: "Review", Session: &k.session, Problem: problem, Content: content})
}

// setErrors lists the errors by field. Errors that document.Parse does not
// find, and so have no field, are taken from the result.
func (c *reviewContent) setErrors(text []byte, result adminapi.ProposalResult) {
	_, err := document.Parse(text)
	var fields document.Errors
	errors.As(err, &fields)
	for _, e := range fields {
		c.Errors = append(c.Errors, reviewError{e.Path, e.Message, viewOf(e.Path).String()})
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

// postRebase takes the draft to the active revision.
func (s *Server) postRebase(w http.ResponseWriter, r *http.Request) error {
	k, err := open(r.PostForm)
	if err != nil {
		return err
	}
	if err := k.save(); err != nil {
		return err
	}
	active, err := s.active()
	if err != nil {
		return err
	}
	text, conflicts, err := merge(k.state.origin, k.state.draft, []byte(active.YAML))
	if err != nil {
		return s.showReview(w, http.StatusUnprocessableEntity, k, reviewContent{}, "The draft cannot be moved to the active revision yet: "+err.Error())
	}
	if k.draft, err = parseDraft(text); err != nil {
		return err
	}
	k.state.base, k.state.origin = active.Revision, []byte(active.YAML)
	return s.showReview(w, http.StatusOK, k, reviewContent{Conflicts: conflicts}, "")
}

// postPropose proposes the draft. It gives up the slot while it waits for the log.
func (s *Server) postPropose(w http.ResponseWriter, r *http.Request) error {
	k, err := open(r.PostForm)
	if err != nil {
		return err
	}
	if err := k.save(); err != nil {
		return err
	}
	if status, problem := s.mayPropose(r); problem != "" {
		return s.showReview(w, status, k, reviewContent{}, problem)
	}
	proposal := adminapi.Proposal{YAML: k.state.draft, Base: k.state.base, Author: k.session.Author, Note: k.session.Note}
	s.release()
	result := s.documents.Propose(r.Context(), proposal)
	s.slot <- struct{}{}
	return s.showResult(w, k, result)
}

// mayPropose returns what keeps a request from proposing, empty if nothing does.
func (s *Server) mayPropose(r *http.Request) (status int, problem string) {
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
	// Stale offers to move the draft to the active revision.
	Stale  bool
	Active uint64
}

// resultStatuses are those of the administration API.
var resultStatuses = map[string]int{
	adminapi.ResultInvalid: http.StatusUnprocessableEntity,
	adminapi.ResultRefused: http.StatusConflict,
	adminapi.ResultUnknown: http.StatusAccepted,
}

// showResult shows what became of a proposal; k is nil when the draft is not known.
func (s *Server) showResult(w http.ResponseWriter, k *work, result adminapi.ProposalResult) error {
	content := resultContent{ProposalResult: result}
	content.Difference = shorten(result.Difference)
	p := page{Title: fmt.Sprintf("Result: %s", result.Result)}
	if k != nil && result.Result != adminapi.ResultAccepted {
		active, err := s.documents.Active()
		content.Active = active.Revision
		content.Stale = err == nil && result.Result == adminapi.ResultRefused && active.Revision != k.state.base
		p.Session = &k.session
	}
	p.Content = content
	status := resultStatuses[result.Result]
	if status == 0 {
		status = http.StatusOK
	}
	return s.show(w, status, "result", p)
}

// postResult asks again what became of a proposal.
func (s *Server) postResult(w http.ResponseWriter, r *http.Request) error {
	result := s.documents.Proposal(r.PostForm.Get("id"))
	if r.PostForm.Get("state") == "" {
		return s.showResult(w, nil, result)
	}
	k, err := open(r.PostForm)
	if err != nil {
		return err
	}
	if err := k.save(); err != nil {
		return err
	}
	return s.showResult(w, k, result)
}

// getResult answers the link of the start page's history.
func (s *Server) getResult(w http.ResponseWriter, r *http.Request) {
	if err := s.showResult(w, nil, s.documents.Proposal(r.URL.Query().Get("id"))); err != nil {
		s.showError(w, err)
	}
}
