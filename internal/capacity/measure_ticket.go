package capacity

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
)

func measureTicket(cfg Config, s *Slopes) error {
	self := ticket.Issuer{Host: hostID(0), Incarnation: 1}
	const count = 20_000
	var tickets []ticket.Ticket
	var err error
	admitted := func(end ticket.Completion) float64 {
		return heldBytes(func() any {
			t := ticket.New(ticket.DefaultConfig(), self, ticket.Key{}, epoch)
			if tickets, err = t.Issue(epoch, count); err != nil {
				return nil
			}
			for _, tk := range tickets {
				a := t.Admit(epoch, tk, ticket.Fingerprint{})
				t.Complete(epoch, tk.ID, a.Run, end)
			}
			tickets = tickets[:1]
			return t
		}) / count
	}
	bytes := admitted(ticket.Completion{Outcome: outcome.Answered, Response: &ticket.Response{Status: 200}})
	if err != nil {
		return err
	}
	s.add("ticket.wire", float64(len(tickets[0].String())), "bytes", "one ticket in an address answer (`ticket.Ticket.String`)")
	s.add("ticket.state", bytes, "bytes", "an admitted ticket with an empty response until it expires (live heap of `ticket.Table`)")
	t := ticket.New(ticket.DefaultConfig(), self, ticket.Key{}, epoch)
	now := epoch
	s.add("ticket.time", perCall(cfg, func() {
		now = now.Add(50 * time.Millisecond)
		list, issueErr := t.Issue(now, 1)
		if issueErr != nil {
			err = issueErr
			return
		}
		a := t.Admit(now, list[0], ticket.Fingerprint{})
		t.Complete(now, list[0].ID, a.Run, ticket.Completion{Outcome: outcome.Answered})
	}), "ns", "issue, admission and end of one ticket, expiry of an older one included")
	return err
}
