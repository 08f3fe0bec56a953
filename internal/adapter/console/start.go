package console

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// maxHistory bounds the decisions on the start page.
const maxHistory = 10

// startContent is the content of the start page.
type startContent struct {
	Active  adminapi.Document
	History []adminapi.HistoryEntry
	// Text and Errors are those of a pasted document that was refused.
	Text   string
	Errors []string
}

func (s *Server) getStart(w http.ResponseWriter, _ *http.Request) {
	if err := s.showStart(w, http.StatusOK, startContent{}); err != nil {
		s.showError(w, err)
	}
}

func (s *Server) showStart(w http.ResponseWriter, status int, content startContent) error {
	active, err := s.active()
	if err != nil {
		return err
	}
	content.Active = active
	content.History = s.documents.History()
	content.History = content.History[:min(len(content.History), maxHistory)]
	return s.show(w, status, "start", page{Title: "Start", Content: content})
}

// postStart begins a session from the source that the form names.
func (s *Server) postStart(w http.ResponseWriter, r *http.Request) error {
	active, err := s.active()
	if err != nil {
		return err
	}
	text, err := startText(r, active)
	if err != nil {
		return err
	}
	d, err := parseDraft(text)
	var invalid document.Errors
	if errors.As(err, &invalid) {
		content := startContent{Errors: invalid.Strings()}
		if len(text) <= maxEditableBytes {
			content.Text = string(text)
		}
		return s.showStart(w, http.StatusUnprocessableEntity, content)
	}
	if err != nil {
		return err
	}
	k := &work{state: state{base: active.Revision, origin: []byte(active.YAML)}, draft: d}
	return s.showView(w, http.StatusOK, k, editContent{})
}

func startText(r *http.Request, active adminapi.Document) ([]byte, error) {
	switch source := r.PostForm.Get("source"); source {
	case "active":
		return []byte(active.YAML), nil
	case "empty":
		return []byte(emptyDraft), nil
	case "yaml":
		return uploadedText(r)
	default:
		return nil, errors.Errorf("source is %q, want active, empty or yaml", source)
	}
}

// uploadedText returns the uploaded file, or the pasted text if there is none.
func uploadedText(r *http.Request) ([]byte, error) {
	file, _, err := r.FormFile("file")
	if err != nil {
		return []byte(pastedText(r)), nil
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxTextBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "uploaded file")
	}
	if len(text) == 0 {
		return []byte(pastedText(r)), nil
	}
	return text, nil
}

// pastedText returns the pasted text with plain line ends; browsers send CRLF.
func pastedText(r *http.Request) string {
	return strings.ReplaceAll(r.PostForm.Get("yaml"), "\r\n", "\n")
}
