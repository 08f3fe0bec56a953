package capacity

import (
	"fmt"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

// fewTeams is the number of teams of a deployment of today.
const fewTeams = 74

// measureTeam measures the teams of a configuration and the lookup of their keys.
func measureTeam(cfg Config, s *Slopes) error {
	many := max(1, cfg.Size.Teams)
	size := retainedBytes(func() any { return team.NewDirectory(sampleTeams(many)) })
	s.add("team.entry", size/float64(many), "bytes", fmt.Sprintf("one of %d teams with two keys, in the configuration and in the directory of keys", many))
	for _, c := range []struct {
		id    string
		count int
	}{{"team.lookup-few", fewTeams}, {"team.lookup-all", many}} {
		directory := team.NewDirectory(sampleTeams(c.count))
		key, n := sampleKey(0, 0), 0
		s.add(c.id, nsPerCall(cfg, func() {
			if directory.Lookup(key) != nil {
				n++
			}
		}), "ns", fmt.Sprintf("the lookup of one key of %d teams, its digest included", c.count))
	}
	return nil
}

func sampleKey(i, n int) string { return fmt.Sprintf("key-%d-%d", i, n) }

func sampleTeams(count int) []team.Team {
	teams := make([]team.Team, count)
	for i := range teams {
		teams[i] = team.Team{Name: ident.TeamName(fmt.Sprintf("team-%d", i)), Keys: []team.KeyDigest{team.DigestKey(sampleKey(i, 0)), team.DigestKey(sampleKey(i, 1))}}
	}
	return teams
}
