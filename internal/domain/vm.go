package domain

// VMRole is the purpose of a VM in the platform's list.
type VMRole string

// VM roles.
const (
	RoleWorker  VMRole = "worker"
	RoleBackend VMRole = "backend"
	RoleEntry   VMRole = "entry"
)

// VM is an entry in the platform's list of VMs.
type VM struct {
	ID       string   `json:"id"`
	Role     VMRole   `json:"role"`
	Address  string   `json:"address"` // host:port, where host is an IP address
	Location Location `json:"location"`
	// Leaving reports whether the platform will remove the VM soon.
	Leaving bool `json:"leaving,omitempty"`
	// Capacity is set for workers.
	Capacity Resources `json:"capacity,omitzero"`
	// Slots is the number of requests that a backend server serves concurrently.
	Slots int `json:"slots,omitempty"`
	// MaxConnections bounds the connections to a backend server.
	MaxConnections int `json:"max_connections,omitempty"`
	// Queues lists the queues that a backend server serves.
	Queues []QueueID `json:"queues,omitempty"`
}
