package app

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/admin"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/configlog"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
)

// documents implements admin.Documents over the log.
type documents struct {
	follower *configlog.Follower
	writer   *configlog.Writer
}

// Active returns the document in force.
func (d *documents) Active() (adminapi.Document, error) {
	active := d.follower.ActiveConfig()
	out := adminapi.Document{Revision: active.Revision, Hash: active.Chain.String(), Offset: active.AsOf}
	if active.Document == nil {
		return out, nil
	}
	text, err := yaml.Marshal(active.Document)
	out.YAML = string(text)
	return out, errors.Wrap(err, "document")
}

// Validate checks a document and compares it with the one in force.
func (d *documents) Validate(text []byte) adminapi.ProposalResult {
	_, result := d.check(text)
	return result
}

func (d *documents) check(text []byte) (*document.Document, adminapi.ProposalResult) {
	doc, err := document.Parse(text)
	if err != nil {
		return nil, invalid(err)
	}
	set, err := document.Sections(doc)
	if err != nil {
		return nil, invalid(err)
	}
	active := d.follower.ActiveConfig()
	return doc, adminapi.ProposalResult{
		Result:     adminapi.ResultValid,
		Revision:   active.Revision,
		Hash:       active.Chain.String(),
		Difference: document.DiffText(active.Sections, set),
	}
}

func invalid(err error) adminapi.ProposalResult {
	result := adminapi.ProposalResult{Result: adminapi.ResultInvalid, Errors: []string{err.Error()}}
	var fields document.Errors
	if errors.As(err, &fields) {
		result.Errors = fields.Strings()
	}
	return result
}

// Propose appends a document that was written against the base revision and
// reports what became of it.
func (d *documents) Propose(ctx context.Context, p admin.Proposal) adminapi.ProposalResult {
	doc, checked := d.check(p.YAML)
	if doc == nil {
		return checked
	}
	draft, err := d.follower.Draft(doc, p.Author, p.Note)
	if err != nil {
		return invalid(err)
	}
	if draft.Base != p.Base {
		checked.Result = adminapi.ResultRefused
		checked.Reason = fmt.Sprintf("the document was written against revision %d, but revision %d is in force%s", p.Base, draft.Base, d.winner(p.Base))
		return checked
	}
	if checked.Difference == "" {
		checked.Result = adminapi.ResultRefused
		checked.Reason = "the document equals the one in force"
		return checked
	}
	report, err := d.writer.Propose(ctx, draft)
	if err != nil {
		return invalid(err)
	}
	return d.result(report, checked.Difference)
}

// winner names the document that replaced a revision, if the history has it.
func (d *documents) winner(base uint64) string {
	for _, r := range d.follower.Results() {
		if r.Accepted && r.Revision == base+1 {
			return fmt.Sprintf(": document %s was accepted as revision %d", r.ID, r.Revision)
		}
	}
	return ""
}

func (d *documents) result(r revision.Report, difference string) adminapi.ProposalResult {
	out := decided(r.ID, r.Result)
	switch r.ProposalStatus {
	case revision.ProposalNotAppended:
		out = adminapi.ProposalResult{ID: r.ID, Result: adminapi.ResultRefused, Reason: fmt.Sprintf("the log service did not take the document; nothing changed: %v", r.Err)}
	case revision.ProposalUnknown:
		out = adminapi.ProposalResult{ID: r.ID, Result: adminapi.ResultUnknown, Reason: fmt.Sprintf("the document may still be accepted; ask again with: sapphirectl document status %s (%v)", r.ID, r.Err)}
	}
	out.Difference = difference
	return out
}

func decided(id string, r revision.Result) adminapi.ProposalResult {
	out := adminapi.ProposalResult{ID: id, Result: adminapi.ResultRefused, Offset: r.Offset}
	if r.Accepted {
		out.Result, out.Revision, out.Hash = adminapi.ResultAccepted, r.Revision, r.Chain.String()
		return out
	}
	out.Reason = r.Reason.String()
	if r.Winner != "" {
		out.Reason += fmt.Sprintf(": document %s was accepted as revision %d", r.Winner, r.WinnerRevision)
	}
	if r.Detail != "" {
		out.Reason += ": " + r.Detail
	}
	return out
}

// Proposal returns what became of a proposal.
func (d *documents) Proposal(id string) adminapi.ProposalResult {
	r, ok := d.follower.Result(id)
	if !ok {
		return adminapi.ProposalResult{ID: id, Result: adminapi.ResultUnknown, Reason: "the log has no decision about this ID so far, or it is older than the history that hosts keep"}
	}
	return decided(id, r)
}

// History returns the recent decisions, newest first.
func (d *documents) History() []adminapi.HistoryEntry {
	results := d.follower.Results()
	list := make([]adminapi.HistoryEntry, 0, len(results))
	for i := len(results) - 1; i >= 0; i-- {
		r := results[i]
		result := decided(r.ID, r)
		list = append(list, adminapi.HistoryEntry{
			ID:        r.ID,
			Result:    result.Result,
			Reason:    result.Reason,
			Revision:  r.Revision,
			Hash:      result.Hash,
			Author:    r.Author,
			Note:      r.Note,
			Offset:    r.Offset,
			DecidedAt: r.Time.UTC(),
		})
	}
	return list
}
