package confdoc

import (
	"time"

	"auburnpier/internal/domain"
)

// Edit is one change of the document. Exactly one field other than ID must be set.
type Edit struct {
	// ID is unique to the edit. A retry sends the same ID, so that the edit is applied only once.
	ID string `json:"id"`

	SetTeam       *SetTeam       `json:"set_team,omitempty"`
	DeleteTeam    *DeleteTeam    `json:"delete_team,omitempty"`
	GrantKey      *GrantKey      `json:"grant_key,omitempty"`
	WithdrawKey   *WithdrawKey   `json:"withdraw_key,omitempty"`
	SetQueue      *SetQueue      `json:"set_queue,omitempty"`
	DeleteQueue   *DeleteQueue   `json:"delete_queue,omitempty"`
	SetPartitions *SetPartitions `json:"set_partitions,omitempty"`
	Import        *Import        `json:"import,omitempty"`
}

// SetTeam creates or replaces a team. Based is the revision of the row that the operator edited, or
// zero for a new team. The revision in Row is ignored.
type SetTeam struct {
	Team  domain.TeamID  `json:"team"`
	Based uint64         `json:"based"`
	Row   domain.TeamRow `json:"row"`
}

// DeleteTeam deletes a team and withdraws its keys.
type DeleteTeam struct {
	Team  domain.TeamID `json:"team"`
	Based uint64        `json:"based"`
}

// GrantKey adds a key. It conflicts with an existing key of the same ID.
type GrantKey struct {
	KeyID        string        `json:"key_id"`
	Team         domain.TeamID `json:"team"`
	SecretSHA256 string        `json:"secret_sha256"`
	Granted      time.Time     `json:"granted"`
	Operator     bool          `json:"operator,omitempty"`
}

// WithdrawKey deletes a key, so that it is no longer accepted.
type WithdrawKey struct {
	KeyID string `json:"key_id"`
	Based uint64 `json:"based"`
}

// SetQueue creates or replaces a queue. Based is the revision of the row that the operator edited, or
// zero for a new queue. The revision in Row is ignored.
type SetQueue struct {
	Queue domain.QueueID  `json:"queue"`
	Based uint64          `json:"based"`
	Row   domain.QueueRow `json:"row"`
}

type DeleteQueue struct {
	Queue domain.QueueID `json:"queue"`
	Based uint64         `json:"based"`
}

// SetPartitions replaces the list of partitions. Partition rows have no revision, so Based is the
// whole list that the operator edited.
type SetPartitions struct {
	Based      []domain.PartitionRow `json:"based"`
	Partitions []domain.PartitionRow `json:"partitions"`
}

// Import replaces whole sections of the document. BasedVersion is the version that the operator
// exported.
type Import struct {
	BasedVersion uint64 `json:"based_version"`
	Table        Table  `json:"table"`
}

// Table is the part of the document that can be imported. A nil section is left unchanged, except
// that the keys of teams that the import removes are withdrawn. Row revisions are ignored.
type Table struct {
	Teams      map[domain.TeamID]domain.TeamRow   `json:"teams,omitempty"`
	Keys       map[string]domain.KeyRow           `json:"keys,omitempty"`
	Queues     map[domain.QueueID]domain.QueueRow `json:"queues,omitempty"`
	Partitions []domain.PartitionRow              `json:"partitions,omitempty"`
}

// countChanges returns the number of countChanges that the edit holds.
func (e Edit) countChanges() int {
	set := []bool{
		e.SetTeam != nil, e.DeleteTeam != nil, e.GrantKey != nil, e.WithdrawKey != nil,
		e.SetQueue != nil, e.DeleteQueue != nil, e.SetPartitions != nil, e.Import != nil,
	}
	n := 0
	for _, s := range set {
		if s {
			n++
		}
	}
	return n
}
