package admin

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
)

const (
	// maxQuestionBytes bounds each parameter of a question. It exceeds what a request line may hold in
	// most configurations.
	maxQuestionBytes = 16 << 10
	// maxMethodBytes is longer than every registered method.
	maxMethodBytes = 32
)

// getExplanation answers the question where the host would send a request. A question that the host
// understands is answered with status 200, also if the request would be refused.
func (s *Server) getExplanation(w http.ResponseWriter, r *http.Request) {
	question, problem := parseQuestion(r.URL.Query())
	if problem != "" {
		writeJSON(w, http.StatusBadRequest, errorBody{problem})
		return
	}
	writeJSON(w, http.StatusOK, s.explain(question))
}

func (s *Server) explain(question adminapi.Question) adminapi.Explanation {
	s.explaining.Lock()
	defer s.explaining.Unlock()
	return s.host.Explain(question)
}

// parseQuestion returns the question in the parameters of a request, and what is wrong with it. The text
// contains no parameter: someone might send a key in place of the name of a team.
func parseQuestion(query url.Values) (q adminapi.Question, problem string) {
	q = adminapi.Question{Method: query.Get("method"), Path: query.Get("path"), HostName: query.Get("host_name"), Team: query.Get("team")}
	switch {
	case q.Method == "" || len(q.Method) > maxMethodBytes || strings.ContainsFunc(q.Method, func(c rune) bool { return c <= ' ' || c > '~' }):
		return q, "method: want the method of the request, such as GET"
	case !strings.HasPrefix(q.Path, "/") || len(q.Path) > maxQuestionBytes:
		return q, "path: want the path of the request as callers send it, beginning with a slash"
	case len(q.HostName) > maxQuestionBytes || len(q.Team) > maxQuestionBytes:
		return q, "host_name, team: too long"
	}
	return q, ""
}
