package soak

import (
	"context"
	"fmt"
	"maps"
	"syscall"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/standin"
)

// Pauses of planned work.
const (
	// maxRestartPause is the longest time between the end of a process and its start.
	maxRestartPause = 1200 * time.Millisecond
	// signalInterval is the time between two signals in series.
	signalInterval = 250 * time.Millisecond
	// serveAfterDrain is how long a leaving target serves after drain. It still serves for a second and
	// a half once the store has lost that it leaves.
	serveAfterDrain = 2 * time.Second
	// expiry is the time after which the record of a crashed target is removed.
	expiry = 3 * heartbeat
	// restoreOutage is how long the store is down before it is restored, restoredAge the age of the copy.
	restoreOutage = 300 * time.Millisecond
	restoredAge   = 3500 * time.Millisecond
)

// inject applies one event and returns once its disruption has ended.
func (s *system) inject(ctx context.Context, e event) error {
	switch e.kind {
	case stopHost:
		return s.stopHost(s.hosts[e.index], e)
	case hangUpHost:
		h := s.hosts[e.index]
		end := s.disrupt(hangup, e)
		h.signal(syscall.SIGHUP)
		end()
	case killHost:
		return s.killHosts(e, s.hosts[e.index])
	case killAllHosts:
		return s.killHosts(e, s.hosts...)
	case freezeHost:
		s.freeze(ctx, s.hosts[e.index], e)
	case changeConfig:
		s.changeConfig(e)
		if e.choice == changesInSeries {
			s.changeConfig(e)
			s.changeConfig(e)
		}
	case changeKeys:
		s.changeKeys(e)
	case restoreStore:
		s.restore(ctx, e)
	case untrustedClients:
		s.connectUntrusted(ctx, s.hosts[e.index], e)
	case drainTarget, unlistTarget:
		return s.replaceTarget(ctx, s.places[e.index], e)
	case pauseTarget:
		s.places[e.index].target().pause(e.lasting)
	case crashTarget:
		return s.crash(ctx, s.places[e.index], e)
	default:
		s.disturb(ctx, e)
	}
	return nil
}

// disrupt records the disruption of an event.
func (s *system) disrupt(c cause, e event) (end func()) {
	i := disruption{cause: c, host: none, place: none, name: e.String()}
	if e.kind.onHost() {
		i.host = e.index
	} else if e.kind.onTarget() {
		i.place = e.index
	}
	return s.recorder.disrupt(i)
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// seriesOf lists the signals that follow a SIGTERM in each variant of a stop.
var seriesOf = [variants][]syscall.Signal{nil, {syscall.SIGHUP}, {syscall.SIGTERM, syscall.SIGHUP}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}}

// stopHost stops a host like the platform, with further signals on the way, and starts it again.
func (s *system) stopHost(h *host, e event) error {
	end := s.disrupt(planned, e)
	kill := time.Now().Add(grace)
	h.signal(syscall.SIGTERM)
	for _, signal := range seriesOf[e.choice%variants] {
		if h.waitExit(time.Now().Add(signalInterval)) {
			break
		}
		h.signal(signal)
	}
	if !h.waitExit(kill.Add(readyAfterStop-grace)) && h.isReady() && h.isReady() {
		s.recorder.addBreach(breach{ruleDrain, time.Now(), "", fmt.Sprintf("%s is ready %s after SIGTERM", h.settings.ID, readyAfterStop)})
	}
	if !h.waitExit(kill) {
		h.kill()
	}
	end()
	time.Sleep(min(e.lasting, maxRestartPause))
	return h.start()
}

// killHosts kills hosts at once and starts them again.
func (s *system) killHosts(e event, hosts ...*host) error {
	var ends []func()
	for _, h := range hosts {
		ends = append(ends, s.recorder.disrupt(disruption{cause: unplanned, host: h.index, place: none, name: e.String()}))
		h.signal(syscall.SIGKILL)
	}
	var result error
	for n, h := range hosts {
		h.waitExit(time.Now().Add(readyTimeout))
		if n == 0 {
			time.Sleep(min(e.lasting, maxRestartPause))
		}
		if err := h.start(); err != nil {
			result = err
		}
		ends[n]()
	}
	return result
}

func (s *system) freeze(ctx context.Context, h *host, e event) {
	end := s.disrupt(unplanned, e)
	defer end()
	h.signal(syscall.SIGSTOP)
	pause(ctx, e.lasting)
	h.signal(syscall.SIGCONT)
}

// changesInSeries is the variant in which three configurations follow each other at once.
const changesInSeries = 1

// changeConfig sends a configuration that moves a route, or adds or removes one.
func (s *system) changeConfig(e event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	services := maps.Clone(s.version.services)
	extra := extraPath(int(e.lasting) % extraPaths)
	switch {
	case e.choice < 2 && services[movedPath] == movedServiceA:
		services[movedPath] = movedServiceB
	case e.choice < 2:
		services[movedPath] = movedServiceA
	case services[extra] == "":
		services[extra] = lookupService
	default:
		delete(services, extra)
	}
	// Versions increase in uneven steps.
	s.putVersion(version{number: s.version.number + 1 + int(e.choice), services: services, keys: s.version.keys})
}

// replaceTarget lets a target leave as planned and starts another at its address.
func (s *system) replaceTarget(ctx context.Context, p *place, e event) error {
	old := p.target()
	old.leave(s, e.kind == unlistTarget)
	s.recorder.addDeparture(old.ID)
	pause(ctx, drain+serveAfterDrain)
	old.stop(ctx)
	s.removeTarget(old.ID)
	pause(ctx, addressReuse)
	if ctx.Err() != nil {
		return nil
	}
	service := homeService(p.index)
	if e.choice < 2 && p.index >= len(serviceOfPlace) {
		// The address is used again by another service.
		service = homeService(p.index + 1)
	}
	return s.startTarget(p, "", service)
}

// stop refuses new connections, lets running requests finish and ends the process.
func (t *target) stop(ctx context.Context) {
	t.listener.Close()
	for end := time.Now().Add(2 * longWork); time.Now().Before(end) && ctx.Err() == nil; {
		t.mu.Lock()
		running := len(t.running)
		t.mu.Unlock()
		if running == 0 {
			break
		}
		pause(ctx, readyInterval)
	}
	t.end()
}

// crash ends a target without a word and starts it again, at times under the same ID.
func (s *system) crash(ctx context.Context, p *place, e event) error {
	end := s.disrupt(unplanned, e)
	defer end()
	old := p.target()
	old.end()
	pause(ctx, e.lasting)
	if ctx.Err() != nil {
		return nil
	}
	id := ""
	if e.choice == 0 {
		id = old.ID
	} else {
		time.AfterFunc(expiry, func() { s.removeTarget(old.ID) })
	}
	return s.startTarget(p, id, old.Service)
}

// disturb applies a fault of the store, a link or a target, and ends it.
func (s *system) disturb(ctx context.Context, e event) {
	end := s.disrupt(causeOf(e.kind), e)
	defer end()
	s.apply(e, false)
	pause(ctx, e.lasting)
	s.apply(e, true)
}

// causeOf returns the cause of a fault of the store, a link or a target.
func causeOf(k kind) cause {
	switch k {
	case storeDown, storeSlow, storeLosesAnswers:
		return storeFault
	case storeRefusesHost, delayStore, resetStore, silenceStore, cutStore:
		return storeReachFault
	}
	return unplanned
}

// Strengths of faults.
const (
	linkDelay  = 60 * time.Millisecond
	storeDelay = 500 * time.Millisecond
	targetSlow = 400 * time.Millisecond
)

// apply begins or ends a fault.
func (s *system) apply(e event, ended bool) {
	switch e.kind {
	case storeDown, storeSlow, storeLosesAnswers:
		s.setStoreFaults(storeFaultsOf(e.kind, ended))
	case storeRefusesHost:
		refuseHost(s.hosts[e.index], e, ended)
	case delayCallers, resetCallers, silenceCallers, cutCallers:
		applyToLink(s.hosts[e.index].callerLink, e, e.kind-delayCallers, ended)
	case delayStore, resetStore, silenceStore, cutStore:
		applyToLink(s.hosts[e.index].storeLink, e, e.kind-delayStore, ended)
	case delayTarget, resetTarget, silenceTarget, cutTarget:
		applyToLink(s.places[e.index].link, e, e.kind-delayTarget, ended)
	default:
		s.places[e.index].target().setFaults(targetFaultsOf(e.kind, ended))
	}
}

// refuseHost makes the store refuse a host, by its answers or by resetting its connections.
func refuseHost(h *host, e event, ended bool) {
	if e.choice%2 == 0 {
		h.store.setFaults(storeFaultsOf(e.kind, ended))
		return
	}
	h.storeLink.SetFaults(standin.LinkFaults{Refuse: !ended})
	if !ended {
		h.storeLink.Reset()
	}
}

func storeFaultsOf(k kind, ended bool) storeFaults {
	switch {
	case ended:
		return storeFaults{}
	case k == storeSlow:
		return storeFaults{delay: storeDelay}
	case k == storeLosesAnswers:
		return storeFaults{losesAnswers: true}
	}
	return storeFaults{refuses: true}
}

func targetFaultsOf(k kind, ended bool) targetFaults {
	if ended {
		return targetFaults{}
	}
	f := targetFaults{failing: k == failTarget, truncating: k == truncateTarget, garbling: k == garbleTarget, repeating: k == repeatTarget}
	if k == slowTarget {
		f.slow = targetSlow
	}
	return f
}

// applyToLink begins or ends a fault of a link. The kinds follow each other in the order delay,
// reset, silence, cut for each link.
func applyToLink(l *standin.FaultLink, e event, fault kind, ended bool) {
	if ended {
		l.SetFaults(standin.LinkFaults{})
		return
	}
	switch fault {
	case 0:
		l.SetFaults(standin.LinkFaults{Delay: linkDelay})
	case 1:
		l.Reset()
	case 2:
		l.Silence()
	case 3:
		l.SetFaults(standin.LinkFaults{BlockForward: e.choice%2 == 0, BlockReverse: e.choice%2 == 1})
	}
}
