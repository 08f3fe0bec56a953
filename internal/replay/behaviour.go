package replay

import "time"

// behaviourKey is one key=value setting of a target's behaviour.
type behaviourKey struct {
	name string
	read func(f *lineFields, key string) func(*Behaviour)
}

var behaviourKeys = []behaviourKey{
	{"latency", readLatency},
	{"queue", func(f *lineFields, key string) func(*Behaviour) {
		n := f.integer(key, 0, 0, 1<<20)
		return func(b *Behaviour) { b.QueueLength = n }
	}},
	{"shed", func(f *lineFields, key string) func(*Behaviour) {
		share := f.share(key, 0)
		return func(b *Behaviour) { b.ShedShare = share }
	}},
	{"shed-not-run", func(f *lineFields, key string) func(*Behaviour) {
		enabled := readYes(f, key)
		return func(b *Behaviour) { b.ShedOmitsNotRun = !enabled }
	}},
	{"cancels", func(f *lineFields, key string) func(*Behaviour) {
		enabled := readYes(f, key)
		return func(b *Behaviour) { b.IgnoreCancel = !enabled }
	}},
	{"probes", func(f *lineFields, key string) func(*Behaviour) {
		mode := ProbeMode(f.choice(key, 0, "follow", "pass", "fail"))
		return func(b *Behaviour) { b.ProbeMode = mode }
	}},
	{"load-report", readLoadReport},
	{"load-lag", func(f *lineFields, key string) func(*Behaviour) {
		lag := f.duration(key, 0)
		return func(b *Behaviour) { b.LoadReportAge = lag }
	}},
}

// parseBehaviour reads the behaviour keys of the line and returns the changes that
// they make.
func parseBehaviour(f *lineFields) []func(*Behaviour) {
	var list []func(*Behaviour)
	for _, k := range behaviourKeys {
		if f.has(k.name) {
			list = append(list, k.read(f, k.name))
		}
	}
	return list
}

func readYes(f *lineFields, key string) bool { return f.choice(key, 0, "yes", "no") == 0 }

func readLatency(f *lineFields, key string) func(*Behaviour) {
	text := f.text(key, "")
	d, err := parseDistribution(text)
	if err != nil {
		f.fail(distributionSyntax, "latency: %v", err)
	}
	return func(b *Behaviour) { b.Latency = d }
}

// readLoadReport reads "true" (the real number), "off" (no load report) or the
// number of requests in flight that the target reports.
func readLoadReport(f *lineFields, key string) func(*Behaviour) {
	switch f.values[key] {
	case "true":
		f.takeValue(key)
		return func(b *Behaviour) { b.ReportedInFlight, b.NoLoadReport = -1, false }
	case "off":
		f.takeValue(key)
		return func(b *Behaviour) { b.NoLoadReport = true }
	}
	n := f.integer(key, 0, 0, 1<<20)
	return func(b *Behaviour) { b.ReportedInFlight, b.NoLoadReport = n, false }
}

// coldFactor returns the latency factor at a time after the fault. It falls
// linearly from ColdFactor at the end of the fault to 1 after ColdFor.
func coldFactor(f *Fault, at time.Duration) float64 {
	if f.ColdFor <= 0 || at < f.Until || at >= f.Until+f.ColdFor {
		return 1
	}
	left := 1 - float64(at-f.Until)/float64(f.ColdFor)
	return 1 + (f.ColdFactor-1)*left
}
