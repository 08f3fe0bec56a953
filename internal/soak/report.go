package soak

import (
	"fmt"
	"io"
	"path/filepath"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Style names the mix of events.
	Style string
	// Summary counts the requests by how they ended.
	Summary string
	// Stall is the longest time for which this process got no processor time when it wanted some, if
	// it was longer than minStall.
	Stall  time.Duration
	LogDir string

	events  []event
	started time.Time
	// breaches are ordered by time.
	breaches []breach
	history  disruptions
}

// Failed reports whether a promise was broken.
func (r *Report) Failed() bool { return len(r.breaches) > 0 }

// longestStall returns the longest time in which this process was late.
func (l disruptions) longestStall() (longest time.Duration) {
	for _, i := range l {
		if i.cause == stalled {
			longest = max(longest, i.end.Sub(i.start))
		}
	}
	return longest
}

// maxBreachesShown is the largest number of breaches in a report.
const maxBreachesShown = 6

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) {
	result := "passed"
	if r.Failed() {
		result = "failed"
	}
	fmt.Fprintf(w, "seed %d: %s (%s; %s; longest stall of the soak %s)\n", r.Seed, result, r.Style, r.Summary, r.Stall.Round(time.Millisecond))
	if !r.Failed() {
		return
	}
	r.writeBreaches(w)
	r.writeTimeline(w)
	fmt.Fprintf(w, "logs: %s\n", r.LogDir)
	if request := r.breaches[0].request; request != "" {
		fmt.Fprintf(w, "next: sapphirectl explain -request %s %s\n", request, filepath.Join(r.LogDir, "host-*.log"))
	}
}

func (r *Report) writeBreaches(w io.Writer) {
	for n, b := range r.breaches[:min(len(r.breaches), maxBreachesShown)] {
		label := "then"
		if n == 0 {
			label = fmt.Sprintf("first breach, of %d", len(r.breaches))
		}
		fmt.Fprintf(w, "%s: %6.2fs %s: request %q: %s\n", label, b.at.Sub(r.started).Seconds(), b.rule, b.request, b.text)
	}
}

func (r *Report) writeTimeline(w io.Writer) {
	fmt.Fprintln(w, "schedule:")
	for _, e := range r.events {
		fmt.Fprintln(w, " ", e)
	}
	fmt.Fprintln(w, "what was done until the end of the run:")
	for _, i := range r.history {
		if i.cause == stalled {
			continue
		}
		end := "the end"
		if !i.end.IsZero() {
			end = fmt.Sprintf("%.2fs", i.end.Sub(r.started).Seconds())
		}
		fmt.Fprintf(w, "  %6.2fs to %s: host %d, place %d: %s\n", i.start.Sub(r.started).Seconds(), end, i.host+1, i.place+1, i.name)
	}
}
