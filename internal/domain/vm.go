package domain

// VMRole tells what a VM of the platform's list is for.
type VMRole string

// Roles of VMs.
const (
	RoleWorker  VMRole = "worker"
	RoleBackend VMRole = "backend"
	RoleEntry   VMRole = "entry"
)

// VM is one row of the platform's list.
type VM struct {
	ID       string   `json:"id"`
	Role     VMRole   `json:"role"`
	Address  string   `json:"address"` // host:port by IP number
	Location Location `json:"location"`
	// Leaving tells that the VM will be taken away soon.
	Leaving bool `json:"leaving,omitempty"`
	// Capacity is set for workers.
	Capacity Resources `json:"capacity,omitzero"`
	// Slots is the number of concurrent requests of a backend server.
	Slots int `json:"slots,omitempty"`
	// MaxConnections bounds the connections to a backend server.
	MaxConnections int `json:"max_connections,omitempty"`
	// Queues lists the queues that a backend server serves.
	Queues []QueueID `json:"queues,omitempty"`
}
