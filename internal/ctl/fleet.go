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

// answer is what one host said, or why it said nothing.
type answer[T any] struct {
	Host  string `json:"host"`
	Error string `json:"error,omitempty"`
	Value T      `json:"value"`
}

// askAll reads a path of every host at once.
func askAll[T any](ctx context.Context, hosts []string, path string) []answer[T] {
	answers := make([]answer[T], len(hosts))
	var pending sync.WaitGroup
	for i, host := range hosts {
		pending.Add(1)
		go func() {
			defer pending.Done()
			answers[i].Host = host
			if err := getJSON(ctx, host+path, &answers[i].Value); err != nil {
				answers[i].Error = err.Error()
			}
		}()
	}
	pending.Wait()
	return answers
}

// report prints the hosts that did not answer and returns the exit code.
func report[T any](e *env, answers []answer[T]) int {
	code := ExitOK
	for _, a := range answers {
		if a.Error != "" {
			fmt.Fprintf(e.stderr, "sapphirectl: %s: %s\n", a.Host, a.Error)
			code = ExitFailed
		}
	}
	return code
}

func runStatus(e *env, args []string) int {
	flags, output := e.flagSet("status", "")
	admin := adminFlag(flags)
	targets := flags.Bool("targets", false, "list every target")
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	answers := askAll[adminapi.Status](e.ctx, splitList(*admin), adminapi.PathStatus)
	if *output == "json" {
		e.writeJSON(answers)
		return report(e, answers)
	}
	fmt.Fprintf(e.stdout, "%-20s %-16s %8s %-12s %8s %9s %9s %s\n", "host", "zone", "revision", "hash", "as_of", "in_flight", "draining", "targets_out")
	for _, a := range answers {
		if a.Error == "" {
			e.printStatus(a.Value, *targets)
		}
	}
	return report(e, answers)
}

func (e *env) printStatus(s adminapi.Status, targets bool) {
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
	if !targets {
		return
	}
	for _, svc := range s.Services {
		for _, t := range svc.Targets {
			fmt.Fprintf(e.stdout, "  %-20s %-20s %-9s weight=%.2f in_flight=%d score=%.2f\n", svc.Name, t.Name, t.State, t.Weight, t.InFlight, t.Score)
		}
	}
}

func runMembers(e *env, args []string) int {
	flags, output := e.flagSet("members", "")
	admin := adminFlag(flags)
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	answers := askAll[[]adminapi.Member](e.ctx, splitList(*admin), adminapi.PathMembers)
	if *output == "json" {
		e.writeJSON(answers)
		return report(e, answers)
	}
	for _, a := range answers {
		if a.Error != "" {
			continue
		}
		fmt.Fprintf(e.stdout, "known by %s\n", a.Host)
		for _, m := range a.Value {
			fmt.Fprintf(e.stdout, "  %-20s %-16s %-22s %-10s incarnation=%d\n", m.Host, m.Zone, m.CallerAddress, m.State, m.Incarnation)
		}
	}
	return report(e, answers)
}

func runTimeline(e *env, args []string) int {
	flags, output := e.flagSet("timeline", "")
	admin := adminFlag(flags)
	kind := flags.String("kind", "", "show only events of this `kind`")
	if code, ok := e.parse(flags, output, args, 0); !ok {
		return code
	}
	answers := askAll[[]adminapi.Event](e.ctx, splitList(*admin), adminapi.PathTimeline)
	events := mergeEvents(answers, *kind)
	if *output == "json" {
		e.writeJSON(events)
		return report(e, answers)
	}
	for _, ev := range events {
		at := time.UnixMicro(ev.WallMicros).UTC().Format("15:04:05.000000")
		fmt.Fprintf(e.stdout, "%s.%d %-18s %-24s %s\n", at, ev.Logical, ev.Host, ev.Kind, strings.Join(ev.Fields, " "))
	}
	return report(e, answers)
}

// mergeEvents orders the events of all hosts by their stamps.
func mergeEvents(answers []answer[[]adminapi.Event], kind string) []adminapi.Event {
	events := []adminapi.Event{}
	for _, a := range answers {
		for _, ev := range a.Value {
			if kind == "" || ev.Kind == kind {
				events = append(events, ev)
			}
		}
	}
	sort.SliceStable(events, func(i, j int) bool {
		a, b := stampOf(events[i]), stampOf(events[j])
		if a != b {
			return a.Before(b)
		}
		return events[i].Host < events[j].Host
	})
	return events
}

func stampOf(e adminapi.Event) event.Stamp {
	return event.Stamp{WallMicros: e.WallMicros, Logical: e.Logical}
}

// addressAnswer is the part of an address answer that is shown.
type addressAnswer struct {
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
	host := flags.String("host", "http://127.0.0.1:8080", "caller `URL` of any host")
	zone := flags.String("zone", "", "availability `zone` of the caller (default: the host's)")
	if code, ok := e.parse(flags, output, args, 1); !ok {
		return code
	}
	query := url.Values{"service": {flags.Arg(0)}}
	if *zone != "" {
		query.Set("zone", *zone)
	}
	var a addressAnswer
	if err := getJSON(e.ctx, splitList(*host)[0]+"/.sapphirehaven/v1/addresses?"+query.Encode(), &a); err != nil {
		return e.fail(err)
	}
	if *output == "json" {
		return e.writeJSON(a)
	}
	fmt.Fprintf(e.stdout, "service=%s revision=%d max_age=%s\n", a.Service, a.Revision, time.Duration(a.MaxAgeMs)*time.Millisecond)
	for _, h := range a.Hosts {
		fmt.Fprintf(e.stdout, "%s zone=%s region=%s\n", h.Address, h.Zone, h.Region)
	}
	return ExitOK
}
