package ctl

import (
	"context"
	"fmt"
	"net/url"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
)

// hostResponse is the response of one host, or the error of the request.
type hostResponse[T any] struct {
	Host  string `json:"host"`
	Error string `json:"error,omitempty"`
	Value T      `json:"value"`
}

// queryHosts fetches a path from all hosts concurrently.
func queryHosts[T any](ctx context.Context, hosts []string, path string) []hostResponse[T] {
	responses := make([]hostResponse[T], len(hosts))
	var wg sync.WaitGroup
	for i, host := range hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i].Host = host
			if err := getJSON(ctx, host+path, &responses[i].Value); err != nil {
				responses[i].Error = err.Error()
			}
		}()
	}
	wg.Wait()
	return responses
}

// reportErrors prints the hosts whose request failed and returns the exit code.
func reportErrors[T any](e *env, responses []hostResponse[T]) int {
	code := ExitOK
	for _, r := range responses {
		if r.Error != "" {
			fmt.Fprintf(e.stderr, "sapphirectl: %s: %s\n", r.Host, r.Error)
			code = ExitFailed
		}
	}
	return code
}

func runStatus(e *env, args []string) int {
	flags, output := e.flagSet("status", "")
	admin := adminFlag(flags)
	targets := flags.Bool("targets", false, "list every target")
	quotas := flags.Bool("quotas", false, "list the quotas of the teams with recent requests")
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	responses := queryHosts[adminapi.Status](e.ctx, splitList(*admin), adminapi.PathStatus)
	if *output == "json" {
		e.writeJSON(responses)
		return reportErrors(e, responses)
	}
	fmt.Fprintf(e.stdout, "%-20s %-16s %8s %-12s %8s %9s %9s %s\n", "host", "zone", "revision", "hash", "as_of", "in_flight", "draining", "targets_out")
	for _, r := range responses {
		if r.Error == "" {
			e.printStatus(r.Value, *targets, *quotas)
		}
	}
	return reportErrors(e, responses)
}

func (e *env) printStatus(s adminapi.Status, targets, quotas bool) {
	var out []string
	for _, svc := range s.Services {
		for _, t := range svc.Targets {
			if t.State != "healthy" {
				out = append(out, svc.Name+"/"+t.Name+"="+t.State)
			}
		}
	}
	hash := s.Hash
	if len(hash) > 12 {
		hash = hash[:12]
	}
	fmt.Fprintf(e.stdout, "%-20s %-16s %8d %-12s %8d %9d %9t %s\n", s.Host, s.Zone, s.Revision, hash, s.AsOf, s.InFlight, s.Draining, strings.Join(out, " "))
	if quotas {
		e.printQuotas(s)
	}
	if !targets {
		return
	}
	for _, svc := range s.Services {
		for _, t := range svc.Targets {
			fmt.Fprintf(e.stdout, "  %-20s %-20s %-9s weight=%.2f in_flight=%d score=%.2f%s\n", svc.Name, t.Name, t.State, t.Weight, t.InFlight, t.Score, rateLimitText(t)+leavingText(t)+pauseText(t))
		}
	}
}

// printQuotas prints the quotas in the order of the answer. The host bounds their number.
func (e *env) printQuotas(s adminapi.Status) {
	for i := range s.Quotas {
		fmt.Fprintf(e.stdout, "  quota %-20s %s\n", s.Quotas[i].Team, quotaText(&s.Quotas[i]))
	}
	if s.QuotasOmitted > 0 {
		fmt.Fprintf(e.stdout, "  quota and %d more teams\n", s.QuotasOmitted)
	}
}

func runMembers(e *env, args []string) int {
	flags, output := e.flagSet("members", "")
	admin := adminFlag(flags)
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	responses := queryHosts[[]adminapi.Member](e.ctx, splitList(*admin), adminapi.PathMembers)
	if *output == "json" {
		e.writeJSON(responses)
		return reportErrors(e, responses)
	}
	for _, r := range responses {
		if r.Error != "" {
			continue
		}
		fmt.Fprintf(e.stdout, "known by %s\n", r.Host)
		for _, m := range r.Value {
			fmt.Fprintf(e.stdout, "  %-20s %-16s %-22s %-10s incarnation=%d\n", m.Host, m.Zone, m.CallerAddress, m.State, m.Incarnation)
		}
	}
	return reportErrors(e, responses)
}

func runTimeline(e *env, args []string) int {
	flags, output := e.flagSet("timeline", "")
	admin := adminFlag(flags)
	kind := flags.String("kind", "", "show only events of this `kind`")
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	responses := queryHosts[[]adminapi.Event](e.ctx, splitList(*admin), adminapi.PathTimeline)
	events := mergeEvents(responses, *kind)
	if *output == "json" {
		e.writeJSON(events)
		return reportErrors(e, responses)
	}
	for _, ev := range events {
		at := time.UnixMicro(ev.WallMicros).UTC().Format("15:04:05.000000")
		fmt.Fprintf(e.stdout, "%s.%d %-18s %-24s %s\n", at, ev.Logical, ev.Host, ev.Kind, strings.Join(ev.Fields, " "))
	}
	return reportErrors(e, responses)
}

// mergeEvents returns the events of all hosts in the order of their stamps,
// restricted to one kind unless kind is empty.
func mergeEvents(responses []hostResponse[[]adminapi.Event], kind string) []adminapi.Event {
	events := []adminapi.Event{}
	for _, a := range responses {
		for _, ev := range a.Value {
			if kind == "" || ev.Kind == kind {
				events = append(events, ev)
			}
		}
	}
	sort.SliceStable(events, func(i, j int) bool {
		a, b := eventStamp(events[i]), eventStamp(events[j])
		if a != b {
			return a.Before(b)
		}
		return events[i].Host < events[j].Host
	})
	return events
}

func eventStamp(e adminapi.Event) event.Stamp {
	return event.Stamp{WallMicros: e.WallMicros, Logical: e.Logical}
}

// addressResponse holds the displayed fields of an address response.
type addressResponse struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	MaxAgeMs int64  `json:"max_age_ms"`
	Hosts    []struct {
		Address string `json:"address"`
		Region  string `json:"region"`
		Zone    string `json:"zone"`
	} `json:"hosts"`
}

func runAddresses(e *env, args []string) int {
	flags, output := e.flagSet("addresses", "SERVICE")
	host := flags.String("host", "http://127.0.0.1:8080", "caller-facing `URL` of any host")
	zone := flags.String("zone", "", "availability `zone` of the caller (default: the host's)")
	if code, ok := e.parse(flags, output, args, 1); !ok {
		return code
	}
	query := url.Values{"service": {flags.Arg(0)}}
	if *zone != "" {
		query.Set("zone", *zone)
	}
	var response addressResponse
	if err := getJSON(e.ctx, splitList(*host)[0]+"/.sapphirehaven/v1/addresses?"+query.Encode(), &response); err != nil {
		return e.fail(err)
	}
	if *output == "json" {
		return e.writeJSON(response)
	}
	fmt.Fprintf(e.stdout, "service=%s revision=%d max_age=%s\n", response.Service, response.Revision, time.Duration(response.MaxAgeMs)*time.Millisecond)
	for _, h := range response.Hosts {
		fmt.Fprintf(e.stdout, "%s zone=%s region=%s\n", h.Address, h.Zone, h.Region)
	}
	return ExitOK
}

// rateLimitText returns the rate that a target states, in requests per second.
func rateLimitText(t adminapi.Target) string {
	if t.RateLimit == nil {
		return ""
	}
	return fmt.Sprintf(" rate_limit=%g", *t.RateLimit)
}

// pauseText returns the rest of the time for which a target wants no requests.
func pauseText(t adminapi.Target) string {
	if t.PauseSeconds == nil {
		return ""
	}
	return fmt.Sprintf(" pause_left=%.1fs", *t.PauseSeconds)
}

// leavingText tells that a target has stated in a response that it is leaving.
func leavingText(t adminapi.Target) string {
	if !t.Leaving {
		return ""
	}
	return " leaving=true"
}
