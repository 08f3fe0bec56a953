package app

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/httpserver"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

const (
	// limitsInterval is the time between two checks of the memory in use.
	limitsInterval = 100 * time.Millisecond
	// limitsLogInterval is the time between two log lines about the limits, which sum up what happened.
	limitsLogInterval = time.Second
	// pressureFraction is the part of the budget, as a divisor, from which on clients hold much memory.
	// Idle connections of ordinary callers take less.
	pressureFraction = 8
	// pressureHoldTime is the time below that part after which they no longer do. Each change of the memory
	// limit of the runtime stops the program for a moment.
	pressureHoldTime = 10 * time.Second
)

// limitCounts are the counters of the limits for clients.
type limitCounts struct {
	connections httpserver.LimitStats
	memory      membudget.Status
}

func (g *Gateway) limitCounts() limitCounts {
	return limitCounts{connections: g.callers.LimitStats(), memory: g.ingress.Memory().Status()}
}

// watchedServer is a server beside that for callers, whose limits are counted and logged.
type watchedServer struct {
	name   string
	server *httpserver.Server
	// logged is what was counted at the last log line.
	logged httpserver.LimitStats
}

// WatchServer adds a server to the metrics and the log of limits. It is called before Run.
func (g *Gateway) WatchServer(name string, server *httpserver.Server) {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	g.servers = append(g.servers, &watchedServer{name: name, server: server})
}

// logServerLimits writes a line for each further server whose clients met a limit since the last one.
func (g *Gateway) logServerLimits() {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	for _, w := range g.servers {
		current := w.server.LimitStats()
		if current == w.logged {
			continue
		}
		g.log.WithFields(logrus.Fields{
			"event": "server_limited", "server": w.name, "max_connections": w.server.MaxConnections(),
			"refused_connections": current.Refused - w.logged.Refused, "refused_for_share": current.RefusedForShare - w.logged.RefusedForShare,
			"evicted": current.Evicted() - w.logged.Evicted(),
		}).Warn("clients of a server met a limit")
		w.logged = current
	}
}

// writeServerMetrics writes the metrics of the limits of further servers.
func (g *Gateway) writeServerMetrics(w io.Writer) {
	g.serversMu.Lock()
	defer g.serversMu.Unlock()
	for _, s := range g.servers {
		stats := s.server.LimitStats()
		metrics.WriteCounterUint64(w, fmt.Sprintf("sapphirehaven_server_connections_refused_total{server=%q}", s.name), stats.Refused)
		metrics.WriteCounterUint64(w, fmt.Sprintf("sapphirehaven_server_connections_evicted_total{server=%q}", s.name), stats.Evicted())
	}
}

// watchClientLimits keeps the memory within its limits until ctx ends, and logs what was refused or closed.
func (g *Gateway) watchClientLimits(ctx context.Context) {
	tick := time.NewTicker(limitsInterval)
	defer tick.Stop()
	var logged, pressureAt time.Time
	last := g.limitCounts()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		memory := g.ingress.Memory()
		now := time.Now()
		if memory.Used() > memory.Size()/pressureFraction {
			pressureAt = now
		}
		g.heap.setPressure(now.Sub(pressureAt) < pressureHoldTime)
		g.callers.CloseUnread(g.settings.Limits.MaxUnreadResponses)
		g.callers.ReleaseSent()
		if now.Sub(logged) >= limitsLogInterval {
			logged = now
			current := g.limitCounts()
			logLimits(g.log, last, current, g.callers)
			g.logServerLimits()
			last = current
		}
	}
}

// logLimits writes a line if clients met a limit since the last one.
func logLimits(log logrus.FieldLogger, last, current limitCounts, callers *httpserver.Server) {
	c, m := current.connections, current.memory
	// That a body is not read is no limit: a request without a route is refused before.
	last.connections.Discards = c.Discards
	refusedMemory := uint64(0)
	for class := range membudget.NumClasses {
		refusedMemory += m.Refused[class] - last.memory.Refused[class]
	}
	if c == last.connections && refusedMemory == 0 && m.EvictedStalled == last.memory.EvictedStalled && m.EvictedForFairness == last.memory.EvictedForFairness {
		return
	}
	open := callers.Connections()
	fields := logrus.Fields{
		"event": "clients_limited", "budget": m.Size, "connections": open.New + open.Idle + open.Reading + open.Serving,
		"max_connections": callers.MaxConnections(), "arriving_bodies": m.Arriving, "clients": m.Clients,
		"refused_connections": c.Refused - last.connections.Refused, "refused_for_share": c.RefusedForShare - last.connections.RefusedForShare, "evicted_waiting": c.EvictedWaiting - last.connections.EvictedWaiting,
		"evicted_reading": c.EvictedReading - last.connections.EvictedReading, "evicted_discarding": c.EvictedDiscarding - last.connections.EvictedDiscarding, "evicted_writing": c.EvictedWriting - last.connections.EvictedWriting,
		"discards_narrowed": c.DiscardsNarrowed - last.connections.DiscardsNarrowed, "discards_cut": c.DiscardsCut - last.connections.DiscardsCut, "sends_narrowed": c.SendsNarrowed - last.connections.SendsNarrowed,
		"heads_too_large": c.HeadsTooLarge - last.connections.HeadsTooLarge, "heads_timed_out": c.HeadsTimedOut - last.connections.HeadsTimedOut,
		"refused_memory": refusedMemory, "evicted_stalled": m.EvictedStalled - last.memory.EvictedStalled,
		"evicted_for_fairness": m.EvictedForFairness - last.memory.EvictedForFairness,
	}
	for class := range membudget.NumClasses {
		fields["used_"+class.String()] = m.Used[class]
	}
	log.WithFields(fields).Warn("clients met a limit")
}

// writeLimitMetrics writes the metrics of the limits.
func (g *Gateway) writeLimitMetrics(w io.Writer) {
	m := g.ingress.Memory().Status()
	metrics.WriteGaugeUint64(w, "sapphirehaven_memory_budget_bytes", uint64(m.Size))
	for class := range membudget.NumClasses {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("sapphirehaven_memory_used_bytes{class=%q}", class), uint64(max(0, m.Used[class])))
		metrics.WriteCounterUint64(w, fmt.Sprintf("sapphirehaven_memory_refused_total{class=%q}", class), m.Refused[class])
	}
	metrics.WriteCounterUint64(w, `sapphirehaven_bodies_evicted_total{reason="stalled"}`, m.EvictedStalled)
	metrics.WriteCounterUint64(w, `sapphirehaven_bodies_evicted_total{reason="fairness"}`, m.EvictedForFairness)
	metrics.WriteGaugeUint64(w, "sapphirehaven_bodies_arriving", uint64(m.Arriving))
	c := g.callers.LimitStats()
	metrics.WriteGaugeUint64(w, "sapphirehaven_caller_connections_max", uint64(g.callers.MaxConnections()))
	metrics.WriteCounterUint64(w, "sapphirehaven_connections_refused_total", c.Refused)
	metrics.WriteCounterUint64(w, "sapphirehaven_connections_refused_for_share_total", c.RefusedForShare)
	for _, e := range []struct {
		phase string
		count uint64
	}{{"waiting", c.EvictedWaiting}, {"reading", c.EvictedReading}, {"discarding", c.EvictedDiscarding}, {"writing", c.EvictedWriting}} {
		metrics.WriteCounterUint64(w, fmt.Sprintf("sapphirehaven_connections_evicted_total{phase=%q}", e.phase), e.count)
	}
	metrics.WriteCounterUint64(w, "sapphirehaven_bodies_discarded_total", c.Discards)
	metrics.WriteCounterUint64(w, "sapphirehaven_bodies_discarded_narrowed_total", c.DiscardsNarrowed)
	metrics.WriteCounterUint64(w, "sapphirehaven_bodies_discarded_cut_total", c.DiscardsCut)
	metrics.WriteCounterUint64(w, "sapphirehaven_responses_narrowed_total", c.SendsNarrowed)
	metrics.WriteCounterUint64(w, `sapphirehaven_heads_refused_total{reason="size"}`, c.HeadsTooLarge)
	metrics.WriteCounterUint64(w, `sapphirehaven_heads_refused_total{reason="time"}`, c.HeadsTimedOut)
	g.writeServerMetrics(w)
}

// limitsStatus returns the state of the limits for the administration interface.
func (g *Gateway) limitsStatus() *adminapi.Limits {
	m := g.ingress.Memory().Status()
	limits := &adminapi.Limits{BudgetBytes: m.Size, UsedBytes: map[string]int64{}, ArrivingBodies: m.Arriving}
	for class := range membudget.NumClasses {
		limits.UsedBytes[class.String()] = m.Used[class]
	}
	open := g.callers.Connections()
	limits.Connections, limits.MaxConnections = open.New+open.Idle+open.Reading+open.Serving, g.callers.MaxConnections()
	return limits
}
