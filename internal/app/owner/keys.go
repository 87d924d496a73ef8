package owner

import (
	"strconv"

	"auburnpier/internal/domain"
)

// Keys of the cell in the store.
const (
	keyPrefix   = "auburnpier/"
	ownerKey    = keyPrefix + "owner"
	sequenceKey = keyPrefix + "sequence"
	membersKey  = keyPrefix + "workers"
	jobPrefix   = keyPrefix + "job/"
	statePrefix = keyPrefix + "state/"
	wavePrefix  = keyPrefix + "wave/"
)

// laneKey is the key that each transaction of one chain rewrites.
func laneKey(lane int) string { return sequenceKey + "/" + strconv.Itoa(lane) }

func jobKey(id domain.JobID) string { return jobPrefix + string(id) }

// StateKey is the key of a job's progress.
func StateKey(id domain.JobID) string { return statePrefix + string(id) }

// Claim is the value of the owner's key.
type Claim struct {
	Instance domain.InstanceID `cbor:"1,keyasint"`
	Address  string            `cbor:"2,keyasint"`
	Epoch    int64             `cbor:"3,keyasint"`
	// Token is unique to the process, so that a claim whose answer was lost is recognized.
	Token string `cbor:"4,keyasint"`
	// Lease is what the claim is bound to, zero in claims of earlier versions.
	Lease int64 `cbor:"5,keyasint,omitempty"`
}

// sequence is the value of the keys that the claims, and the transactions of one
// chain, rewrite. A transaction that takes effect late finds another revision
// and changes nothing.
type sequence struct {
	Epoch  int64  `cbor:"1,keyasint"`
	Number int64  `cbor:"2,keyasint"`
	Token  string `cbor:"3,keyasint"`
}
