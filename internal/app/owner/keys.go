package owner

import (
	"strconv"

	"auburnpier/internal/domain"
)

// Store keys of the cell.
const (
	keyPrefix   = "auburnpier/"
	ownerKey    = keyPrefix + "owner"
	sequenceKey = keyPrefix + "sequence"
	membersKey  = keyPrefix + "workers"
	learnedKey  = keyPrefix + "learned"
	jobPrefix   = keyPrefix + "job/"
	statePrefix = keyPrefix + "state/"
	wavePrefix  = keyPrefix + "wave/"
)

// chainKey is the key that each transaction of a write chain rewrites.
func chainKey(chain int) string { return sequenceKey + "/" + strconv.Itoa(chain) }

func jobKey(id domain.JobID) string { return jobPrefix + string(id) }

// StateKey returns the key of a job's progress.
func StateKey(id domain.JobID) string { return statePrefix + string(id) }

// Claim is the value of the owner's key.
type Claim struct {
	Instance domain.InstanceID `cbor:"1,keyasint"`
	Address  string            `cbor:"2,keyasint"`
	Epoch    int64             `cbor:"3,keyasint"`
	// Token is unique to a term, so that a claim transaction whose answer was lost is recognized.
	Token string `cbor:"4,keyasint"`
	// Lease is the lease the key is attached to; zero in claims written by earlier versions.
	Lease int64 `cbor:"5,keyasint,omitempty"`
}

// sequence is the value of the keys rewritten by each claim and by each transaction of a write
// chain. A transaction that is applied late finds a different revision and changes nothing.
type sequence struct {
	// Epoch is that of the term. Under sequenceKey it is the highest fence that the term may use.
	Epoch  int64  `cbor:"1,keyasint"`
	Number int64  `cbor:"2,keyasint"`
	Token  string `cbor:"3,keyasint"`
}
