package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/platform"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

// teams are the teams of all configurations that have some. The callers of the last one exceed its quota.
var teams = [...]platformtest.Team{
	{Name: "ferry"},
	{Name: "barge", Priority: 2},
	{Name: "harbour", Priority: 1, RatePerSecond: 10, Burst: 5},
}

// teamOfCaller lists the indices of the teams of callers, which repeat.
var teamOfCaller = [...]int{0, 1, 2, 0, 1, 0}

const (
	// keyMark is a part of all keys.
	keyMark = "soak-key-"
	// keysOfTeam is the number of keys of a team. The first one is always valid, the others are added and
	// removed.
	keysOfTeam = 3
	// unknownKey is a key of no team, falseTeam a team that callers name and no configuration has.
	unknownKey = keyMark + "unknown"
	falseTeam  = "mallory"
)

func keyOf(team string, n int) string { return fmt.Sprintf("%s%s-%d", keyMark, team, n) }

// firstKeys returns the keys of the first configuration.
func firstKeys() map[string]bool {
	keys := map[string]bool{}
	for _, t := range teams {
		for n := range keysOfTeam {
			keys[keyOf(t.Name, n)] = true
		}
	}
	return keys
}

// teamsOf returns the teams with valid keys.
func teamsOf(keys map[string]bool) (list []platformtest.Team) {
	for _, t := range teams {
		for n := range keysOfTeam {
			if key := keyOf(t.Name, n); keys[key] {
				t.Keys = append(t.Keys, key)
			}
		}
		if len(t.Keys) > 0 {
			list = append(list, t)
		}
	}
	return list
}

// changeKeys sends a configuration that adds or removes a key of each team, so that many requests show it.
func (s *system) changeKeys(e event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version.keys == nil {
		return
	}
	keys := maps.Clone(s.version.keys)
	for _, t := range teams {
		key := keyOf(t.Name, 1+int(e.choice)%(keysOfTeam-1))
		if keys[key] {
			delete(keys, key)
		} else {
			keys[key] = true
		}
	}
	s.putVersion(version{number: s.version.number + 1, services: s.version.services, keys: keys})
}

// addKey gives a request a key and sets what its target is told, and returns the header fields and the
// trailer fields for that. A part of the requests has no key that is valid, or names a team itself.
func (o *outgoing) addKey(team string, rng *rand.Rand) (fields, trailer string) {
	d := platform.Dialect()
	o.needsKey = !strings.HasPrefix(o.path, openPath)
	switch choice := rng.IntN(40); {
	case choice < 2:
		o.key = unknownKey
	case choice >= 3:
		o.key, o.team = keyOf(team, max(0, choice-20)%keysOfTeam), team
	}
	if o.key != "" {
		fields = fmt.Sprintf("%s: Bearer %s\r\n", d.Authorization, o.key)
	}
	if !o.needsKey {
		o.team = ""
	}
	switch rng.IntN(12) {
	case 0:
		fields += fmt.Sprintf("%s: %s\r\n", strings.ToLower(d.Team), falseTeam)
	case 1:
		fields += fmt.Sprintf("%s: %s\r\nConnection: keep-alive, %s, %s\r\n", strings.ToUpper(d.Team), falseTeam, d.Authorization, d.Team)
	case 2:
		trailer = fmt.Sprintf("%s: %s\r\n%s: Bearer %s\r\n", d.Team, falseTeam, d.Authorization, o.key)
	}
	return fields, trailer
}

// leaks reports whether any part of a request contains a key.
func leaks(parts ...any) bool { return strings.Contains(fmt.Sprint(parts...), keyMark) }

// toldTeam returns the team that a request names, in its head or its trailer.
func toldTeam(fields ...map[string][]string) string {
	var names []string
	for _, f := range fields {
		for name, values := range f {
			if strings.EqualFold(name, platform.Dialect().Team) {
				names = append(names, values...)
			}
		}
	}
	return strings.Join(slices.Sorted(slices.Values(names)), ",")
}
