package soak

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// ending states how a request ended for its caller.
type ending int

const (
	// pending means that the request has not ended.
	pending ending = iota
	// answered means that a complete answer was read.
	answered
	// closed means that the connection was closed before a byte of the answer was read.
	closed
	// reset means that the connection was reset before a byte of the answer was read.
	reset
	// partial means that the connection ended within the answer.
	partial
	// abandoned means that the caller gave up.
	abandoned
	// unsent means that the request could not be written completely.
	unsent
)

var endingNames = [...]string{"pending", "answered", "closed", "reset", "partial", "abandoned", "unsent"}

// call is a request as its caller saw it.
type call struct {
	request
	host       int
	idempotent bool
	// startedAt is before the first byte was written, sentAt after the last.
	startedAt, sentAt, endedAt time.Time
	// timeout is the time after sentAt until which the host may answer.
	timeout time.Duration
	// kept is set if the connection had served a request before.
	kept   bool
	ending ending
	// behindClose is set if the answer before it on the connection was announced as the last.
	behindClose bool
	// left is set if the caller gave up on purpose before its deadline.
	left bool
	// key is the key of the request, needsKey is set if its route and the configuration ask for one,
	// and team is the team of which its target is told if the key is valid.
	key, team string
	needsKey  bool
	// status and signed describe an answer; signed is set if a target made it.
	status int
	signed bool
}

func (c *call) succeeded() bool {
	return c.ending == answered && c.signed && c.status >= 200 && c.status < 300
}

// progress states how far a target got with a request.
type progress int

const (
	// working means that the target has not finished.
	working progress = iota
	// complete means that the target wrote its whole answer.
	complete
	// brokeOff means that the target failed to answer: its answer was cut, garbled or missing.
	brokeOff
	// rejected means that the target stated that it did not run the request.
	rejected
	// rejectedInstance is rejected because the request was for another target.
	rejectedInstance
)

// run is a request as a target saw it.
type run struct {
	request
	target, service string
	place           int
	at, endedAt     time.Time
	// remaining is the time that the host left to the target, 0 if it stated none.
	remaining time.Duration
	progress  progress
	// team is the team of which the host told the target.
	team string
	// expected is the target for which the request was meant if it was another one.
	expected string
	// leaving is set if the answer stated that the target leaves.
	leaving bool
}

// executed reports whether the target began to work on the request.
func (r *run) executed() bool { return r.progress != rejected && r.progress != rejectedInstance }

// workingAt reports whether the target worked on the request at a time.
func (r *run) workingAt(at time.Time) bool {
	return r.executed() && !r.at.After(at) && (r.endedAt.IsZero() || r.endedAt.After(at))
}

// departure is a target that left, with the time at which the store acknowledged it.
type departure struct {
	target  string
	ackedAt time.Time
}

// requestedPause is a time in which a target wanted no requests.
type requestedPause struct {
	target     string
	start, end time.Time
}

// version is a configuration that was sent to the store.
type version struct {
	number          int
	sentAt, ackedAt time.Time
	// services maps the path prefix of each route to its service.
	services map[string]string
	// keys are the valid keys, nil without teams.
	keys map[string]bool
}

// usage is what the processes of a host used at most.
type usage struct {
	residentBytes int64
	descriptors   int
}

// breach is a broken promise.
type breach struct {
	rule    rule
	at      time.Time
	request string
	text    string
}

// evidence is what callers and targets saw, and what was done to the system.
type evidence struct {
	calls      map[string]call
	runs       map[string][]run
	departures []departure
	pauses     []requestedPause
	versions   []version
	disruptions
	// peaks holds the usage of hosts whose limits are set.
	peaks map[int]usage
	// breaches were noticed at once by a caller or by the supervision of a process.
	breaches []breach
	// recoveredAt is the time from which requests must be served again, if it is known.
	recoveredAt time.Time
}

// recorder collects evidence. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	e  evidence
}

func newRecorder() *recorder {
	return &recorder{e: evidence{calls: map[string]call{}, runs: map[string][]run{}, peaks: map[int]usage{}}}
}

// snapshot returns a copy of the evidence.
func (r *recorder) snapshot() *evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.e
	e.calls = maps.Clone(e.calls)
	e.runs = make(map[string][]run, len(r.e.runs))
	for id, runs := range r.e.runs {
		e.runs[id] = slices.Clone(runs)
	}
	e.pauses, e.peaks = slices.Clone(e.pauses), maps.Clone(e.peaks)
	e.departures, e.versions, e.breaches = slices.Clone(e.departures), slices.Clone(e.versions), slices.Clone(e.breaches)
	e.disruptions = slices.Clone(e.disruptions)
	return &e
}

// putCall adds or replaces a call.
func (r *recorder) putCall(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.calls[c.id] = c
}

// startRun adds a run and returns its index among those of the request.
func (r *recorder) startRun(n run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.runs[n.id] = append(r.e.runs[n.id], n)
	return len(r.e.runs[n.id]) - 1
}

// endRun sets the result of a run.
func (r *recorder) endRun(id string, index int, p progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &r.e.runs[id][index]
	n.progress, n.endedAt = p, time.Now()
}

func (r *recorder) addDeparture(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.departures = append(r.e.departures, departure{target, time.Now()})
}

func (r *recorder) addPause(p requestedPause) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.pauses = append(r.e.pauses, p)
}

func (r *recorder) addVersion(v version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.versions = append(r.e.versions, v)
}

// ackVersion records that the store acknowledged a version.
func (r *recorder) ackVersion(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.e.versions {
		if r.e.versions[n].number == number {
			r.e.versions[n].ackedAt = time.Now()
		}
	}
}

// addUsage records what the process of a host uses.
func (r *recorder) addUsage(host int, u usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peak := r.e.peaks[host]
	r.e.peaks[host] = usage{max(peak.residentBytes, u.residentBytes), max(peak.descriptors, u.descriptors)}
}

func (r *recorder) addBreach(b breach) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.breaches = append(r.e.breaches, b)
}

func (r *recorder) setRecovered(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.recoveredAt = at
}

// addStall adds a time in which this process was late.
func (r *recorder) addStall(start, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.e.disruptions = append(r.e.disruptions, disruption{cause: stalled, host: none, place: none, name: "stall of the soak", start: start, end: end})
}

// disrupt adds a disruption that lasts until the returned function is called.
func (r *recorder) disrupt(i disruption) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i.start = time.Now()
	r.e.disruptions = append(r.e.disruptions, i)
	index := len(r.e.disruptions) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.e.disruptions[index].end = time.Now()
	}
}
