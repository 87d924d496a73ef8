package domain

import "time"

// ConfigDocument is the operators' configuration. It is stored as a single value.
type ConfigDocument struct {
	// Version increases by one with each accepted edit.
	Version    uint64               `json:"version"`
	Teams      map[TeamID]TeamRow   `json:"teams"`
	Keys       map[string]KeyRow    `json:"keys"`
	Queues     map[QueueID]QueueRow `json:"queues"`
	Partitions []PartitionRow       `json:"partitions"`
	// RecentEdits lists the latest edits, oldest first, so that an edit whose
	// response was lost is recognized when it is retried.
	RecentEdits []AppliedEdit `json:"recent_edits,omitempty"`
}

// AppliedEdit records an accepted edit.
type AppliedEdit struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// TeamRow is a team's row in the table of weights and limits.
type TeamRow struct {
	// Revision is the document version that last changed the row.
	Revision uint64 `json:"revision"`
	// Share is the team's scheduling weight when the fleet is full.
	Share float64 `json:"share"`
	// Limit bounds the resources of the team's running tasks across the fleet.
	Limit Resources `json:"limit"`
	// LimitRequests bounds the team's in-flight requests across the fleet.
	LimitRequests int64 `json:"limit_requests"`
}

// KeyRow is a granted key. The secret itself is never stored.
type KeyRow struct {
	Revision uint64 `json:"revision"`
	Team     TeamID `json:"team"`
	// SecretSHA256 is the hex-encoded SHA-256 hash of the secret part of the key.
	SecretSHA256 string    `json:"secret_sha256"`
	Granted      time.Time `json:"granted"`
	// Operator reports whether the key may change the configuration.
	Operator bool `json:"operator,omitempty"`
}

// QueueRow is the configuration of a request queue.
type QueueRow struct {
	Revision uint64 `json:"revision"`
	// Open reports whether the queue accepts requests without a key.
	Open bool `json:"open,omitempty"`
	// MaxWaiting bounds the requests that wait in the queue at each instance.
	MaxWaiting int `json:"max_waiting"`
	// TimeoutMS is the default deadline of a request in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
}

// PartitionRow assigns availability zones to a partition.
type PartitionRow struct {
	ID     PartitionID `json:"id"`
	Region RegionID    `json:"region"`
	Zones  []ZoneID    `json:"zones"`
}
