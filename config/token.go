package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"

	"zinniapulley.dev/core"
	"zinniapulley.dev/core/strictjson"
)

// TokenHash is the SHA-256 hash of a team's token. Tokens themselves are never
// stored.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of a token.
func HashToken(token string) TokenHash {
	return sha256.Sum256([]byte(token))
}

// UnmarshalText reads 64 hexadecimal digits.
func (h *TokenHash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return errors.New("must be the SHA-256 hash of a token in 64 hexadecimal digits")
	}
	copy(h[:], decoded)
	return nil
}

// MarshalText writes 64 hexadecimal digits.
func (h TokenHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// Authenticate returns the team that a token belongs to, and false if it
// belongs to none. Its duration doesn't depend on which hash matches.
func (d Document) Authenticate(token string) (core.Team, bool) {
	presented := HashToken(token)
	var team core.Team
	found := false
	for _, name := range sortedKeys(d.Teams) {
		for _, hash := range d.Teams[name].Tokens {
			if subtle.ConstantTimeCompare(hash[:], presented[:]) == 1 {
				team, found = name, true
			}
		}
	}
	return team, found
}

// SharedTokens returns a fault for each token hash that an earlier team has too:
// Authenticate finds one team for a token. It isn't part of Validate, by which replicas
// also judge commands and snapshots of earlier versions that allowed it.
func (d Document) SharedTokens() Faults {
	var faults Faults
	owners := make(map[TokenHash]core.Team)
	for _, name := range sortedKeys(d.Teams) {
		for i, hash := range d.Teams[name].Tokens {
			owner, known := owners[hash]
			if known && owner != name {
				path := fmt.Sprintf("%s.tokens[%d]", strictjson.Join("teams", string(name)), i)
				faults = append(faults, strictjson.NewFault(path, fmt.Sprintf("is also a token of team %q", owner)))
				continue
			}
			owners[hash] = name
		}
	}
	return faults
}

// SharedTokens is Document.SharedTokens for a submission of the teams.
func (s Submission) SharedTokens() Faults {
	var d Document
	if s.Section != SectionTeams || len(d.replaceSection(s)) > 0 {
		return nil
	}
	return d.SharedTokens()
}
