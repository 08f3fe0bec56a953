package replay

// stepEvent carries out a time-stamped line of the trace.
type stepEvent struct{ step *Step }

func (e stepEvent) apply(sim *simulation) {
	switch action := e.step.Action.(type) {
	case Arrivals:
		sim.startArrivals(action, e.step.Line)
	case RequestBurst:
		sim.startBurst(action)
	case SetBehaviour:
		sim.setBehaviour(action)
	case Silence:
		sim.silenceConnections(action)
	case Drain:
		sim.setDraining(action)
	case Restart:
		sim.endDraining(action)
	case ChangeHosts:
		sim.changeHosts(action)
	case ChangeTargets:
		sim.changeTargets(action)
	case EvidenceCut:
		sim.cuts = append(sim.cuts, action)
	}
}

func (sim *simulation) setBehaviour(s SetBehaviour) {
	for _, i := range s.Targets {
		for _, change := range s.Changes {
			change(&sim.targets[i].behaviour)
		}
	}
}

// silenceConnections stops delivery on all connections that are open now.
func (sim *simulation) silenceConnections(s Silence) {
	for _, i := range s.Hosts {
		h := sim.hosts[i]
		if h == nil || h.killed {
			continue
		}
		for _, target := range s.Targets {
			for _, c := range h.pools[target].idle {
				c.silenced = true
			}
			for _, att := range h.attempts {
				if att.target.index == target {
					att.conn.silenced = true
				}
			}
		}
	}
}

func (sim *simulation) setDraining(d Drain) {
	for _, i := range d.Targets {
		sim.targets[i].draining = d.Draining
		sim.targets[i].refusing = d.RefuseRequests
	}
}

func (sim *simulation) endDraining(r Restart) {
	for _, i := range r.Targets {
		sim.targets[i].draining = false
	}
}

func (sim *simulation) changeHosts(change ChangeHosts) {
	for _, i := range change.Hosts {
		switch change.Change {
		case HostJoins:
			sim.startHost(i)
		case HostLeaves:
			sim.drainHost(sim.hosts[i])
		case HostKilled:
			sim.killHost(sim.hosts[i])
		}
	}
}

func (sim *simulation) changeTargets(change ChangeTargets) {
	for _, i := range change.Targets {
		sim.targets[i].present = change.Present
		sim.metrics.recordPresence(sim, i, change.Present)
	}
	sim.reconfigure()
}
