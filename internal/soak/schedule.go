package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is the kind of an event.
type kind int

// Kinds of events. Those before firstUnplanned are planned work.
const (
	// stopHost sends SIGTERM, and SIGKILL at the end of the grace period, and starts the host again.
	stopHost kind = iota
	hangUpHost
	changeConfig
	// changeKeys adds or removes a key of each team.
	changeKeys
	// drainTarget reports that a target is draining, ends it after a while and starts another one,
	// at times of another service, at its address.
	drainTarget
	// unlistTarget is drainTarget of a target that removes its record without reporting.
	unlistTarget
	storeDown
	storeSlow
	storeLosesAnswers
	// restoreStore restores the store from a copy that is some seconds old.
	restoreStore

	firstUnplanned
	killHost kind = iota - 1
	freezeHost
	storeRefusesHost
	delayCallers
	resetCallers
	silenceCallers
	cutCallers
	delayStore
	resetStore
	silenceStore
	cutStore
	crashTarget
	failTarget
	slowTarget
	truncateTarget
	garbleTarget
	repeatTarget
	delayTarget
	resetTarget
	silenceTarget
	cutTarget
	killAllHosts
	kinds

	// pauseTarget makes a target ask for a pause. It belongs to Config.TargetNotices.
	pauseTarget = kinds
	// untrustedClients opens many connections to a host on which untrusted clients send. It belongs to style.clients.
	untrustedClients = kinds + 1
)

var kindNames = [kinds + 2]string{
	"stop host", "hang up host", "change configuration", "change keys", "drain target", "unlist target", "store down", "store slow", "store loses answers", "restore store",
	"kill host", "freeze host", "store refuses host", "delay callers of host", "reset callers of host", "silence callers of host", "cut callers of host",
	"delay store of host", "reset store of host", "silence store of host", "cut store of host",
	"crash target", "fail at target", "slow target", "truncate at target", "garble at target", "repeat at target", "delay target", "reset target",
	"silence target", "cut target", "kill all hosts", "pause target", "untrusted clients at host",
}

// onHost reports whether an event is about a host, onTarget whether it is about a place of a target.
func (k kind) onHost() bool {
	return k == stopHost || k == hangUpHost || k >= killHost && k <= cutStore || k == untrustedClients
}

func (k kind) onTarget() bool {
	return k == drainTarget || k == unlistTarget || k >= crashTarget && k <= cutTarget || k == pauseTarget
}

// onStore reports whether an event keeps hosts from the store.
func (k kind) onStore() bool {
	return k >= storeDown && k <= storeLosesAnswers || k == storeRefusesHost || k == cutStore
}

// event is one entry of a schedule.
type event struct {
	// at is the time since the start of the schedule, lasting how long the fault lasts, or the pause
	// before a restart.
	at, lasting time.Duration
	kind        kind
	// index is that of the host or of the place.
	index int
	// choice selects among the variants of an event.
	choice uint64
}

func (e event) String() string {
	text := fmt.Sprintf("%6.2fs %s", e.at.Seconds(), kindNames[e.kind])
	if e.kind.onHost() || e.kind.onTarget() {
		text += fmt.Sprintf(" %d", e.index+1)
	}
	return fmt.Sprintf("%s, %s, variant %d", text, e.lasting, e.choice%variants)
}

// variants is the number of variants of an event.
const variants = 4

// style is the mix of events of a schedule.
type style struct {
	name string
	// unplannedShare is the percentage of events that are unplanned.
	unplannedShare int
	// victims is the percentage of hosts and places that unplanned events hit.
	victims int
	// storeFaults is set if a part of the planned events are faults of the store.
	storeFaults bool
	// restores is set if the store is restored from older copies.
	restores bool
	// clients is set if untrusted clients send to hosts whose limits are lowered.
	clients bool
}

var styles = []style{
	{name: "planned work"},
	{name: "planned work and faults of the store", storeFaults: true, restores: true},
	{name: "planned work and faults of few", unplannedShare: 40, victims: 34},
	{name: "faults of all", unplannedShare: 65, victims: 100, storeFaults: true, restores: true},
	{name: "planned work and untrusted clients", clients: true},
}

// style returns the mix of events. Consecutive seeds take turns, so that a few of them have all mixes.
func (c *Config) style() style { return styles[c.Seed%uint64(len(styles))] }

// Times of a schedule.
const (
	firstEventAt = 800 * time.Millisecond
	// meanInterval is the mean time between two events.
	meanInterval = 450 * time.Millisecond
	minLasting   = 200 * time.Millisecond
	maxLasting   = 2500 * time.Millisecond
	// longStoreFactor multiplies the duration of a part of the faults of the store, so that a target
	// leaves and its address is used again meanwhile.
	longStoreFactor = 4
	// stopSpan and killSpan are the times in which a host that was stopped or killed gets no other
	// signal of these kinds.
	stopSpan = grace + maxRestartPause + time.Second
	killSpan = maxLasting + time.Second
	// leaveSpan is the time in which a place with a leaving target gets no other event that replaces it.
	leaveSpan = 10 * time.Second
)

// plannedKinds lists the planned kinds as often as their weights; unplanned kinds are equally likely.
var plannedKinds = []kind{stopHost, stopHost, stopHost, stopHost, hangUpHost, changeConfig, changeConfig, changeKeys, changeKeys, drainTarget, drainTarget, unlistTarget}

// storeKinds lists the faults of the store as often as their weights. A host that is kept from the store
// while the others are not falls behind them.
var storeKinds = []kind{storeDown, storeSlow, storeLosesAnswers, storeRefusesHost, storeRefusesHost, cutStore, cutStore}

// frequentKinds lists the unplanned kinds that come more often than the others: the answers of a target
// break in more ways than one fault shows.
var frequentKinds = []kind{freezeHost, truncateTarget, truncateTarget, garbleTarget, repeatTarget, repeatTarget}

// scheduler generates a schedule.
type scheduler struct {
	cfg    *Config
	rng    *rand.Rand
	style  style
	events []event
	// hostBusy and placeBusy are the times until which a host or a place gets no event that ends its
	// process.
	hostBusy, placeBusy map[int]time.Duration
	killedAll           bool
	// firstHost and firstPlace are the first of those that unplanned events hit.
	firstHost, firstPlace int
}

// newSchedule returns the schedule of a seed and the name of its style.
func newSchedule(cfg *Config, rng *rand.Rand) ([]event, string) {
	s := &scheduler{cfg: cfg, rng: rng, style: cfg.style(), hostBusy: map[int]time.Duration{}, placeBusy: map[int]time.Duration{}}
	s.firstHost, s.firstPlace = rng.IntN(cfg.Hosts), rng.IntN(cfg.Targets)
	for at := firstEventAt; at < cfg.Duration; at += time.Duration(rng.ExpFloat64() * float64(meanInterval)) {
		s.add(at)
	}
	if cfg.TargetNotices {
		s.addPauses()
	}
	if s.style.restores {
		s.addRestores()
	}
	if s.style.clients {
		s.addUntrusted()
	}
	slices.SortStableFunc(s.events, func(a, b event) int { return int(a.at - b.at) })
	return s.events, s.style.name
}

// pauseInterval is the time between two pauses that targets ask for.
const pauseInterval = 2 * time.Second

// addPauses adds pauses of targets after the other events are drawn, so that those don't depend on them.
func (s *scheduler) addPauses() {
	for at := firstEventAt; at < s.cfg.Duration; at += pauseInterval {
		e := event{at: at, lasting: maxLasting, kind: pauseTarget, index: s.rng.IntN(s.cfg.Targets)}
		s.events = append(s.events, e)
	}
}

const (
	// firstRestoreAt is late enough for hosts that were ready at the start to be in touch when what is
	// lost is in force. restoreInterval is the time between two restorations.
	firstRestoreAt  = stabilityWindow + 700*time.Millisecond
	restoreInterval = 12 * time.Second
	// beforeRestore is the time before a restoration at which two targets leave and the configuration
	// changes: it is in force, the copy does not have it, and the targets still serve.
	beforeRestore = 2500 * time.Millisecond
	// minRewrite is the shortest time until what was lost is written again.
	minRewrite = 1500 * time.Millisecond
	// untrustedInterval is the time between two arrivals of untrusted clients.
	untrustedInterval = 3 * time.Second
)

// addRestores adds restorations of the store, and changes that they lose.
func (s *scheduler) addRestores() {
	for at := firstRestoreAt; at < s.cfg.Duration; at += restoreInterval {
		for _, k := range []kind{drainTarget, unlistTarget} {
			e := event{at: at - beforeRestore, kind: k, choice: s.rng.Uint64() % variants}
			for _, e.index = range s.rng.Perm(s.cfg.Targets) {
				if s.reserve(e) {
					s.events = append(s.events, e)
					break
				}
			}
		}
		for _, k := range []kind{changeConfig, changeKeys, restoreStore} {
			e := event{at: at - beforeRestore, kind: k, lasting: minRewrite + time.Duration(s.rng.Int64N(int64(maxLasting-minRewrite))), choice: s.rng.Uint64() % variants}
			switch k {
			case changeConfig:
				// The route moves that many requests use.
				e.choice %= 2
			case restoreStore:
				e.at = at
			}
			s.events = append(s.events, e)
		}
	}
}

// addUntrusted adds arrivals of untrusted clients, with all variants in turn.
func (s *scheduler) addUntrusted() {
	variant := s.rng.Uint64()
	for at := firstEventAt; at < s.cfg.Duration; at += untrustedInterval {
		s.events = append(s.events, event{at: at, lasting: maxLasting, kind: untrustedClients, index: s.rng.IntN(s.cfg.Hosts), choice: variant % variants})
		variant++
	}
}

func (s *scheduler) add(at time.Duration) {
	lasting := minLasting + time.Duration(s.rng.Int64N(int64(maxLasting-minLasting)))
	e := event{at: at, lasting: lasting, kind: s.chooseKind(), choice: s.rng.Uint64() % variants}
	if e.kind.onStore() && e.choice < 2 {
		e.lasting *= longStoreFactor
	}
	share := 100
	if e.kind >= firstUnplanned && s.style.unplannedShare > 0 {
		share = s.style.victims
	}
	switch {
	case e.kind.onHost():
		e.index = (s.firstHost + s.rng.IntN(max(1, s.cfg.Hosts*share/100))) % s.cfg.Hosts
	case e.kind.onTarget():
		e.index = (s.firstPlace + s.rng.IntN(max(1, s.cfg.Targets*share/100))) % s.cfg.Targets
	}
	if s.reserve(e) {
		s.events = append(s.events, e)
	}
}

// firstStops is the number of events at the start that stop hosts, so that each schedule has some stops
// before other events make hosts busy.
const firstStops = 2

func (s *scheduler) chooseKind() kind {
	switch {
	case len(s.events) < firstStops:
		return stopHost
	case s.rng.IntN(100) < s.style.unplannedShare:
		return s.chooseUnplanned()
	case s.style.storeFaults && s.rng.IntN(5) == 0:
		return storeKinds[s.rng.IntN(len(storeKinds))]
	}
	return plannedKinds[s.rng.IntN(len(plannedKinds))]
}

func (s *scheduler) chooseUnplanned() kind {
	n := s.rng.IntN(int(kinds-firstUnplanned) + len(frequentKinds))
	if n < len(frequentKinds) {
		return frequentKinds[n]
	}
	return firstUnplanned + kind(n-len(frequentKinds))
}

// reserve reports whether an event is possible next to the earlier ones, and reserves its host or place.
func (s *scheduler) reserve(e event) bool {
	switch e.kind {
	case stopHost, killHost:
		span := killSpan
		if e.kind == stopHost {
			span = stopSpan
		}
		return s.reserveHost(e, span)
	case drainTarget, unlistTarget, crashTarget:
		if s.placeBusy[e.index] > e.at {
			return false
		}
		s.placeBusy[e.index] = e.at + leaveSpan
	case killAllHosts:
		if s.killedAll || s.busyHosts(e.at) > 0 {
			return false
		}
		s.killedAll = true
		for n := range s.cfg.Hosts {
			s.hostBusy[n] = e.at + killSpan
		}
	}
	return true
}

// reserveHost leaves at least one host, and a third of them, without a stop or a kill.
func (s *scheduler) reserveHost(e event, span time.Duration) bool {
	if s.hostBusy[e.index] > e.at || s.busyHosts(e.at) >= max(1, s.cfg.Hosts*2/3) {
		return false
	}
	s.hostBusy[e.index] = e.at + span
	return true
}

func (s *scheduler) busyHosts(at time.Duration) (count int) {
	for _, until := range s.hostBusy {
		if until > at {
			count++
		}
	}
	return count
}
