package app

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
)

// exchangeInterval is the time between two exchanges of health evidence with the other serving
// hosts.
const exchangeInterval = time.Second

// idleExchangeIntervals is the number of intervals between two exchanges of hosts that have no
// evidence against any target. Reports expire after 3 s, so 2 intervals keep them current.
const idleExchangeIntervals = 2

// minReportedScore is the lowest suspicion score that is worth reporting: half of the lowest
// suspicion threshold, which is 11 at a balance of 1 (internal/core/health). Receivers do not store
// lower scores.
const minReportedScore = 5.5

// evidenceExchanger exchanges health evidence with the hosts that serve the same services. A report is
// the evidence of one host on the targets of one service (port.ServiceEvidence).
type evidenceExchanger struct {
	services *services
	hosts    *directory
	peers    port.Peers
	identity *identity
	log      logrus.FieldLogger
	// round is the number of exchange intervals so far.
	round int
}

// run exchanges evidence until ctx ends.
func (e *evidenceExchanger) run(ctx context.Context) {
	for ctx.Err() == nil {
		e.exchangeAll(ctx)
		sleep(ctx, exchangeInterval)
	}
}

// exchangeAll exchanges evidence with all hosts that share a service, concurrently, so that an
// unresponsive host does not delay the others. A host with evidence against a target calls in every
// interval. Without such evidence, only the host with the lower ID of each pair within a region
// calls, every idleExchangeIntervals, and the response carries the evidence of the other; pairs
// across regions do not exchange. With 1,300 services, one call per pair and second would saturate
// the 30 Mbit/s link between regions.
//
// All calls are limited to one interval: reports expire after 3 s, so an unresponsive host must not
// delay the next exchange with the others any longer.
func (e *evidenceExchanger) exchangeAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeInterval)
	defer cancel()
	e.round++
	servingPeers := e.hosts.servingPeers(e.identity.host)
	localReports := e.localReports(serviceNames(servingPeers))
	var calls sync.WaitGroup
	for _, p := range servingPeers {
		reports := e.reportsFor(p, selectReports(localReports, p.services))
		if len(reports) == 0 {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			recovery.Call(e.log, "exchange of evidence", func() { e.exchange(ctx, p, reports) })
		}()
	}
	calls.Wait()
}

// exchange sends reports to a peer and merges its replies.
func (e *evidenceExchanger) exchange(ctx context.Context, p servingPeer, reports []port.ServiceEvidence) {
	replies, err := e.peers.Exchange(ctx, p.PeerAddress, reports)
	if err != nil {
		e.log.WithError(err).Debug("exchange of health evidence with a peer failed")
		return
	}
	e.merge(replies)
}

// reportsFor returns the reports to send to a peer in this interval. It returns none if the peer is
// not called.
func (e *evidenceExchanger) reportsFor(to servingPeer, reports []port.ServiceEvidence) []port.ServiceEvidence {
	significant := significantReports(reports)
	if to.remote {
		return significant
	}
	if skip := e.identity.host > to.ID || e.round%idleExchangeIntervals != 0; len(significant) == 0 && skip {
		return nil
	}
	return reports
}

// localReports returns this host's reports by service. Each report has its own sequence number, so
// one report per service is created for all peers.
func (e *evidenceExchanger) localReports(names []ident.ServiceName) map[ident.ServiceName]port.ServiceEvidence {
	reports := map[ident.ServiceName]port.ServiceEvidence{}
	active := e.services.activeConfig()
	if active == nil {
		return reports
	}
	sender := e.identity.Sender()
	for _, name := range names {
		backend := active.Backends[name]
		if backend == nil {
			continue
		}
		report := backend.Engine.Evidence()
		report.Host, report.Incarnation = sender.Host, sender.Incarnation
		reports[name] = port.ServiceEvidence{Service: name, Evidence: report}
	}
	return reports
}

// serviceNames returns the distinct services of the peers in sorted order.
func serviceNames(peers []servingPeer) []ident.ServiceName {
	var all []ident.ServiceName
	for _, p := range peers {
		all = append(all, p.services...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// significantReports reduces the reports to targets that are suspected or draining, and omits reports
// without such targets. The in-flight counts of other targets matter only to hosts that use the same
// targets, which are those of the same region.
func significantReports(reports []port.ServiceEvidence) []port.ServiceEvidence {
	var list []port.ServiceEvidence
	for _, r := range reports {
		var targets []health.TargetEvidence
		for _, t := range r.Evidence.Targets {
			if t.Score >= minReportedScore || t.Draining {
				targets = append(targets, t)
			}
		}
		if r.Evidence.Targets = targets; len(targets) > 0 {
			list = append(list, r)
		}
	}
	return list
}

// selectReports returns the reports of the named services that have one.
func selectReports(byService map[ident.ServiceName]port.ServiceEvidence, names []ident.ServiceName) []port.ServiceEvidence {
	var list []port.ServiceEvidence
	for _, name := range names {
		if report, ok := byService[name]; ok {
			list = append(list, report)
		}
	}
	return list
}

// merge passes the reports of another host to the engines of their services.
func (e *evidenceExchanger) merge(reports []port.ServiceEvidence) {
	active := e.services.activeConfig()
	if active == nil {
		return
	}
	for _, r := range reports {
		if backend := active.Backends[r.Service]; backend != nil {
			backend.Engine.Merge(r.Evidence)
		}
	}
}

// handleExchange merges the evidence of another host and returns this host's evidence for the same
// services.
func (e *evidenceExchanger) handleExchange(from ident.HostID, reports []port.ServiceEvidence) []port.ServiceEvidence {
	e.merge(reports)
	var names []ident.ServiceName
	for _, r := range reports {
		names = append(names, r.Service)
	}
	replies := selectReports(e.localReports(names), names)
	if e.hosts.inDifferentRegions(e.identity.host, from) {
		return significantReports(replies)
	}
	return replies
}
