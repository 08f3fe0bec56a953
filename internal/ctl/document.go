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

// readDocument reads a document from a file, or from standard input if name is "-".
func (e *env) readDocument(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(e.stdin, document.MaxBytes+1))
	}
	return os.ReadFile(name)
}

func runValidate(e *env, args []string) int {
	flags, output := e.flagSet("document validate", "FILE")
	admin := flags.String("admin", "", "administration `URL` of a host, to show the difference from the document in force (default: validate only)")
	token := flags.String("token", "", "administration `token`, required with -admin for a document larger than 1 MiB")
	if code, ok := e.parse(flags, output, args, 1); !ok {
		return code
	}
	data, err := e.readDocument(flags.Arg(0))
	if err != nil {
		return e.fail(err)
	}
	if *admin == "" {
		return e.printResult(validateLocally(data), *output)
	}
	var response struct {
		adminapi.ProposalResult
		Error string `json:"error"`
	}
	if _, err := call(e.ctx, http.MethodPost, splitList(*admin)[0]+adminapi.PathDocument+"?validate=true", *token, bytes.NewReader(data), &response); err != nil {
		return e.fail(err)
	}
	if response.Error != "" {
		return e.fail(errors.New(response.Error))
	}
	return e.printResult(response.ProposalResult, *output)
}

func validateLocally(data []byte) adminapi.ProposalResult {
	_, err := document.Parse(data)
	if err == nil {
		return adminapi.ProposalResult{Result: adminapi.ResultValid}
	}
	result := adminapi.ProposalResult{Result: adminapi.ResultInvalid, Errors: []string{err.Error()}}
	var fieldErrors document.Errors
	if errors.As(err, &fieldErrors) {
		result.Errors = fieldErrors.Strings()
	}
	return result
}

func runApply(e *env, args []string) int {
	flags, output := e.flagSet("document apply", "FILE")
	admin := adminFlag(flags)
	token := flags.String("token", "", "administration `token` of the host")
	base := flags.String("base", "", "`revision` that the document is based on; required, 0 for the first document")
	author := flags.String("author", os.Getenv("USER"), "author `name` in the history")
	note := flags.String("note", "", "note `text` in the history")
	if code, ok := e.parse(flags, output, args, 1); !ok {
		return code
	}
	if _, err := strconv.ParseUint(*base, 10, 64); err != nil {
		code, _ := e.usageError(flags, fmt.Sprintf("-base is %q, want the revision that the document is based on", *base))
		return code
	}
	data, err := e.readDocument(flags.Arg(0))
	if err != nil {
		return e.fail(err)
	}
	query := url.Values{"base": {*base}, "author": {*author}, "note": {*note}}
	var response struct {
		adminapi.ProposalResult
		Error string `json:"error"`
	}
	status, err := call(e.ctx, http.MethodPost, splitList(*admin)[0]+adminapi.PathDocument+"?"+query.Encode(), *token, bytes.NewReader(data), &response)
	switch {
	case err != nil && status == 0:
		fmt.Fprintf(e.stderr, "sapphirectl: the host did not answer, so the result is unknown; check \"sapphirectl document history\": %v\n", err)
		return ExitUnknown
	case err != nil:
		return e.fail(err)
	case response.Error != "":
		return e.fail(errors.New(response.Error))
	}
	return e.printResult(response.ProposalResult, *output)
}

// printResult prints the result of a proposal or validation and returns the exit
// code.
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

// runDocumentStatus shows the result of one proposal. Without a proposal ID it
// shows the revision in force on each host and the time since when.
func runDocumentStatus(e *env, args []string) int {
	flags, output := e.flagSet("document status", "[ID]")
	admin := adminFlag(flags)
	if code, ok := e.parse(flags, output, args, -1); !ok {
		return code
	}
	if flags.NArg() > 0 {
		return e.proposalStatus(flags, *admin, *output)
	}
	responses := queryHosts[adminapi.Status](e.ctx, splitList(*admin), adminapi.PathStatus)
	if *output == "json" {
		e.writeJSON(responses)
		return reportErrors(e, responses)
	}
	for _, r := range responses {
		if s := r.Value; r.Error == "" {
			fmt.Fprintf(e.stdout, "host=%s revision=%d hash=%s as_of=%d in_force_at=%s reads_log=%t log_available=%t\n",
				s.Host, s.Revision, s.Hash, s.AsOf, s.InForceAt.Format(time.RFC3339Nano), s.ReadsLog, s.LogAvailable)
		}
	}
	e.printRolloutSummary(responses)
	return reportErrors(e, responses)
}

func (e *env) proposalStatus(flags *flag.FlagSet, admin, output string) int {
	var result adminapi.ProposalResult
	if err := getJSON(e.ctx, splitList(admin)[0]+adminapi.PathProposals+url.PathEscape(flags.Arg(0)), &result); err != nil {
		return e.fail(err)
	}
	return e.printResult(result, output)
}

// printRolloutSummary prints how many hosts have the newest revision in force, and
// the time between its activation on the first and on the last host, according to
// the hosts' clocks.
func (e *env) printRolloutSummary(responses []hostResponse[adminapi.Status]) {
	var newest uint64
	for _, r := range responses {
		newest = max(newest, r.Value.Revision)
	}
	var first, last time.Time
	behind := 0
	for _, r := range responses {
		s := r.Value
		if r.Error != "" || s.Revision != newest {
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
	fmt.Fprintf(e.stdout, "newest_revision=%d hosts=%d behind_or_silent=%d spread=%s\n", newest, len(responses), behind, last.Sub(first))
}
