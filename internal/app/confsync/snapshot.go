package confsync

import (
	"crypto/sha256"
	"encoding/hex"

	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/domain"
)

// Snapshot is one version of the configuration. It is immutable.
type Snapshot struct {
	// Doc must not be modified.
	Doc  domain.ConfigDocument
	keys map[string]storedKey
}

// Identity is the team and key that a request is authenticated as.
type Identity struct {
	Team  domain.TeamID
	KeyID string
	// Operator reports whether the key may change the configuration.
	Operator bool
}

type storedKey struct {
	sum      [sha256.Size]byte
	identity Identity
}

func newSnapshot(doc domain.ConfigDocument) *Snapshot {
	s := &Snapshot{Doc: doc, keys: make(map[string]storedKey, len(doc.Keys))}
	for id, row := range doc.Keys {
		k := storedKey{identity: Identity{Team: row.Team, KeyID: id, Operator: row.Operator}}
		n, err := hex.Decode(k.sum[:], []byte(row.SecretSHA256))
		if err != nil || n != len(k.sum) {
			continue // never happens in a validated document; the key is not accepted
		}
		s.keys[id] = k
	}
	return s
}

// Version returns the version of the document.
func (s *Snapshot) Version() uint64 { return s.Doc.Version }

// Lookup returns the identity of the key in this version, without checking freshness. The secret is
// hashed and compared for unknown IDs too, so that the response time does not reveal which IDs exist.
func (s *Snapshot) Lookup(key teamkey.Key) (Identity, bool) {
	stored, ok := s.keys[key.ID()]
	matches := key.Matches(stored.sum)
	if !ok || !matches {
		return Identity{}, false
	}
	return stored.identity, true
}
