package admin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// fakeDocuments records the proposals that reach it.
type fakeDocuments struct{ proposed []Proposal }

func (f *fakeDocuments) Active() (adminapi.Document, error) { return adminapi.Document{}, nil }

func (f *fakeDocuments) Validate([]byte) adminapi.ProposalResult {
	return adminapi.ProposalResult{Result: adminapi.ResultValid}
}

func (f *fakeDocuments) Propose(_ context.Context, p Proposal) adminapi.ProposalResult {
	f.proposed = append(f.proposed, p)
	return adminapi.ProposalResult{Result: adminapi.ResultAccepted}
}

func (f *fakeDocuments) Proposal(string) adminapi.ProposalResult { return adminapi.ProposalResult{} }

func (f *fakeDocuments) History() []adminapi.HistoryEntry { return nil }

// zeros is a request body of infinite length.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func post(s *Server, query, token string, body io.Reader) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, adminapi.PathDocument+query, body)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// TestPostDocument guards against accepting proposals without a valid token, size or base, and against
// rejections without a reason.
func TestPostDocument(t *testing.T) {
	for _, c := range []struct {
		name, serverToken, token, query string
		body                            io.Reader
		status                          int
		want                            string
		proposed                        int
	}{
		{"no token", "secret", "", "?base=1", strings.NewReader("x"), 401, "Authorization", 0},
		{"wrong token", "secret", "Secret", "?base=1", strings.NewReader("x"), 401, "Authorization", 0},
		{"writing disabled", "", "", "?base=1", strings.NewReader("x"), 403, "-admin-token", 0},
		{"writing disabled with a token", "", "any", "?base=1", strings.NewReader("x"), 403, "-admin-token", 0},
		{"oversized", "secret", "secret", "?base=1", io.LimitReader(zeros{}, document.MaxBytes+1), 413, "larger than 64MiB", 0},
		{"oversized validation", "secret", "secret", "?validate=true", io.LimitReader(zeros{}, document.MaxBytes+1), 413, "larger than 64MiB", 0},
		{"oversized validation without token", "secret", "", "?validate=true", io.LimitReader(zeros{}, maxUnauthenticatedBytes+1), 413, "larger than 1MiB", 0},
		{"large validation with token", "secret", "secret", "?validate=true", io.LimitReader(zeros{}, maxUnauthenticatedBytes+1), 200, "valid", 0},
		{"no base", "secret", "secret", "", strings.NewReader("x"), 400, "base:", 0},
		{"negative base", "secret", "secret", "?base=-1", strings.NewReader("x"), 400, "base:", 0},
		{"validation without token", "", "", "?validate=true", strings.NewReader("x"), 200, "valid", 0},
		{"proposal", "secret", "secret", "?base=3&author=a&note=n", strings.NewReader("x"), 200, "accepted", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			documents := &fakeDocuments{}
			w := post(New(nil, documents, c.serverToken), c.query, c.token, c.body)
			if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) {
				t.Errorf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
			if len(documents.proposed) != c.proposed {
				t.Errorf("proposed %+v", documents.proposed)
			}
		})
	}
}

// TestConsoleIsMounted guards against a console that is not routed or that does not show whether writing
// is enabled.
func TestConsoleIsMounted(t *testing.T) {
	w := httptest.NewRecorder()
	New(nil, &fakeDocuments{}, "").ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/console/", nil))
	if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), "Writing is off") {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
}
