// Package settings reads the settings of a process: JSON with comments, checked
// as a whole, so that every wrong or unknown field is reported at once.
package settings

import (
	"time"

	"auburnpier/internal/domain"
)

// Settings is everything that an instance learns from its settings file.
type Settings struct {
	// Instance is unique in the cell. A replaced VM gets a new one.
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

// Location tells where the instance stands.
type Location struct {
	Region domain.RegionID `json:"region"`
	Zone   domain.ZoneID   `json:"zone"`
}

// Listen names the addresses of the process, each an IP number and a port.
type Listen struct {
	// API serves callers, operators, health checks and metrics.
	API string `json:"api"`
	// Peers serves gRPC calls (TCP) and membership datagrams (UDP) of other instances.
	Peers string `json:"peers"`
}

// Store names the platform's key-value service.
type Store struct {
	// Adapter is "http".
	Adapter string `json:"adapter"`
	// Address is a URL, such as "http://10.0.0.5:7000".
	Address string `json:"address"`
	// TimeoutMS bounds each call but a watch.
	TimeoutMS int64 `json:"timeout_ms"`
}

// VMList names the platform's list of VMs.
type VMList struct {
	Address string `json:"address"`
	PollMS  int64  `json:"poll_ms"`
	// LagMS is how far the list may lag behind.
	LagMS int64 `json:"lag_ms"`
}

// Peers names the other instances.
type Peers struct {
	// Seeds are peer addresses of other instances. The registry in the store adds to them.
	Seeds []string `json:"seeds"`
	// SecretFile holds the secret that instances share.
	SecretFile string `json:"secret_file"`
}

// Bootstrap creates the first configuration.
type Bootstrap struct {
	// KeyFile holds the first operator's key. Empty means that another instance creates the configuration.
	KeyFile string `json:"key_file"`
}

// TLS names the certificate files. Empty files mean no TLS on that side.
type TLS struct {
	API   Certificate `json:"api"`
	Peers Certificate `json:"peers"`
}

// Certificate names PEM files. They are read again when they change.
type Certificate struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// CAFile verifies the other side.
	CAFile string `json:"ca_file"`
}

// Enabled reports whether a certificate is set.
func (c Certificate) Enabled() bool { return c.CertFile != "" }

// Policy weighs the measures of the deployment.
type Policy struct {
	// ShareWeight weighs distance from share against waiting time.
	ShareWeight float64 `json:"share_weight"`
	// WaitingWeight weighs the time that a job has waited.
	WaitingWeight float64 `json:"waiting_weight"`
	// PackingWeight is 0 to spread tasks evenly, 1 to fill the fullest worker that has room.
	PackingWeight float64 `json:"packing_weight"`
	// MaxHeld is the part of a partition, by its dominant resource, that gangs
	// and large tasks may hold while they wait.
	MaxHeld float64 `json:"max_held"`
	// ReservationDelayMS is how long a job waits until room is held for it.
	ReservationDelayMS int64 `json:"reservation_delay_ms"`
}

// Requests bounds what callers may send.
type Requests struct {
	// MaxBodyBytes bounds the body of a request on a queue, which is streamed.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes bounds the header of any request.
	MaxHeaderBytes int64 `json:"max_header_bytes"`
	// ReadTimeoutMS bounds the time in which a header or a JSON body arrives.
	ReadTimeoutMS int64 `json:"read_timeout_ms"`
	// MaxConnections bounds the open connections of callers.
	MaxConnections int64 `json:"max_connections"`
	// MaxWaitingBytes bounds the memory that waiting requests hold.
	MaxWaitingBytes int64 `json:"max_waiting_bytes"`
	// SlotHoldBoundMS frees the slot of a cancelled request whose server never ends it.
	SlotHoldBoundMS int64 `json:"slot_hold_bound_ms"`
}

// Shutdown bounds a graceful exit.
type Shutdown struct {
	// BalancerDelayMS is how long the balancer needs to see that readiness is off.
	BalancerDelayMS int64 `json:"balancer_delay_ms"`
	BoundMS         int64 `json:"bound_ms"`
}

// Log sets the verbosity.
type Log struct {
	Level string `json:"level"`
}

// Default returns the settings that a file changes.
func Default() Settings {
	return Settings{
		Store:  Store{Adapter: "http", TimeoutMS: 1500},
		VMList: VMList{PollMS: 1000, LagMS: 30000},
		Policy: Policy{
			ShareWeight: 1, WaitingWeight: 0.02, PackingWeight: 0.8,
			MaxHeld: 0.12, ReservationDelayMS: 90_000,
		},
		Requests: Requests{
			MaxBodyBytes:    64 << 20,
			MaxHeaderBytes:  32 << 10,
			ReadTimeoutMS:   30000,
			MaxConnections:  4096,
			MaxWaitingBytes: 64 << 20,
			SlotHoldBoundMS: 30000,
		},
		Shutdown: Shutdown{BalancerDelayMS: 3000, BoundMS: 30000},
		Log:      Log{Level: "info"},
	}
}

// Milliseconds returns n milliseconds as a duration.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
