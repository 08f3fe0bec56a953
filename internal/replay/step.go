package replay

// stepEvent is a time-stamped line of the trace.
type stepEvent struct{ step *Step }

func (e stepEvent) happen(p *player) {
	switch do := e.step.Action.(type) {
	case Arrivals:
		p.startArrivals(do, e.step.Line)
	case RequestBurst:
		p.single(do)
	case SetBehaviour:
		p.setBehaviour(do)
	case Silence:
		p.silence(do)
	case Drain:
		p.drain(do)
	case Restart:
		p.restart(do)
	case ChangeHosts:
		p.changeHosts(do)
	case ChangeTargets:
		p.changeTargets(do)
	case EvidenceCut:
		p.cuts = append(p.cuts, do)
	}
}

func (p *player) setBehaviour(s SetBehaviour) {
	for _, i := range s.Targets {
		for _, change := range s.Changes {
			change(&p.targets[i].behaviour)
		}
	}
}

// silence stops all connections that are open now.
func (p *player) silence(s Silence) {
	for _, i := range s.Hosts {
		h := p.hosts[i]
		if h == nil || h.dead {
			continue
		}
		for _, k := range s.Targets {
			for _, c := range h.pools[k].idle {
				c.silent = true
			}
			for _, y := range h.tries {
				if y.target.index == k {
					y.conn.silent = true
				}
			}
		}
	}
}

func (p *player) drain(d Drain) {
	for _, i := range d.Targets {
		p.targets[i].draining = d.Draining
		p.targets[i].refuses = d.RefuseRequests
	}
}

func (p *player) restart(r Restart) {
	for _, i := range r.Targets {
		p.targets[i].draining = false
	}
}

func (p *player) changeHosts(l ChangeHosts) {
	for _, i := range l.Hosts {
		switch l.Change {
		case HostJoins:
			p.join(i)
		case HostLeaves:
			p.leave(p.hosts[i])
		case HostKilled:
			p.kill(p.hosts[i])
		}
	}
}

func (p *player) changeTargets(l ChangeTargets) {
	for _, i := range l.Targets {
		p.targets[i].present = l.Present
		p.measure.presence(p, i, l.Present)
	}
	p.reconfigure()
}
