package ingress

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// Tickets issues tickets and admits the requests that carry them.
type Tickets interface {
	// Issue returns up to n tickets.
	Issue(n int) ([]ticket.Ticket, error)
	// Admit decides whether a request may run.
	Admit(tk ticket.Ticket, fp ticket.Fingerprint) ticket.Admission
	// End stores the outcome of a run that Admit allowed.
	End(id ticket.ID, run uint32, end ticket.Completion)
	// Relay sends a request to the host that is responsible for its ticket.
	Relay(ctx context.Context, tk ticket.Ticket, to ticket.Admission, r port.RelayedRequest) (port.RelayedResponse, error)
}

// maxTicketsPerCall is the maximum number of tickets issued per call.
const maxTicketsPerCall = 64

// maxRelayedBytes is the maximum body size of a request that is relayed to the
// issuer of its ticket. Messages between hosts are limited to 4 MiB.
const maxRelayedBytes = 1 << 20

// TicketResponse is the JSON response of the tickets resource.
type TicketResponse struct {
	Tickets   []string  `json:"tickets"`
	ExpiresAt time.Time `json:"expires_at"`
}

func (s *Server) serveTickets(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		s.writeProblem(w, notRunProblem(http.StatusMethodNotAllowed, "bad_method", "tickets are requested with POST"))
		return
	}
	issued, problem := s.issue(r.URL.Query().Get("count"))
	if problem != nil {
		s.writeProblem(w, problem)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	setHeader(w.Header(), s.cfg.Dialect.Outcome, OutcomeAnswered)
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(issued)
}

func (s *Server) issue(count string) (TicketResponse, *Problem) {
	n, err := strconv.Atoi(count)
	if err != nil || n < 1 || n > maxTicketsPerCall {
		return TicketResponse{}, notRunProblem(http.StatusBadRequest, "bad_count", fmt.Sprintf("count is %q, want 1 to %d", count, maxTicketsPerCall))
	}
	list, err := s.cfg.Tickets.Issue(n)
	if err != nil {
		return TicketResponse{}, unavailableProblem("no_tickets", err.Error(), time.Second)
	}
	out := TicketResponse{ExpiresAt: list[0].Expiry.UTC()}
	for _, tk := range list {
		out.Tickets = append(out.Tickets, tk.String())
	}
	return out, nil
}

// relayedKey is the context key of a request that was relayed by another host and
// must not be relayed again.
type relayedKey struct{}

// ServeRelayed serves a request that another host relayed because this host is
// responsible for its ticket.
func (s *Server) ServeRelayed(ctx context.Context, r port.RelayedRequest) port.RelayedResponse {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w := &bufferWriter{header: http.Header{}}
	req, err := relayedRequest(ctx, r)
	if err != nil {
		unknownOutcomeProblem(http.StatusBadRequest, "bad_request", "the relayed request is malformed").write(w, &s.cfg.Dialect)
		return w.response()
	}
	req.Header = r.Header
	req.Host = r.Host
	req.Header.Set(s.cfg.Dialect.Ticket, r.Ticket)
	req.Header.Set(s.cfg.Dialect.Deadline, strconv.FormatInt(max(r.TimeLeft.Milliseconds(), 1), 10))
	if !s.serveRecovering(w, req) {
		w = &bufferWriter{header: http.Header{}}
		unknownOutcomeProblem(http.StatusBadGateway, "response_broke_off", "the response was truncated; the request may have run").write(w, &s.cfg.Dialect)
	}
	return w.response()
}

// relayedRequest converts a relayed request to an http.Request. The request
// target is parsed with url.ParseRequestURI, as in net/http: url.Parse would take
// the "a" of "//a/b" for a host.
func relayedRequest(ctx context.Context, r port.RelayedRequest) (*http.Request, error) {
	requestTarget, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, err
	}
	ctx = context.WithValue(ctx, relayedKey{}, true)
	req, err := http.NewRequestWithContext(ctx, r.Method, "/", bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.URL, req.RequestURI = requestTarget, r.URI
	return req, nil
}

// serveRecovering serves a request outside of http.Server and therefore recovers
// the panic that aborts a response. It returns false after a panic.
func (s *Server) serveRecovering(w http.ResponseWriter, r *http.Request) (ok bool) {
	defer func() {
		if !ok {
			_ = recover()
		}
	}()
	if problem := s.serveRequest(w, r, nil); problem != nil {
		s.writeProblem(w, problem)
	}
	return true
}

// runTicketed runs the request if the ticket table allows it.
func (q *request) runTicketed(ctx context.Context, tk ticket.Ticket) *Problem {
	uri := q.r.URL.RequestURI()
	admission := q.server.cfg.Tickets.Admit(tk, ticket.NewFingerprint(q.r.Method, uri, q.bodyHash()))
	switch admission.Verdict {
	case ticket.Run:
		return q.runAdmitted(ctx, tk, admission.Run)
	case ticket.Stored:
		q.sendStored(admission.Response)
		return nil
	case ticket.OtherHost:
		return q.relayToIssuer(ctx, tk, admission)
	}
	return q.server.verdictProblem(admission.Verdict)
}

// digestHeaders are the headers that carry a digest of the body.
var digestHeaders = []string{"Content-Digest", "Repr-Digest", "Digest", "Content-Md5"}

// bodyHash returns a hash that identifies the body. The body of an upload is
// streamed and can't be hashed before the request is admitted, so its declared
// length and digest headers are hashed instead.
func (q *request) bodyHash() [sha256.Size]byte {
	if q.class.Upload == nil {
		return q.body.hash()
	}
	declared := []byte(strconv.FormatInt(q.r.ContentLength, 10))
	for _, name := range digestHeaders {
		for _, value := range q.r.Header[name] {
			// A line feed is an unambiguous separator: header names and values can't
			// contain one.
			declared = append(declared, "\n"+name+":"+value...)
		}
	}
	return sha256.Sum256(declared)
}

// runAdmitted runs a request and stores its outcome for retries by the caller. If
// the caller disconnects, an attempt continues until the deadline, so that a
// retry receives the response instead of an unknown outcome.
func (q *request) runAdmitted(ctx context.Context, tk ticket.Ticket, run uint32) *Problem {
	// The outcome stays unknown if the response to the caller is aborted.
	ending := ticket.Completion{Outcome: outcome.Unknown}
	defer func() { q.server.cfg.Tickets.End(tk.ID, run, ending) }()
	recorder := &recordingWriter{ResponseWriter: q.w}
	q.w = recorder
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	problem := q.run(ctx, attemptCtx)
	if problem != nil {
		ending.Outcome = parseOutcome(problem.Outcome)
		return problem
	}
	ending.Outcome = parseOutcome(recorder.Header().Get(q.server.cfg.Dialect.Outcome))
	if ending.Outcome == outcome.Answered {
		ending.Response = recorder.stored()
	}
	return nil
}

func parseOutcome(header string) outcome.Outcome {
	switch header {
	case OutcomeAnswered:
		return outcome.Answered
	case OutcomeNotRun:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// sendStored sends a stored response to a retry of its request.
func (q *request) sendStored(stored *ticket.Response) {
	h := q.w.Header()
	for _, line := range stored.Headers {
		h.Add(line.Name, line.Value)
	}
	setHeader(h, q.server.cfg.Dialect.Outcome, OutcomeAnswered)
	q.w.WriteHeader(stored.Status)
	_, _ = q.w.Write(stored.Body)
}

// relayToIssuer relays the request to the host that issued its ticket, or to the
// successor of that host. All errors have an unknown outcome, because the request
// may have run before with the same ticket.
func (q *request) relayToIssuer(ctx context.Context, tk ticket.Ticket, to ticket.Admission) *Problem {
	if q.r.Context().Value(relayedKey{}) != nil {
		return unknownOutcomeProblem(http.StatusBadGateway, "ticket_elsewhere", "the ticket has moved to another host; retry the request")
	}
	if q.class.Upload != nil || q.body.size() > maxRelayedBytes {
		return unknownOutcomeProblem(http.StatusMisdirectedRequest, "ticket_elsewhere", fmt.Sprintf("a body of this size is not relayed; send the request to host %s, which issued the ticket", to.Host))
	}
	response, err := q.server.cfg.Tickets.Relay(ctx, tk, to, port.RelayedRequest{
		Ticket:   tk.String(),
		Method:   q.r.Method,
		URI:      sentTarget(q.r),
		Host:     q.r.Host,
		Header:   q.r.Header,
		Body:     q.body.bytes(),
		TimeLeft: time.Until(q.deadline),
	})
	if err != nil {
		return unknownOutcomeProblem(http.StatusBadGateway, "ticket_host_unreachable", err.Error())
	}
	copyHeader(q.w.Header(), response.Header)
	q.w.WriteHeader(response.Status)
	_, _ = q.w.Write(response.Body)
	return nil
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// verdictProblem returns the problem for a request that its ticket does not allow
// to run.
func (s *Server) verdictProblem(verdict ticket.Verdict) *Problem {
	switch verdict {
	case ticket.InProgress:
		return unknownOutcomeProblem(http.StatusConflict, "in_progress", "the first request with this ticket is still running; retry later")
	case ticket.AnsweredNotStored:
		p := unknownOutcomeProblem(http.StatusConflict, "answered_not_stored", "the request ran and was answered, but the response was too large to store")
		p.Outcome = OutcomeAnswered
		return p
	case ticket.OutcomeUnknown:
		return unknownOutcomeProblem(http.StatusBadGateway, "ended_unknown", "the request was sent once and may have run; it will not be sent again")
	case ticket.NeverAdmitted:
		return notRunProblem(http.StatusConflict, "ticket_lapsed", "the ticket was never used and is no longer valid; request a new one")
	case ticket.RequestMismatch:
		// A revision that changes the class to an upload also changes the
		// fingerprint of a request, so this may be the retry of one that has run.
		return unknownOutcomeProblem(http.StatusUnprocessableEntity, "ticket_of_other_request", "the ticket was used for a request with another method, path or body")
	case ticket.Invalid:
		return notRunProblem(http.StatusBadRequest, "bad_ticket", s.cfg.Dialect.Ticket+": the ticket was not issued by the host that it names")
	case ticket.Expired:
		return unknownOutcomeProblem(http.StatusGone, "ticket_expired", "the ticket has expired and its outcome is no longer stored")
	default:
		return unknownOutcomeProblem(http.StatusGone, "ticket_host_gone", "the host that issued the ticket has been restarted; the request may have run")
	}
}
