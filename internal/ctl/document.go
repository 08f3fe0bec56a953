package ctl

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

var documentCommands = map[string]command{
	"validate": runValidate,
	"apply":    runApply,
	"get":      runGet,
	"history":  runHistory,
	"status":   runDocumentStatus,
}

func runDocument(e *env, args []string) int {
	if len(args) > 0 {
		if run := documentCommands[args[0]]; run != nil {
			return run(e, args[1:])
		}
	}
	fmt.Fprintln(e.stderr, "usage: sapphirectl document validate|apply|get|history|status")
	return ExitUsage
}

// readFile reads a document from a file or, for "-", from standard input.
func (e *env) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(e.stdin, document.MaxBytes+1))
	}
	return os.ReadFile(name)
}

func runValidate(e *env, args []string) int {
	flags, output := e.flagSet("document validate", "FILE")
	admin := flags.String("admin", "", "administration `URL` of a host, to compare with the document in force (default: check only)")
	token := flags.String("token", "", "administration `token`, needed to compare a document above 1 MiB")
	if code, ok := e.parse(flags, output, args, 1); !ok {
		return code
	}
	text, err := e.readFile(flags.Arg(0))
	if err != nil {
		return e.fail(err)
	}
	if *admin == "" {
		return e.printResult(validateLocally(text), *output)
	}
	var reply struct {
		adminapi.ProposalResult
		Error string `json:"error"`
	}
	if _, err := call(e.ctx, http.MethodPost, splitList(*admin)[0]+adminapi.PathDocument+"?validate=true", *token, bytes.NewReader(text), &reply); err != nil {
		return e.fail(err)
	}
	if reply.Error != "" {
		return e.fail(errors.New(reply.Error))
	}
	return e.printResult(reply.ProposalResult, *output)
}

func validateLocally(text []byte) adminapi.ProposalResult {
	_, err := document.Parse(text)
	if err == nil {
		return adminapi.ProposalResult{Result: adminapi.ResultValid}
	}
	result := adminapi.ProposalResult{Result: adminapi.ResultInvalid, Errors: []string{err.Error()}}
	var fields document.Errors
	if errors.As(err, &fields) {
		result.Errors = fields.Strings()
	}
	return result
}

func runApply(e *env, args []string) int {
	flags, output := e.flagSet("document apply", "FILE")
	admin := adminFlag(flags)
	token := flags.String("token", "", "administration `token` of the host")
	base := flags.String("base", "", "`revision` that the document was written against; required, 0 for the first")
	author := flags.String("author", os.Getenv("USER"), "`name` in the history")
	note := flags.String("note", "", "`text` in the history")
	if code, ok := e.parse(flags, output, args, 1); !ok {
		return code
	}
	if _, err := strconv.ParseUint(*base, 10, 64); err != nil {
		code, _ := e.usageError(flags, fmt.Sprintf("-base is %q, want the revision that the document was written against", *base))
		return code
	}
	text, err := e.readFile(flags.Arg(0))
	if err != nil {
		return e.fail(err)
	}
	query := url.Values{"base": {*base}, "author": {*author}, "note": {*note}}
	var reply struct {
		adminapi.ProposalResult
		Error string `json:"error"`
	}
	status, err := call(e.ctx, http.MethodPost, splitList(*admin)[0]+adminapi.PathDocument+"?"+query.Encode(), *token, bytes.NewReader(text), &reply)
	switch {
	case err != nil && status == 0:
		fmt.Fprintf(e.stderr, "sapphirectl: the host did not answer; look for the document in \"sapphirectl document history\": %v\n", err)
		return ExitUnknown
	case err != nil:
		return e.fail(err)
	case reply.Error != "":
		return e.fail(errors.New(reply.Error))
	}
	return e.printResult(reply.ProposalResult, *output)
}

// printResult prints what became of a document and returns the exit code.
func (e *env) printResult(r adminapi.ProposalResult, output string) int {
	code := ExitOK
	switch r.Result {
	case adminapi.ResultInvalid, adminapi.ResultRefused:
		code = ExitFailed
	case adminapi.ResultUnknown:
		code = ExitUnknown
	}
	if output == "json" {
		e.writeJSON(r)
		return code
	}
	fmt.Fprintf(e.stdout, "result=%s", r.Result)
	if r.ID != "" {
		fmt.Fprintf(e.stdout, " id=%s", r.ID)
	}
	if r.Hash != "" {
		fmt.Fprintf(e.stdout, " revision=%d hash=%s offset=%d", r.Revision, r.Hash, r.Offset)
	}
	fmt.Fprintln(e.stdout)
	if r.Reason != "" {
		fmt.Fprintln(e.stdout, r.Reason)
	}
	for _, text := range r.Errors {
		fmt.Fprintln(e.stdout, text)
	}
	if r.Difference != "" {
		fmt.Fprintf(e.stdout, "difference from the document in force:\n%s", r.Difference)
	}
	return code
}

func runGet(e *env, args []string) int {
	flags, output := e.flagSet("document get", "")
	admin := adminFlag(flags)
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	var doc adminapi.Document
	if err := getJSON(e.ctx, splitList(*admin)[0]+adminapi.PathDocument, &doc); err != nil {
		return e.fail(err)
	}
	if *output == "json" {
		return e.writeJSON(doc)
	}
	fmt.Fprintf(e.stdout, "# revision %d, hash %s\n%s", doc.Revision, doc.Hash, doc.YAML)
	return ExitOK
}

func runHistory(e *env, args []string) int {
	flags, output := e.flagSet("document history", "")
	admin := adminFlag(flags)
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	var history []adminapi.HistoryEntry
	if err := getJSON(e.ctx, splitList(*admin)[0]+adminapi.PathHistory, &history); err != nil {
		return e.fail(err)
	}
	if *output == "json" {
		return e.writeJSON(history)
	}
	for _, h := range history {
		fmt.Fprintf(e.stdout, "%s revision=%d result=%s id=%s offset=%d author=%q note=%q reason=%q\n",
			h.DecidedAt.Format(time.RFC3339), h.Revision, h.Result, h.ID, h.Offset, h.Author, h.Note, h.Reason)
	}
	return ExitOK
}

// runDocumentStatus shows what became of one proposal, or without an ID which
// revision each host has in force and since when.
func runDocumentStatus(e *env, args []string) int {
	flags, output := e.flagSet("document status", "[ID]")
	admin := adminFlag(flags)
	if code, ok := e.parse(flags, output, args, -1); !ok {
		return code
	}
	if flags.NArg() > 0 {
		return e.proposalStatus(flags, *admin, *output)
	}
	answers := askAll[adminapi.Status](e.ctx, splitList(*admin), adminapi.PathStatus)
	if *output == "json" {
		e.writeJSON(answers)
		return report(e, answers)
	}
	for _, a := range answers {
		if s := a.Value; a.Error == "" {
			fmt.Fprintf(e.stdout, "host=%s revision=%d hash=%s as_of=%d in_force_at=%s reads_log=%t log_available=%t\n",
				s.Host, s.Revision, s.Hash, s.AsOf, s.InForceAt.Format(time.RFC3339Nano), s.ReadsLog, s.LogAvailable)
		}
	}
	e.printSpread(answers)
	return report(e, answers)
}

func (e *env) proposalStatus(flags *flag.FlagSet, admin, output string) int {
	var result adminapi.ProposalResult
	if err := getJSON(e.ctx, splitList(admin)[0]+adminapi.PathProposals+url.PathEscape(flags.Arg(0)), &result); err != nil {
		return e.fail(err)
	}
	return e.printResult(result, output)
}

// printSpread tells whether all hosts agree and how long the newest revision
// took from the first host to the last, by the hosts' own clocks.
func (e *env) printSpread(answers []answer[adminapi.Status]) {
	var newest uint64
	for _, a := range answers {
		newest = max(newest, a.Value.Revision)
	}
	var first, last time.Time
	behind := 0
	for _, a := range answers {
		s := a.Value
		if a.Error != "" || s.Revision != newest {
			behind++
			continue
		}
		if first.IsZero() || s.InForceAt.Before(first) {
			first = s.InForceAt
		}
		if s.InForceAt.After(last) {
			last = s.InForceAt
		}
	}
	fmt.Fprintf(e.stdout, "newest_revision=%d hosts=%d behind_or_silent=%d spread=%s\n", newest, len(answers), behind, last.Sub(first))
}
