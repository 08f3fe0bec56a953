package ctl

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
)

// defaultExplainedTargets is the number of targets that are printed by default: those of a usual service
// on a screen.
const defaultExplainedTargets = 20

// explainRouting asks a host where it would send a request. It fails if the host cannot answer; a request
// that would be refused is an answer.
func (e *env) explainRouting(admin string, q adminapi.Question, output string, count int) int {
	answer, err := e.askExplanation(admin, q)
	if err != nil {
		return e.fail(err)
	}
	code := ExitOK
	if answer.Reason == adminapi.ReasonUnknownTeam || answer.Configuration == nil {
		code = ExitFailed
	}
	if output == "json" {
		return max(code, e.writeJSON(answer))
	}
	writeExplanation(e.stdout, &answer, count)
	return code
}

// askExplanation sends a question. Errors do not contain its parameters, among which someone might give a
// key in place of the name of a team.
func (e *env) askExplanation(admin string, q adminapi.Question) (answer adminapi.Explanation, err error) {
	hosts := splitList(admin)
	if len(hosts) != 1 {
		return answer, errors.Errorf("-admin has %d URLs, want that of one host", len(hosts))
	}
	base := hosts[0] + adminapi.PathExplain
	query := url.Values{"method": {q.Method}, "path": {q.Path}}
	for name, value := range map[string]string{"host_name": q.HostName, "team": q.Team} {
		if value != "" {
			query.Set(name, value)
		}
	}
	var body struct {
		adminapi.Explanation
		Error string `json:"error"`
	}
	status, err := call(e.ctx, http.MethodGet, base+"?"+query.Encode(), "", nil, &body)
	var failed *url.Error
	switch {
	case errors.As(err, &failed):
		return answer, errors.Wrap(failed.Err, base)
	case err != nil:
		return answer, errors.Errorf("%s: status %d without an explanation: the host may be of an earlier version", base, status)
	case status != http.StatusOK:
		return answer, errors.Errorf("%s: status %d: %s", base, status, body.Error)
	}
	return body.Explanation, nil
}

// writeExplanation prints an explanation with at most count targets, 0 for all.
func writeExplanation(w io.Writer, x *adminapi.Explanation, count int) {
	name := ""
	if x.HostName != "" {
		name = " host_name=" + x.HostName
	}
	fmt.Fprintf(w, "request    %s %s%s at host %s (%s, %s), %s\n", x.Method, x.Path, name, x.Host, x.Zone, x.Region, x.At.Format(time.RFC3339Nano))
	fmt.Fprintf(w, "decision   %s\n", decisionText(x))
	if x.Detail != "" {
		fmt.Fprintf(w, "           %s\n", x.Detail)
	}
	if x.Draining {
		fmt.Fprintln(w, "host       is stopping")
	}
	if c := x.Configuration; c != nil {
		fmt.Fprintf(w, "config     revision=%d in_force=%s%s\n", c.Revision, c.InForceAt.Format(time.RFC3339), copyText(c))
		writeRoute(w, x)
	}
	writeTeam(w, x.Team)
	writeAdmission(w, x.Admission)
	if q := x.Queue; q != nil {
		fmt.Fprintf(w, "queue      waiting=%d of %d, ahead=%d wait=%s capacity=%d retryable=%t retries_left=%.1f floor_active=%t used_targets=%d of %d healthy\n",
			q.Waiting, q.Length, q.Position, secondsText(&q.WaitSeconds), q.Capacity, q.Retryable, q.RetriesLeft, q.FloorActive, q.UsedTargets, q.HealthyTargets)
	}
	writeZones(w, x.Zones)
	writeTargets(w, x, count)
}

func decisionText(x *adminapi.Explanation) string {
	text := x.Outcome
	switch {
	case x.Outcome == adminapi.OutcomeSent:
		return "sent to " + x.Target
	case x.Status != 0:
		text += fmt.Sprintf(" with %d", x.Status)
	}
	text += " (" + x.Reason + ")"
	if x.RetryAfterSeconds != nil {
		text += " retry_after=" + secondsText(x.RetryAfterSeconds)
	}
	if x.Target != "" {
		text += ", otherwise sent to " + x.Target
	}
	return text
}

// secondsText returns a time, or "-" if it is not known.
func secondsText(s *float64) string {
	if s == nil {
		return "-"
	}
	return time.Duration(*s * float64(time.Second)).Round(time.Millisecond).String()
}

func copyText(c *adminapi.ExplainedConfiguration) string {
	if c.ConfirmedAgeSeconds == nil || c.Newest == nil {
		return ""
	}
	return fmt.Sprintf(" confirmed_age=%s newest=%t targets_age=%s", secondsText(c.ConfirmedAgeSeconds), *c.Newest, secondsText(c.TargetsAgeSeconds))
}

func writeRoute(w io.Writer, x *adminapi.Explanation) {
	r := x.Route
	if r == nil {
		fmt.Fprintln(w, "route      none")
		return
	}
	methods, split := "all", ""
	if len(r.Methods) > 0 {
		methods = strings.Join(r.Methods, ",")
	}
	for _, service := range slices.Sorted(maps.Keys(r.Split)) {
		split += fmt.Sprintf(" %s:%d", service, r.Split[service])
	}
	if split != "" {
		split = " split" + split + " (the service is that of the next request)"
	}
	fmt.Fprintf(w, "route      %s host_name=%s path_prefix=%s methods=%s anonymous=%t service=%s%s\n", r.Name, orDash(r.HostName), r.PathPrefix, methods, r.Anonymous, orDash(r.Service), split)
	if c := x.Class; c != nil {
		fmt.Fprintf(w, "class      %s kind=%s idempotent=%t priority=%d deadline=%s timeout=%s objective=%s max_attempts=%d service_time=%s service_time_age=%s\n", c.Name, c.Kind, c.Idempotent, c.Priority,
			secondsText(&c.DeadlineSeconds), limitText(c.TimeoutSeconds), limitText(c.ObjectiveSeconds), c.MaxAttempts, secondsText(&c.ServiceTimeSeconds), secondsText(c.ServiceTimeAgeSeconds))
	}
}

// limitText returns a time, or "none" for 0.
func limitText(seconds float64) string {
	if seconds == 0 {
		return "none"
	}
	return secondsText(&seconds)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func writeTeam(w io.Writer, t *adminapi.ExplainedTeam) {
	if t == nil {
		return
	}
	fmt.Fprintf(w, "team       %s priority=%d\n", t.Name, t.Priority)
	if q := t.Quota; q != nil {
		fmt.Fprintf(w, "quota      %s recent=%t max_wait=%s now=%s", quotaText(&q.Quota), q.Recent, secondsText(&q.MaxWaitSeconds), q.Decision)
		if q.RetryAfterSeconds != nil {
			fmt.Fprintf(w, " retry_after=%s", secondsText(q.RetryAfterSeconds))
		}
		fmt.Fprintln(w)
	} else {
		fmt.Fprintln(w, "quota      none")
	}
}

// quotaText returns the state of a quota in one line.
func quotaText(q *adminapi.Quota) string {
	return fmt.Sprintf("rate=%g burst=%g permits=%d waiting=%d owner=%s answer_age=%s used_up=%t denied_for=%s",
		q.RatePerSecond, q.Burst, q.Permits, q.Waiting, orDash(q.Owner), secondsText(q.AnswerAgeSeconds), q.UsedUp, secondsText(q.DeniedSeconds))
}

func writeAdmission(w io.Writer, a *adminapi.ExplainedAdmission) {
	if a == nil {
		return
	}
	if !a.Enabled {
		fmt.Fprintf(w, "admission  no levels: the configuration has no teams; priority=%d\n", a.ClassPriority)
		return
	}
	fmt.Fprintf(w, "admission  active=%t level=(%d,%d) admitted_part=%.2f", a.Active, a.TeamPriority, a.ClassPriority, a.Part)
	if f := a.FirstLimited; f != nil {
		fmt.Fprintf(w, " first_limited=(%d,%d) at %.2f", f.TeamPriority, f.ClassPriority, f.Part)
	}
	fmt.Fprintf(w, " demand=%.1f/s capacity=%.1f/s budget=%.1f/s updated_age=%s hosts=%d report_age=%s\n", a.Demand, a.Capacity, a.Budget, secondsText(a.UpdatedAgeSeconds), a.Hosts, secondsText(a.ReportAgeSeconds))
}

func writeZones(w io.Writer, z *adminapi.ExplainedZones) {
	if z == nil {
		return
	}
	fmt.Fprintf(w, "zones      shortage=%.2f leaves=%s shares_age=%s costs_age=%s link_utilization=%.2f link_age=%s\n", z.Shortage, orDash(z.Leaves), secondsText(z.SharesAgeSeconds), secondsText(z.CostsAgeSeconds), z.LinkUtilization, secondsText(z.LinkAgeSeconds))
	for _, p := range z.Zones {
		fmt.Fprintf(w, "  %-18s %-12s slots=%.1f busy=%.1f allowed=%.2f used=%.2f cost=%.3f (leave=%.3f delay=%.3f transfer=%.3f price=%.3f factor=%.2f)\n",
			p.Zone, p.Distance, p.Slots, p.Busy, p.Allowed, p.Used, p.Cost, p.Leave, p.Delay, p.Transfer, p.Price, p.PriceFactor)
	}
}

// writeTargets prints the targets, the chosen one first.
func writeTargets(w io.Writer, x *adminapi.Explanation, count int) {
	if x.Class == nil {
		return
	}
	if len(x.Targets) == 0 {
		fmt.Fprintln(w, "targets    none")
		return
	}
	shown := x.Targets
	if count > 0 {
		shown = shown[:min(count, len(shown))]
	}
	fmt.Fprintf(w, "targets    %d\n", len(x.Targets)+x.TargetsOmitted)
	for i := range shown {
		writeTarget(w, &shown[i])
	}
	if omitted := len(x.Targets) + x.TargetsOmitted - len(shown); omitted > 0 {
		fmt.Fprintf(w, "  and %d more\n", omitted)
	}
}

func writeTarget(w io.Writer, t *adminapi.ExplainedTarget) {
	mark := " "
	if t.Chosen {
		mark = "*"
	}
	fmt.Fprintf(w, "%s %-18s %-12s", mark, t.Name, t.State)
	if t.AvailableAfterSeconds != nil {
		fmt.Fprintf(w, " available_after=%s", secondsText(t.AvailableAfterSeconds))
	}
	if c := t.Cost; c != nil {
		fmt.Fprintf(w, " cost=%.4f (failure=%.4f distance=%.4f load=%.4f slowness=%.4f connection=%.4f affinity=%.4f", c.Total, c.Failure, c.Distance, c.Load, c.Slowness, c.Connection, c.Affinity)
		for _, part := range []struct {
			name  string
			value float64
		}{{"rejections", c.Rejections}, {"unregistered", c.Unregistered}, {"new_target", -c.NewTargetBonus}, {"usage", -c.UsageBonus}, {"limit", -c.LimitBonus}} {
			if part.value != 0 {
				fmt.Fprintf(w, " %s=%.4f", part.name, part.value)
			}
		}
		fmt.Fprintf(w, ") zone=%s in_flight=%d others=%.1f load_age=%s slots=%d free=%d p_failure=%.3f failing=%.3f avoided=%t outcome_age=%s latency_ratio=%.2f latency_age=%s",
			t.Zone, t.InFlight, t.OtherLoad, secondsText(t.LoadAgeSeconds), t.Slots, t.FreeSlots, t.FailureProbability, t.FailingProbability, t.Avoided, secondsText(t.OutcomeAgeSeconds), t.LatencyRatio, secondsText(t.LatencyAgeSeconds))
	} else {
		fmt.Fprintf(w, " region=%s weight=%.2f score=%.2f in_flight=%d others=%.1f free=%d", t.Region, t.Weight, t.Score, t.InFlight, t.OtherLoad, t.FreeSlots)
	}
	if t.RejectionShare > 0 {
		fmt.Fprintf(w, " rejected=%.2f rejected_age=%s", t.RejectionShare, secondsText(t.RejectionAgeSeconds))
	}
	if t.WarmupSeconds != nil {
		fmt.Fprintf(w, " warmup_left=%s", secondsText(t.WarmupSeconds))
	}
	if t.RateLimit != nil {
		fmt.Fprintf(w, " rate_limit=%g permits=%d rate_limit_age=%s", *t.RateLimit, t.Permits, secondsText(t.LimitAgeSeconds))
	}
	fmt.Fprintln(w)
}
