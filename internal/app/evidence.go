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
)

// exchangeInterval is the time between two exchanges of health evidence with
// the other serving hosts.
const exchangeInterval = time.Second

// quietIntervals is the number of intervals between two exchanges of hosts that
// have no evidence against a target. A report counts for 3 s.
const quietIntervals = 2

// minNewsScore is the score from which a report has news: half of the lowest
// threshold, 11. Receivers store no lower score (internal/core/health).
const minNewsScore = 5.5

// evidence exchanges health evidence among the hosts that serve the same
// service.
type evidence struct {
	services *services
	hosts    *directory
	peers    port.Peers
	identity *identity
	log      logrus.FieldLogger
	// round counts the intervals.
	round int
}

// run exchanges evidence until ctx ends.
func (e *evidence) run(ctx context.Context) {
	for ctx.Err() == nil {
		e.exchangeAll(ctx)
		sleep(ctx, exchangeInterval)
	}
}

// exchangeAll calls the hosts that share a service, at the same time, so that a
// silent host does not delay the others. A host with evidence against a target
// calls at once. Otherwise the host with the lower ID of two in a region calls
// at times, and the reply carries the other's evidence; hosts of different
// regions have nothing to tell. At 1,300 services, a call for each pair in each
// second would fill the 30 Mbit/s link between regions.
//
// A call gets one interval: a report counts for 3 s, so a host that does not
// answer must not delay the next exchange with the others for longer.
func (e *evidence) exchangeAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeInterval)
	defer cancel()
	e.round++
	partners := e.hosts.partners(e.identity.host)
	own := e.own(allNames(partners))
	var calls sync.WaitGroup
	for _, p := range partners {
		reports := e.reportsFor(p, choose(own, p.services))
		if len(reports) == 0 {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			replies, err := e.peers.Exchange(ctx, p.PeerAddress, reports)
			if err != nil {
				e.log.WithError(err).Debug("evidence was not exchanged")
				return
			}
			e.merge(replies)
		}()
	}
	calls.Wait()
}

// reportsFor returns the reports that a partner gets in this interval, none
// when it is not called.
func (e *evidence) reportsFor(p partner, reports []port.ServiceEvidence) []port.ServiceEvidence {
	news := against(reports)
	if p.remote {
		return news
	}
	if quiet := e.identity.host > p.ID || e.round%quietIntervals != 0; len(news) == 0 && quiet {
		return nil
	}
	return reports
}

// own returns this host's reports for services. Each report has its own
// sequence number, so it is made once for all partners.
func (e *evidence) own(names []ident.ServiceName) map[ident.ServiceName]port.ServiceEvidence {
	reports := map[ident.ServiceName]port.ServiceEvidence{}
	active := e.services.current()
	if active == nil {
		return reports
	}
	caller := e.identity.Caller()
	for _, name := range names {
		backend := active.Backends[name]
		if backend == nil {
			continue
		}
		report := backend.Engine.Evidence()
		report.Host, report.Incarnation = caller.Host, caller.Incarnation
		reports[name] = port.ServiceEvidence{Service: name, Evidence: report}
	}
	return reports
}

func allNames(partners []partner) []ident.ServiceName {
	var all []ident.ServiceName
	for _, p := range partners {
		all = append(all, p.services...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// against returns the reports with only the targets that they speak against,
// and leaves out reports without any. What is in flight matters only to hosts
// that use the same targets, those of the same region.
func against(reports []port.ServiceEvidence) []port.ServiceEvidence {
	var list []port.ServiceEvidence
	for _, r := range reports {
		var targets []health.TargetEvidence
		for _, t := range r.Evidence.Targets {
			if t.Score >= minNewsScore || t.Draining {
				targets = append(targets, t)
			}
		}
		if r.Evidence.Targets = targets; len(targets) > 0 {
			list = append(list, r)
		}
	}
	return list
}

func choose(own map[ident.ServiceName]port.ServiceEvidence, names []ident.ServiceName) []port.ServiceEvidence {
	var list []port.ServiceEvidence
	for _, name := range names {
		if report, ok := own[name]; ok {
			list = append(list, report)
		}
	}
	return list
}

func (e *evidence) merge(reports []port.ServiceEvidence) {
	active := e.services.current()
	if active == nil {
		return
	}
	for _, r := range reports {
		if backend := active.Backends[r.Service]; backend != nil {
			backend.Engine.Merge(r.Evidence)
		}
	}
}

// answer takes another host's evidence and returns this host's for the same
// services.
func (e *evidence) answer(from ident.HostID, reports []port.ServiceEvidence) []port.ServiceEvidence {
	e.merge(reports)
	var names []ident.ServiceName
	for _, r := range reports {
		names = append(names, r.Service)
	}
	replies := choose(e.own(names), names)
	if e.hosts.remote(e.identity.host, from) {
		return against(replies)
	}
	return replies
}
