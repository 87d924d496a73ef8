// Package owner applies the decisions of internal/core/jobs to a cell. One instance owns the cell
// at a time: it holds a claim in the store, whose revision fences every write, and an epoch, which
// fences every order to a worker. Jobs and their progress are stored before they are confirmed to
// callers; which runs exist is read back from the workers.
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
	"auburnpier/internal/steady"
)

// Options configure an owner; they are filled from the settings.
type Options struct {
	Instance domain.InstanceID
	// Address is where other instances reach this one.
	Address string
	// ClaimTTL is the time to live of the claim.
	ClaimTTL time.Duration
	// ClaimDelay returns how long this instance waits before it claims a free cell.
	ClaimDelay func() time.Duration
	// UnconfirmedGrace is how long after the claim was last confirmed the owner still calls workers.
	UnconfirmedGrace time.Duration
	// ConfigAge returns the time since the configuration and its evacuated zones were confirmed to be
	// the newest. No task is started beyond MaxConfigAge, unless that is zero.
	ConfigAge    func() time.Duration
	MaxConfigAge time.Duration
	// HolderLeaseMS is the least time between orders of two different owners to one VM.
	HolderLeaseMS int64
	// MaxDirectWorkers is the number of workers up to which the owner polls all of them itself. Larger
	// fleets are polled through other instances.
	MaxDirectWorkers int
	Jobs             jobs.Config
}

// Intervals, timeouts and limits of the owner's event loop.
const (
	// tickInterval bounds how late a due decision is made.
	tickInterval = 25 * time.Millisecond
	// reconcileInterval is the least time between two reconcile passes, each of which iterates over
	// all workers. It is half the time between scheduling passes.
	reconcileInterval = 4 * time.Millisecond
	// writeInterval is how long changes are collected into one transaction; each write is billed.
	writeInterval = 25 * time.Millisecond
	// writeChains bounds the writes in flight. With a store that takes 350 ms per write, 1,600
	// entries per second can be stored, twice what 190 jobs per second need. The claim, which
	// writes the keys of all chains, must still fit into one transaction.
	writeChains = 20
	// waveChain is the additional chain for writes about maintenance waves.
	waveChain = writeChains
	// partialWriteInterval is the least time between the starts of writes that are not full while
	// others are in flight.
	partialWriteInterval = 60 * time.Millisecond
	// pollWait is how long a poll waits for a run to end.
	pollWait = time.Second
	// unstoredPollMS is the time between polls of a worker whose run ends are not stored yet.
	unstoredPollMS = 250
	// withheldEndPollMS is the same for a worker with an end whose acknowledgement is withheld.
	withheldEndPollMS = 500
	// pollRetryPause and maxPollRetryPause bound the pause after an unanswered poll.
	pollRetryPause    = 150 * time.Millisecond
	maxPollRetryPause = time.Second
	// eventQueueSize bounds the events waiting for the loop.
	eventQueueSize = 8192
	// maxDirectCalls bounds the orders in flight from the owner itself, to workers and to VMs.
	maxDirectCalls = 512
	// writeTimeout is how long a write may take before it is retried, through another instance if
	// the store does not answer this one. A slow store answers within 400 ms, and a write that had
	// already taken effect is recognized.
	writeTimeout = 700 * time.Millisecond
	// writeRetryPause is the pause after a write that failed.
	writeRetryPause = 60 * time.Millisecond
	// storeDownAfter is how long no write may be answered, while some are in flight, before
	// submissions are refused immediately.
	storeDownAfter = 450 * time.Millisecond
)

// Ports are the owner's connections to the outside.
type Ports struct {
	Store    port.LeaseStore
	Workers  port.WorkerClient
	Registry port.WorkerRegistry
	// Peers reaches the other instances.
	Peers PeerClients
	// Probe returns a *port.ProcessTerminatedError if no process serves the address of an instance. It is
	// nil if nothing can prove that.
	Probe func(ctx context.Context, address string) error
	// VMs is nil if the platform does not list its VMs, and Waves if it requests no maintenance.
	VMs   port.VMFleet
	Waves port.WaveSource
}

// PeerClients provides clients for the calls that other instances make on the owner's behalf.
type PeerClients interface {
	// Approver calls the approval service, which serves one call at a time per instance.
	Approver(h port.InstanceInfo) port.Approver
	// Workers calls workers.
	Workers(h port.InstanceInfo) port.WorkerRelay
	// Registry reads the changes of the worker registry.
	Registry(h port.InstanceInfo) port.WorkerChanges
}

// Owner claims the cell when it is free and runs it.
type Owner struct {
	options  Options
	store    port.LeaseStore
	workers  port.WorkerClient
	registry port.WorkerRegistry
	peers    PeerClients
	vms      port.VMFleet
	waves    port.WaveSource
	probe    func(ctx context.Context, address string) error
	// unreachable holds the address of an instance to which calls fail.
	unreachable chan string
	// nowMS returns the steady time. Tests with virtual time replace it.
	nowMS   func() int64
	log     *zap.Logger
	metrics *metrics.Registry
}

// New returns an owner.
func New(options Options, ports Ports, log *zap.Logger, registry *metrics.Registry) *Owner {
	return &Owner{options: options, store: ports.Store, workers: ports.Workers, registry: ports.Registry,
		peers: ports.Peers, vms: ports.VMs, waves: ports.Waves, probe: ports.Probe,
		unreachable: make(chan string, 1), nowMS: steady.NowMS, log: log, metrics: registry}
}

func newToken() string {
	var b [12]byte
	// crypto/rand never fails on supported kernels.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
