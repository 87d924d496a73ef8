// Package owner runs the decisions of internal/core/jobs for a cell. One
// instance owns the cell at a time: it holds a claim in the store, whose
// revision fences every write, and an epoch, which fences every order to a
// worker. Jobs and their progress are in the store before they are confirmed;
// what runs is read back from the workers.
package owner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Options are the constants of an owner, filled from the settings.
type Options struct {
	Instance domain.InstanceID
	// Address is where other instances reach this one.
	Address string
	// ClaimTTL is the time to live of the claim.
	ClaimTTL time.Duration
	// ClaimDelay is how long this instance waits before it claims a free cell.
	ClaimDelay func() time.Duration
	// UnconfirmedTTL is how long after the claim's last proof the owner still speaks to workers.
	UnconfirmedTTL time.Duration
	// HolderLeaseMS is the least time between the orders of two owners to a VM.
	HolderLeaseMS int64
	// DirectWorkers is the number of workers up to which the owner looks at all
	// of them itself. Above it, other instances look at them.
	DirectWorkers int
	Machine       jobs.Config
}

// Figures of the owner's loop.
const (
	// tickInterval bounds how late a due decision is.
	tickInterval = 25 * time.Millisecond
	// settleInterval is the least time between two rounds of decisions and calls,
	// each of which goes over all workers. It is half the time between passes.
	settleInterval = 4 * time.Millisecond
	// writeInterval collects changes into one transaction; each write is priced.
	writeInterval = 25 * time.Millisecond
	// writeLanes bounds the writes under way. A store that takes 350 ms for each
	// then stores 1,600 entries a second, twice those of 190 jobs a second. The
	// claim, which names all chains, still is one transaction.
	writeLanes = 20
	// waveLane is the chain of writes about maintenance waves, beside the others.
	waveLane = writeLanes
	// laneInterval is the least time between the starts of writes that are not
	// full, while others are under way.
	laneInterval = 60 * time.Millisecond
	// lookWait is how long a look at a worker waits for an end.
	lookWait = time.Second
	// unstoredLookMS is the time between looks while ends wait for the store.
	unstoredLookMS = 250
	// heldLookMS is the same at a worker that lists an end for good.
	heldLookMS = 500
	// lookRetry and lookRetryMax bound the pause after a look without an answer.
	lookRetry    = 150 * time.Millisecond
	lookRetryMax = time.Second
	// eventRing bounds the events that wait for the loop.
	eventRing = 8192
	// maxOrders bounds the orders under way from the owner itself.
	maxOrders = 512
	// writeTime is how long a write may take before it is sent again, through
	// another instance if the store is silent to this one. A slow store answers
	// within 400 ms, and a write that took effect is recognized.
	writeTime = 700 * time.Millisecond
	// writeRetry is the pause after a write that had no effect.
	writeRetry = 60 * time.Millisecond
	// storeDown is how long no write may be answered, while some are under way,
	// before submissions are refused at once.
	storeDown = 450 * time.Millisecond
)

// Ports are what the owner reaches the outside through.
type Ports struct {
	Store    port.LeaseStore
	Workers  port.WorkerClient
	Registry port.WorkerRegistry
	// Peers are the other instances.
	Peers PeerDirectory
	// Probe returns a *port.ProcessTerminatedError where no process serves the address
	// of an instance. It is nil where nothing proves that.
	Probe func(ctx context.Context, address string) error
	// VMs and Waves are nil where the platform asks for no maintenance.
	VMs   port.VMFleet
	Waves port.WaveSource
}

// PeerDirectory reaches what other instances do for the owner.
type PeerDirectory interface {
	// Approver asks the approval service, which serves one call at a time for each instance.
	Approver(h port.InstanceInfo) port.Approver
	// Workers calls workers.
	Workers(h port.InstanceInfo) port.WorkerRelay
	// Registry reads the changes of the workers' registry.
	Registry(h port.InstanceInfo) port.WorkerChanges
}

// Owner takes the cell when it is free and runs it.
type Owner struct {
	options  Options
	store    port.LeaseStore
	workers  port.WorkerClient
	registry port.WorkerRegistry
	peers    PeerDirectory
	vms      port.VMFleet
	waves    port.WaveSource
	probe    func(ctx context.Context, address string) error
	// suspected holds the address of an instance that calls to fail.
	suspected chan string
	log       *zap.Logger
	metrics   *metrics.Registry
}

// New returns an owner.
func New(options Options, ports Ports, log *zap.Logger, registry *metrics.Registry) *Owner {
	return &Owner{options: options, store: ports.Store, workers: ports.Workers, registry: ports.Registry,
		peers: ports.Peers, vms: ports.VMs, waves: ports.Waves, probe: ports.Probe,
		suspected: make(chan string, 1), log: log, metrics: registry}
}

func newToken() string {
	var b [12]byte
	// crypto/rand never fails on supported kernels.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
