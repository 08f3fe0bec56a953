// Package team holds the teams of a deployment: the keys that their callers present, their
// priority and their quota.
//
// A key is held only as a digest, so that no copy, log or message of a host contains it.
package team

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// KeyDigestBytes is the length of a KeyDigest in bytes. At 16 bytes a collision among
// millions of keys is out of reach.
const KeyDigestBytes = 16

// KeyDigest identifies a key without containing it: the first bytes of its SHA-256 hash.
type KeyDigest [KeyDigestBytes]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:KeyDigestBytes])
}

// MarshalText returns the digest in hexadecimal. Without it, JSON has a number for each byte.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(KeyDigestBytes) {
		return errors.Errorf("a digest of %d characters, want %d", len(text), hex.EncodedLen(KeyDigestBytes))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Quota limits the requests of a team over all hosts. The zero value is no limit.
type Quota struct {
	// RatePerSecond is the number of requests per second, 0 for no limit.
	RatePerSecond float64
	// Burst is the number of requests that may come on top at once.
	Burst float64
}

// Limited reports whether the quota limits requests.
func (q Quota) Limited() bool { return q.RatePerSecond > 0 }

// Team is one team.
type Team struct {
	Name ident.TeamName
	// Keys holds the digests of the team's keys.
	Keys []KeyDigest
	// Priority goes before the priority of a request's class; 0 is served first.
	Priority int
	Quota    Quota
	// Rejected is set if the host does not understand the definition of the team. Its
	// requests are refused, and their keys are not unknown.
	Rejected bool `json:",omitempty"`
}

// Directory finds a team by a key. It is immutable and safe for concurrent use.
type Directory struct {
	teams []Team
	// byKey maps a key to the index of its team.
	byKey map[KeyDigest]int32
}

// NewDirectory returns a directory of teams, which must not change afterwards. A key that
// two teams hold belongs to the first of them.
func NewDirectory(teams []Team) *Directory {
	d := &Directory{teams: teams, byKey: make(map[KeyDigest]int32, len(teams))}
	for i := range teams {
		for _, key := range teams[i].Keys {
			if _, taken := d.byKey[key]; !taken {
				d.byKey[key] = int32(i)
			}
		}
	}
	return d
}

// Lookup returns the team that holds a key, or nil if none does.
func (d *Directory) Lookup(key string) *Team {
	i, ok := d.byKey[DigestKey(key)]
	if !ok {
		return nil
	}
	return &d.teams[i]
}

// Teams returns all teams. The caller must not change them.
func (d *Directory) Teams() []Team { return d.teams }

// Find returns the team with a name, or nil if there is none. It examines all teams: requests are
// not identified by names.
func (d *Directory) Find(name ident.TeamName) *Team {
	for i := range d.teams {
		if d.teams[i].Name == name {
			return &d.teams[i]
		}
	}
	return nil
}
