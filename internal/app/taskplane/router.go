package taskplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/rendezvous"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

const (
	// ownerChangeTimeout bounds how long a call waits while a partition changes its owner.
	ownerChangeTimeout = 8 * time.Second
	// ownerChangeRetryDelay is the delay between two attempts during an owner change.
	ownerChangeRetryDelay = 200 * time.Millisecond
	// remotePollInterval is how often the state of a job at another instance is polled.
	remotePollInterval = 500 * time.Millisecond
)

// Directory looks up the owner of a partition and the client for an instance.
type Directory interface {
	Owner(partition domain.PartitionID) (domain.InstanceID, bool)
	Peer(id domain.InstanceID) (port.Peer, bool)
}

// Router routes job calls to the owner of the job's partition, which is this
// instance or a peer.
type Router struct {
	manager   *Manager
	directory Directory
	metrics   *metrics.Registry
	newID     func() string
}

// NewRouter returns a router for the partitions of the manager and the directory.
func NewRouter(m *Manager, d Directory) *Router {
	return &Router{manager: m, directory: d, metrics: m.o.Metrics, newID: m.o.NewID}
}

// jobCall is one call to a partition.
type jobCall struct {
	operation port.PeerOperation
	team      domain.TeamID
	operator  bool
	job       domain.JobID
	spec      domain.JobSpec
}

// Submit submits a job to a partition with matching region and zones.
func (r *Router) Submit(ctx context.Context, team domain.TeamID, spec domain.JobSpec) (domain.JobStatus, error) {
	partition, err := r.choosePartition(team, spec)
	if err != nil {
		return domain.JobStatus{}, err
	}
	return r.route(ctx, partition, jobCall{operation: port.PeerSubmit, team: team, spec: spec})
}

// Status returns the state of a job of the team, or of any team for operators.
func (r *Router) Status(ctx context.Context, team domain.TeamID, operator bool, id domain.JobID) (domain.JobStatus, error) {
	return r.routeJob(ctx, jobCall{operation: port.PeerStatus, team: team, operator: operator, job: id})
}

// Explain returns the state of a job with its history.
func (r *Router) Explain(ctx context.Context, team domain.TeamID, operator bool, id domain.JobID) (domain.JobStatus, error) {
	return r.routeJob(ctx, jobCall{operation: port.PeerExplain, team: team, operator: operator, job: id})
}

// Cancel cancels a job and returns its state.
func (r *Router) Cancel(ctx context.Context, team domain.TeamID, operator bool, id domain.JobID) (domain.JobStatus, error) {
	return r.routeJob(ctx, jobCall{operation: port.PeerCancel, team: team, operator: operator, job: id})
}

// Wait returns the state of a job once it has ended, or its state when ctx ends.
func (r *Router) Wait(ctx context.Context, team domain.TeamID, operator bool, id domain.JobID) (domain.JobStatus, error) {
	for {
		status, err := r.Status(context.WithoutCancel(ctx), team, operator, id)
		if err != nil || status.State.Terminal() || ctx.Err() != nil {
			return status, err
		}
		if p, ok := r.manager.Partition(status.Partition); ok {
			if status, err := p.Wait(ctx, id); err == nil && status.State.Terminal() {
				return status, nil
			}
			continue
		}
		ctxtime.Sleep(ctx, remotePollInterval)
	}
}

// Forward serves a call forwarded by a peer. It implements peering.JobHandler.
func (r *Router) Forward(ctx context.Context, call port.ForwardedCall) ([]byte, error) {
	c := jobCall{operation: call.Operation, team: call.Team, operator: call.Operator, job: call.Job}
	if len(call.Payload) > 0 {
		if err := json.Unmarshal(call.Payload, &c.spec); err != nil {
			return nil, errors.Wrap(err, "decode forwarded job")
		}
	}
	status, err := r.local(ctx, call.Partition, c)
	if err != nil {
		return nil, err
	}
	return json.Marshal(status)
}

// choosePartition chooses a partition by the job's region and zones. The same team
// and idempotency key always map to the same partition, which recognizes a resubmission.
func (r *Router) choosePartition(team domain.TeamID, spec domain.JobSpec) (domain.PartitionID, error) {
	r.manager.mu.Lock()
	rows := r.manager.inputs.Partitions
	r.manager.mu.Unlock()
	region := spec.Region
	if region == "" {
		region = r.manager.region
	}
	key := string(team) + "/" + spec.IdempotencyKey
	if spec.IdempotencyKey == "" {
		key = r.newID()
	}
	var names []string
	for _, row := range rows {
		if row.Region == region && coversZones(row, spec.Zones) {
			names = append(names, string(row.ID))
		}
	}
	best := domain.PartitionID(rendezvous.Choose(key, names))
	if best == "" {
		return "", refusal.New(http.StatusUnprocessableEntity, refusal.NeverFits,
			fmt.Sprintf("no partition has region %q and zones %v", region, spec.Zones),
			"name a region and zones of one partition of the configuration")
	}
	return best, nil
}

func coversZones(row domain.PartitionRow, zones []domain.ZoneID) bool {
	for _, z := range zones {
		found := false
		for _, have := range row.Zones {
			found = found || have == z
		}
		if !found {
			return false
		}
	}
	return true
}

// partitionOf returns the partition that a job's name contains.
func partitionOf(id domain.JobID) (domain.PartitionID, bool) {
	i := strings.LastIndexByte(string(id), '.')
	if i <= 0 {
		return "", false
	}
	return domain.PartitionID(id[:i]), true
}

func (r *Router) routeJob(ctx context.Context, c jobCall) (domain.JobStatus, error) {
	partition, ok := partitionOf(c.job)
	if !ok {
		return domain.JobStatus{}, notFound(c.job)
	}
	return r.route(ctx, partition, c)
}

// route calls the owner. It retries until ownerChangeTimeout as long as the call
// is known to have had no effect.
func (r *Router) route(ctx context.Context, partition domain.PartitionID, c jobCall) (domain.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerChangeTimeout+durableTimeout)
	defer cancel()
	deadline := time.Now().Add(ownerChangeTimeout)
	for {
		status, err := r.try(ctx, partition, c)
		if err == nil || !ownerChanged(err) || time.Now().After(deadline) || ctx.Err() != nil {
			return status, err
		}
		r.metrics.CountRetry(metrics.RetryPartitionMoved)
		ctxtime.Sleep(ctx, ownerChangeRetryDelay)
	}
}

// ownerChanged reports whether the call had no effect because the partition
// changes its owner or the owner was not reached.
func ownerChanged(err error) bool {
	var unreachable *port.PeerUnreachableError
	if errors.As(err, &unreachable) {
		return unreachable.NotSent
	}
	var refused *refusal.Refusal
	return errors.As(err, &refused) && refused.Reason == refusal.PartitionUnavailable && refused.NotRun
}

func (r *Router) try(ctx context.Context, partition domain.PartitionID, c jobCall) (domain.JobStatus, error) {
	if _, ok := r.manager.Partition(partition); ok {
		return r.local(ctx, partition, c)
	}
	owner, ok := r.directory.Owner(partition)
	if !ok {
		return domain.JobStatus{}, noOwner(partition)
	}
	peer, ok := r.directory.Peer(owner)
	if !ok {
		return domain.JobStatus{}, noOwner(partition)
	}
	return r.remote(ctx, peer, partition, c)
}

func (r *Router) remote(ctx context.Context, peer port.Peer, partition domain.PartitionID, c jobCall) (domain.JobStatus, error) {
	call := port.ForwardedCall{
		From: r.manager.o.Instance, Partition: partition, Operation: c.operation,
		Team: c.team, Operator: c.operator, Job: c.job,
	}
	if c.operation == port.PeerSubmit {
		payload, err := json.Marshal(c.spec)
		if err != nil {
			return domain.JobStatus{}, errors.Wrap(err, "encode job")
		}
		call.Payload = payload
	}
	answer, err := peer.Forward(ctx, call)
	if err != nil {
		return domain.JobStatus{}, remoteError(c, err)
	}
	var status domain.JobStatus
	if err := json.Unmarshal(answer, &status); err != nil {
		return domain.JobStatus{}, unconfirmed(string(c.operation), err)
	}
	return status, nil
}

// remoteError returns errors unchanged that prove that the call had no effect. A
// lost response to a read-only call is treated as if the call had not been sent.
func remoteError(c jobCall, err error) error {
	var unreachable *port.PeerUnreachableError
	if !errors.As(err, &unreachable) || unreachable.NotSent {
		return err
	}
	if c.operation == port.PeerStatus || c.operation == port.PeerExplain {
		return refusal.New(http.StatusServiceUnavailable, refusal.PartitionUnavailable,
			err.Error(), "repeat the call after the given time").WithRetryAfter(time.Second)
	}
	return unconfirmed(string(c.operation), err)
}

func (r *Router) local(ctx context.Context, partition domain.PartitionID, c jobCall) (domain.JobStatus, error) {
	p, ok := r.manager.Partition(partition)
	if !ok {
		return domain.JobStatus{}, noOwner(partition)
	}
	if c.operation == port.PeerSubmit {
		return p.Submit(ctx, c.team, c.spec)
	}
	status, err := p.Status(ctx, c.job)
	if err != nil {
		return domain.JobStatus{}, err
	}
	if status.Team != c.team && !c.operator {
		// A job of another team is reported as missing, so that callers cannot probe for names.
		return domain.JobStatus{}, notFound(c.job)
	}
	switch c.operation {
	case port.PeerExplain:
		return p.Explain(ctx, c.job)
	case port.PeerCancel:
		if _, err := p.Cancel(ctx, status.Team, []domain.JobID{c.job}, "cancelled by its submitter"); err != nil {
			return domain.JobStatus{}, err
		}
		return p.Status(ctx, c.job)
	default:
		return status, nil
	}
}

func noOwner(partition domain.PartitionID) error {
	return refusal.New(http.StatusServiceUnavailable, refusal.PartitionUnavailable,
		fmt.Sprintf("partition %s has no owner now", partition), "repeat the call after the given time").WithRetryAfter(time.Second)
}

func notFound(id domain.JobID) error {
	return refusal.New(http.StatusNotFound, refusal.NotFound,
		fmt.Sprintf("there is no job %q", id), "check the job's name; ended jobs are forgotten after some time")
}
