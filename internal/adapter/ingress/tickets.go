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

// Tickets decides about requests that carry a ticket.
type Tickets interface {
	// Issue returns up to n tickets.
	Issue(n int) ([]ticket.Ticket, error)
	// Admit decides about a request.
	Admit(tk ticket.Ticket, fp ticket.Fingerprint) ticket.Admission
	// End stores the outcome of a run that Admit started.
	End(id ticket.ID, run uint32, end ticket.Completion)
	// Relay passes a request on to the host that can decide about its ticket.
	Relay(ctx context.Context, tk ticket.Ticket, to ticket.Admission, r port.RelayedRequest) (port.RelayedResponse, error)
}

// maxTicketsPerCall bounds the tickets that one call draws.
const maxTicketsPerCall = 64

// maxRelayedBytes bounds the body of a request that is relayed to the host
// that issued its ticket; a call between hosts takes at most 4 MiB.
const maxRelayedBytes = 1 << 20

// IssuedTickets is the answer to a draw of tickets.
type TicketResponse struct {
	Tickets   []string  `json:"tickets"`
	ExpiresAt time.Time `json:"expires_at"`
}

func (s *Server) serveTickets(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		s.refuse(w, notRun(http.StatusMethodNotAllowed, "bad_method", "tickets are drawn with POST"))
		return
	}
	issued, problem := s.issue(r.URL.Query().Get("count"))
	if problem != nil {
		s.refuse(w, problem)
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
		return TicketResponse{}, notRun(http.StatusBadRequest, "bad_count", fmt.Sprintf("count is %q, want 1 to %d", count, maxTicketsPerCall))
	}
	list, err := s.cfg.Tickets.Issue(n)
	if err != nil {
		return TicketResponse{}, unavailable("no_tickets", err.Error(), time.Second)
	}
	out := TicketResponse{ExpiresAt: list[0].Expiry.UTC()}
	for _, tk := range list {
		out.Tickets = append(out.Tickets, tk.String())
	}
	return out, nil
}

// relayedKey marks the context of a request that another host relayed, which
// must not be relayed again.
type relayedKey struct{}

// ServeRelayed serves a request that another host passed on because this one
// can decide about its ticket.
func (s *Server) ServeRelayed(ctx context.Context, r port.RelayedRequest) port.RelayedResponse {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w := &memoryWriter{header: http.Header{}}
	req, err := relayedRequest(ctx, r)
	if err != nil {
		unknown(http.StatusBadRequest, "bad_request", "the relayed request is malformed").write(w, &s.cfg.Dialect)
		return w.response()
	}
	req.Header = r.Header
	req.Host = r.Host
	req.Header.Set(s.cfg.Dialect.Ticket, r.Ticket)
	req.Header.Set(s.cfg.Dialect.Deadline, strconv.FormatInt(max(r.TimeLeft.Milliseconds(), 1), 10))
	if !s.serveRecovering(w, req) {
		w = &memoryWriter{header: http.Header{}}
		unknown(http.StatusBadGateway, "response_broke_off", "the response broke off; the request may have run").write(w, &s.cfg.Dialect)
	}
	return w.response()
}

// relayedRequest restores the request. The target of a request is parsed as
// net/http does it for a caller's: url.Parse would take "//a/b" for a host.
func relayedRequest(ctx context.Context, r port.RelayedRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, err
	}
	ctx = context.WithValue(ctx, relayedKey{}, true)
	req, err := http.NewRequestWithContext(ctx, r.Method, "/", bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.URL = target
	return req, nil
}

// serveRecovering serves a request outside of http.Server, which would recover
// the panic that aborts a response. It returns false when there was one.
func (s *Server) serveRecovering(w http.ResponseWriter, r *http.Request) (ok bool) {
	defer func() {
		if !ok {
			_ = recover()
		}
	}()
	if problem := s.serveRequest(w, r, nil); problem != nil {
		s.refuse(w, problem)
	}
	return true
}

// runTicketed asks the ticket's table whether the request may run.
func (q *request) runTicketed(ctx context.Context, tk ticket.Ticket) *Problem {
	target := q.r.URL.RequestURI()
	admission := q.server.cfg.Tickets.Admit(tk, ticket.NewFingerprint(q.r.Method, target, q.bodyHash()))
	switch admission.Verdict {
	case ticket.Run:
		return q.runAdmitted(ctx, tk, admission.Run)
	case ticket.Stored:
		q.repeat(admission.Response)
		return nil
	case ticket.OtherHost:
		return q.relay(ctx, tk, admission)
	}
	return q.server.verdictProblem(admission.Verdict)
}

// digestHeaders declare a hash of the body.
var digestHeaders = []string{"Content-Digest", "Repr-Digest", "Digest", "Content-Md5"}

// bodyHash identifies the body. The body of an upload streams and has no hash
// before the request is admitted; its declared length and digests stand for it.
func (q *request) bodyHash() [sha256.Size]byte {
	if q.class.Upload == nil {
		return sha256.Sum256(q.body)
	}
	declared := []byte(strconv.FormatInt(q.r.ContentLength, 10))
	for _, name := range digestHeaders {
		for _, value := range q.r.Header[name] {
			// Neither a name nor a value can hold a line feed.
			declared = append(declared, "\n"+name+":"+value...)
		}
	}
	return sha256.Sum256(declared)
}

// runAdmitted runs a request and stores its outcome for repeats. An attempt goes
// on until the deadline when the caller leaves, so that its repeat gets the
// response instead of "unknown".
func (q *request) runAdmitted(ctx context.Context, tk ticket.Ticket, run uint32) *Problem {
	// Until the run ends otherwise, its outcome is unknown, also when the
	// response to the caller is aborted.
	end := ticket.Completion{Outcome: outcome.Unknown}
	defer func() { q.server.cfg.Tickets.End(tk.ID, run, end) }()
	recorder := &recordingWriter{ResponseWriter: q.w}
	q.w = recorder
	work, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.deadline)
	defer cancel()
	problem := q.run(ctx, work)
	if problem != nil {
		end.Outcome = coreOutcome(problem.Outcome)
		return problem
	}
	end.Outcome = coreOutcome(recorder.Header().Get(q.server.cfg.Dialect.Outcome))
	if end.Outcome == outcome.Answered {
		end.Response = recorder.stored()
	}
	return nil
}

func coreOutcome(header string) outcome.Outcome {
	switch header {
	case OutcomeAnswered:
		return outcome.Answered
	case OutcomeNotRun:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// repeat sends a stored response again.
func (q *request) repeat(stored *ticket.Response) {
	h := q.w.Header()
	for _, line := range stored.Headers {
		h.Add(line.Name, line.Value)
	}
	setHeader(h, q.server.cfg.Dialect.Outcome, OutcomeAnswered)
	q.w.WriteHeader(stored.Status)
	_, _ = q.w.Write(stored.Body)
}

// relay passes the request on to the host that issued its ticket, or to that
// host's successor. Whatever goes wrong on the way, the request may have run
// under its ticket before.
func (q *request) relay(ctx context.Context, tk ticket.Ticket, to ticket.Admission) *Problem {
	if q.r.Context().Value(relayedKey{}) != nil {
		return unknown(http.StatusBadGateway, "ticket_elsewhere", "the ticket has moved to another host; ask again")
	}
	if q.class.Upload != nil || len(q.body) > maxRelayedBytes {
		return unknown(http.StatusMisdirectedRequest, "ticket_elsewhere", fmt.Sprintf("a body of this size is not passed on; send it to host %s, which issued the ticket", to.Host))
	}
	response, err := q.server.cfg.Tickets.Relay(ctx, tk, to, port.RelayedRequest{
		Ticket:   tk.String(),
		Method:   q.r.Method,
		URI:      q.r.URL.RequestURI(),
		Host:     q.r.Host,
		Header:   q.r.Header,
		Body:     q.body,
		TimeLeft: time.Until(q.deadline),
	})
	if err != nil {
		return unknown(http.StatusBadGateway, "ticket_host_unreachable", err.Error())
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

// verdictProblem says why a request with a ticket does not run.
func (s *Server) verdictProblem(v ticket.Verdict) *Problem {
	switch v {
	case ticket.InProgress:
		return unknown(http.StatusConflict, "in_progress", "the first request with this ticket is still running; ask again")
	case ticket.AnsweredNotStored:
		p := unknown(http.StatusConflict, "answered_not_stored", "the request ran and was answered, but the response was too large to store")
		p.Outcome = OutcomeAnswered
		return p
	case ticket.OutcomeUnknown:
		return unknown(http.StatusBadGateway, "ended_unknown", "the request was sent once and may have run; it will not be sent again")
	case ticket.NeverAdmitted:
		return notRun(http.StatusConflict, "ticket_lapsed", "the ticket was never used and is not valid any more; draw a new one")
	case ticket.RequestMismatch:
		// A revision that makes the class an upload changes the fingerprint of the
		// same request, so this may be the repeat of one that has run.
		return unknown(http.StatusUnprocessableEntity, "ticket_of_other_request", "the ticket was used for a request with another method, path or body")
	case ticket.Invalid:
		return notRun(http.StatusBadRequest, "bad_ticket", s.cfg.Dialect.Ticket+": the ticket was not issued by the host that it names")
	case ticket.Expired:
		return unknown(http.StatusGone, "ticket_expired", "the ticket has expired and its outcome is not stored any more")
	default:
		return unknown(http.StatusGone, "ticket_host_gone", "the host that issued the ticket has been restarted; the request may have run")
	}
}
