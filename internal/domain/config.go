package domain

import "time"

// ConfigDocument is the operators' configuration. It is stored as one value.
type ConfigDocument struct {
	// Version grows by one with each accepted edit.
	Version    uint64               `json:"version"`
	Teams      map[TeamID]TeamRow   `json:"teams"`
	Keys       map[string]KeyRow    `json:"keys"`
	Queues     map[QueueID]QueueRow `json:"queues"`
	Partitions []PartitionRow       `json:"partitions"`
	// RecentEdits holds the IDs of the last edits, oldest first, so that an
	// edit whose answer was lost is recognized when it is repeated.
	RecentEdits []AppliedEdit `json:"recent_edits,omitempty"`
}

// AppliedEdit records an accepted edit.
type AppliedEdit struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// TeamRow is one row of the table of weights and limits.
type TeamRow struct {
	// Revision is the document version that last changed the row.
	Revision uint64 `json:"revision"`
	// Share is the team's weight when the fleet is full.
	Share float64 `json:"share"`
	// Limit is the most that the team may have running over the fleet.
	Limit Resources `json:"limit"`
	// LimitRequests is the most requests that the team may have in flight over the fleet.
	LimitRequests int64 `json:"limit_requests"`
}

// KeyRow is one granted key. The secret itself is never stored.
type KeyRow struct {
	Revision uint64 `json:"revision"`
	Team     TeamID `json:"team"`
	// SecretSHA256 is the hex SHA-256 of the secret part of the key.
	SecretSHA256 string    `json:"secret_sha256"`
	Granted      time.Time `json:"granted"`
	// Operator marks a key that may change the configuration.
	Operator bool `json:"operator,omitempty"`
}

// QueueRow is one request queue.
type QueueRow struct {
	Revision uint64 `json:"revision"`
	// Open tells that requests are accepted without a key.
	Open bool `json:"open,omitempty"`
	// MaxWaiting bounds the requests that wait at one instance.
	MaxWaiting int `json:"max_waiting"`
	// TimeoutMS is the default deadline of a request in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
}

// PartitionRow names the availability zones of a partition.
type PartitionRow struct {
	ID     PartitionID `json:"id"`
	Region RegionID    `json:"region"`
	Zones  []ZoneID    `json:"zones"`
}
