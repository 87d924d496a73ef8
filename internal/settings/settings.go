// Package settings reads settings and job files in JSON with comments. Each file is validated as a
// whole, so that all invalid or unknown fields are reported at once.
package settings

import (
	"time"

	"auburnpier/internal/domain"
)

// Settings is the settings file of an instance.
type Settings struct {
	// Instance is unique in the cell. An instance on a replacement VM gets a new ID.
	Instance domain.InstanceID `json:"instance"`
	Location Location          `json:"location"`
	Listen   Listen            `json:"listen"`
	Store    Store             `json:"store"`
	VMList   VMList            `json:"vm_list"`
	Peers    Peers             `json:"peers"`
	TLS      TLS               `json:"tls"`
	// Bootstrap is used only while the store holds no configuration.
	Bootstrap Bootstrap `json:"bootstrap"`
	Policy    Policy    `json:"policy"`
	Requests  Requests  `json:"requests"`
	Shutdown  Shutdown  `json:"shutdown"`
	Log       Log       `json:"log"`
}

// Location is the region and availability zone of the instance.
type Location struct {
	Region domain.RegionID `json:"region"`
	Zone   domain.ZoneID   `json:"zone"`
}

// Listen holds the addresses that the process listens on, each an IP address and a port.
type Listen struct {
	// API serves callers, operators, health checks and metrics.
	API string `json:"api"`
	// Peers serves gRPC calls (TCP) and membership datagrams (UDP) of other instances.
	Peers string `json:"peers"`
}

// Store configures access to the platform's key-value store.
type Store struct {
	// Adapter is "http".
	Adapter string `json:"adapter"`
	// Address is a URL, such as "http://10.0.0.5:7000".
	Address string `json:"address"`
	// TimeoutMS is the timeout of each call except watches.
	TimeoutMS int64 `json:"timeout_ms"`
}

// VMList configures access to the platform's list of VMs.
type VMList struct {
	Address string `json:"address"`
	PollMS  int64  `json:"poll_ms"`
	// MaxLagMS is the maximum time by which the list may be out of date.
	MaxLagMS int64 `json:"lag_ms"`
}

// Peers configures how other instances are found and authenticated.
type Peers struct {
	// Seeds lists peer addresses of other instances. More are learned from the registry in the store.
	Seeds []string `json:"seeds"`
	// SecretFile is the path of the file with the secret that all instances share.
	SecretFile string `json:"secret_file"`
}

// Bootstrap holds what is needed to create the first configuration.
type Bootstrap struct {
	// KeyFile is the path of the file with the first operator's key. If it is empty, another instance
	// creates the configuration.
	KeyFile string `json:"key_file"`
}

// TLS holds the certificate files. A section without files disables TLS there.
type TLS struct {
	API   Certificate `json:"api"`
	Peers Certificate `json:"peers"`
}

// Certificate holds paths of PEM files, which are reloaded when they change.
type Certificate struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile holds the CA certificates that the peer's certificate is verified with.
	CAFile string `json:"ca_file"`
}

// Enabled reports whether a certificate is set.
func (c Certificate) Enabled() bool { return c.CertFile != "" }

// Policy holds the weights and limits of the scheduling policy.
type Policy struct {
	// ShareWeight is the weight of a team's distance from its fair share, against waiting time.
	ShareWeight float64 `json:"share_weight"`
	// WaitingWeight is the weight of the time that a job has waited.
	WaitingWeight float64 `json:"waiting_weight"`
	// PackingWeight is between 0, which spreads tasks evenly, and 1, which prefers the fullest worker
	// with sufficient free capacity.
	PackingWeight float64 `json:"packing_weight"`
	// MaxHoldFraction is the maximum fraction of a partition, by its dominant resource, that may be
	// held for waiting gangs and large tasks.
	MaxHoldFraction float64 `json:"max_held"`
	// HoldDelayMS is how long a job waits before capacity is held for it.
	HoldDelayMS int64 `json:"reservation_delay_ms"`
}

// Requests limits what callers may send.
type Requests struct {
	// MaxBodyBytes is the maximum size of the body of a request to a queue. Such bodies are streamed.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of the header of any request.
	MaxHeaderBytes int64 `json:"max_header_bytes"`
	// ReadTimeoutMS is the timeout for receiving a header or a JSON body.
	ReadTimeoutMS int64 `json:"read_timeout_ms"`
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int64 `json:"max_connections"`
	// MaxWaitingBytes is the maximum memory used by waiting requests.
	MaxWaitingBytes int64 `json:"max_waiting_bytes"`
	// MaxIncomingBytes is the maximum memory used by bodies that are read whole, until their requests are answered. Zero
	// means MaxWaitingBytes.
	MaxIncomingBytes int64 `json:"max_incoming_bytes"`
	// SlotHoldTimeoutMS is the time after which the slot of a cancelled request is freed even if the
	// backend server hasn't finished the request.
	SlotHoldTimeoutMS int64 `json:"slot_hold_bound_ms"`
}

// Shutdown holds the times of a graceful shutdown.
type Shutdown struct {
	// BalancerDelayMS is how long the load balancer needs to notice that the instance isn't ready.
	BalancerDelayMS int64 `json:"balancer_delay_ms"`
	// TimeoutMS is the maximum duration of the shutdown.
	TimeoutMS int64 `json:"bound_ms"`
}

// Log configures logging.
type Log struct {
	Level string `json:"level"`
}

// Default returns the default values of optional settings.
func Default() Settings {
	return Settings{
		Store:  Store{Adapter: "http", TimeoutMS: 1500},
		VMList: VMList{PollMS: 1000, MaxLagMS: 30000},
		Policy: Policy{
			ShareWeight: 1, WaitingWeight: 0.02, PackingWeight: 0.8,
			MaxHoldFraction: 0.12, HoldDelayMS: 90_000,
		},
		Requests: Requests{
			MaxBodyBytes:      64 << 20,
			MaxHeaderBytes:    32 << 10,
			ReadTimeoutMS:     30000,
			MaxConnections:    4096,
			MaxWaitingBytes:   64 << 20,
			SlotHoldTimeoutMS: 30000,
		},
		Shutdown: Shutdown{BalancerDelayMS: 3000, TimeoutMS: 30000},
		Log:      Log{Level: "info"},
	}
}

// Milliseconds converts n milliseconds to a time.Duration.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
