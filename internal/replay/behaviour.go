package replay

import "time"

// behaviourKey is one key that sets a part of a target's behaviour.
type behaviourKey struct {
	name string
	read func(f *fields, key string) func(*Behaviour)
}

var behaviourTable = []behaviourKey{
	{"latency", readLatency},
	{"queue", func(f *fields, key string) func(*Behaviour) {
		n := f.integer(key, 0, 0, 1<<20)
		return func(b *Behaviour) { b.QueueLength = n }
	}},
	{"shed", func(f *fields, key string) func(*Behaviour) {
		share := f.share(key, 0)
		return func(b *Behaviour) { b.ShedShare = share }
	}},
	{"shed-not-run", func(f *fields, key string) func(*Behaviour) {
		yes := readYes(f, key)
		return func(b *Behaviour) { b.ShedOmitsNotRun = !yes }
	}},
	{"cancels", func(f *fields, key string) func(*Behaviour) {
		yes := readYes(f, key)
		return func(b *Behaviour) { b.IgnoreCancel = !yes }
	}},
	{"probes", func(f *fields, key string) func(*Behaviour) {
		mode := ProbeMode(f.choice(key, 0, "follow", "pass", "fail"))
		return func(b *Behaviour) { b.ProbeMode = mode }
	}},
	{"load-report", readLoadReport},
	{"load-lag", func(f *fields, key string) func(*Behaviour) {
		lag := f.duration(key, 0)
		return func(b *Behaviour) { b.LoadReportAge = lag }
	}},
}

// behaviourKeys reads the keys of a target's behaviour that the line has.
func behaviourKeys(f *fields) []func(*Behaviour) {
	var list []func(*Behaviour)
	for _, k := range behaviourTable {
		if f.has(k.name) {
			list = append(list, k.read(f, k.name))
		}
	}
	return list
}

func readYes(f *fields, key string) bool { return f.choice(key, 0, "yes", "no") == 0 }

func readLatency(f *fields, key string) func(*Behaviour) {
	text := f.text(key, "")
	d, err := parseDistribution(text)
	if err != nil {
		f.fail(distributionSyntax, "latency: %v", err)
	}
	return func(b *Behaviour) { b.Latency = d }
}

// readLoadReport reads "true", "off" or the number of requests in flight that
// the target claims.
func readLoadReport(f *fields, key string) func(*Behaviour) {
	switch f.keys[key] {
	case "true":
		f.take(key)
		return func(b *Behaviour) { b.ReportedInFlight, b.NoLoadReport = -1, false }
	case "off":
		f.take(key)
		return func(b *Behaviour) { b.NoLoadReport = true }
	}
	n := f.integer(key, 0, 0, 1<<20)
	return func(b *Behaviour) { b.ReportedInFlight, b.NoLoadReport = n, false }
}

// coldFactor returns the latency factor of a cold start that began at from.
func coldFactor(f *Fault, at time.Duration) float64 {
	if f.ColdFor <= 0 || at < f.Until || at >= f.Until+f.ColdFor {
		return 1
	}
	left := 1 - float64(at-f.Until)/float64(f.ColdFor)
	return 1 + (f.ColdFactor-1)*left
}
