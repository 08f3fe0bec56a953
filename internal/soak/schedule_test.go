package soak

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

// TestSchedule guards against a seed that gives two schedules, and against schedules that leave out a
// kind of event or stop all hosts.
func TestSchedule(t *testing.T) {
	cfg := Config{Duration: 20 * time.Second, Hosts: 4, Targets: 8}
	seen := map[kind]int{}
	for seed := range uint64(200) {
		cfg.Seed = seed
		events, style := newSchedule(&cfg, cfg.random())
		again, _ := newSchedule(&cfg, cfg.random())
		if fmt.Sprint(events) != fmt.Sprint(again) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		for _, e := range events {
			seen[e.kind]++
			if e.kind >= firstUnplanned && causeOf(e.kind) == unplanned && (style == styles[0].name || style == styles[1].name) {
				t.Errorf("seed %d has %s among %s", seed, e, style)
			}
			if e.at > cfg.Duration || e.kind.onHost() && e.index >= cfg.Hosts || e.kind.onTarget() && e.index >= cfg.Targets {
				t.Errorf("seed %d has %s", seed, e)
			}
		}
	}
	for k := range kinds {
		if seen[k] == 0 || kindNames[k] == "" {
			t.Errorf("kind %d (%q) is in %d events", k, kindNames[k], seen[k])
		}
	}
}

// TestValidate guards against errors that don't name the flag.
func TestValidate(t *testing.T) {
	good := Config{Duration: MinDuration, Hosts: MinHosts, Targets: MinTargets, Callers: 1}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for flag, change := range map[string]func(*Config){
		"-hosts":    func(c *Config) { c.Hosts = 1 },
		"-targets":  func(c *Config) { c.Targets = MaxTargets + 1 },
		"-duration": func(c *Config) { c.Duration = time.Second },
		"-callers":  func(c *Config) { c.Callers = 0 },
	} {
		cfg := good
		change(&cfg)
		if err := cfg.Validate(); err == nil || err.Error()[:len(flag)] != flag {
			t.Errorf("%s: %v", flag, err)
		}
	}
}

// TestKinds guards against routes whose kind differs from what callers assume.
func TestKinds(t *testing.T) {
	got := map[string]string{}
	for _, prefix := range []string{lookupPath, noticePath, uploadPath, movedPath, extraPath(1)} {
		got[prefix] = kindOf(prefix)
	}
	want := map[string]string{lookupPath: platformtest.Idempotent, noticePath: platformtest.NonIdempotent, uploadPath: platformtest.Upload, movedPath: platformtest.Idempotent, extraPath(1): platformtest.Idempotent}
	if !maps.Equal(got, want) {
		t.Errorf("kinds are %v, want %v", got, want)
	}
}
