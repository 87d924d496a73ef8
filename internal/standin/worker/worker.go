// Package worker is a stand-in of the platform's worker VM. It starts what it
// is given, whether it fits or not, under one lease at a time, and stops its
// tasks when the lease lapses. Tasks are timers: see the command forms in run.
package worker

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Worker is one stand-in. It is safe for concurrent use.
type Worker struct {
	id       domain.WorkerID
	capacity domain.Resources
	after    func(time.Duration, func()) *time.Timer

	mu        sync.Mutex
	version   uint64
	changed   chan struct{} // closed and replaced when version grows
	acquired  time.Time
	boot      int
	leases    int
	lease     port.Lease
	holder    domain.InstanceID
	lapse     *time.Timer
	attempts  map[domain.AttemptID]*attempt
	faults    Faults
	overlaps  []string
	startedBy map[taskKey][]domain.AttemptID
}

type taskKey struct {
	job  domain.JobID
	task int
}

type attempt struct {
	report  port.AttemptReport
	changed uint64 // version of the last change of the report
	request port.StartRequest
	timer   *time.Timer
}

// Faults are switched on by tests.
type Faults struct {
	// FailAll ends every started task at once with a failure.
	FailAll bool
	// LoseStartAnswers starts tasks and then fails the call.
	LoseStartAnswers bool
	// Unreachable fails every call without effect.
	Unreachable bool
}

var _ port.Worker = (*Worker)(nil)

// New returns a worker with no lease.
func New(id domain.WorkerID, capacity domain.Resources) *Worker {
	return &Worker{
		id:        id,
		capacity:  capacity,
		after:     time.AfterFunc,
		boot:      1,
		attempts:  make(map[domain.AttemptID]*attempt),
		startedBy: make(map[taskKey][]domain.AttemptID),
		changed:   make(chan struct{}),
	}
}

// SetFaults replaces the faults in force.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Restart forgets all attempts and the lease, as a reboot does.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		a.timer.Stop()
	}
	w.attempts = make(map[domain.AttemptID]*attempt)
	w.lease = port.Lease{}
	w.boot++
	w.news()
}

// AcquireLease implements port.Worker.
func (w *Worker) AcquireLease(_ context.Context, holder domain.InstanceID, epoch domain.Epoch, ttl time.Duration) (port.Lease, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Unreachable {
		return port.Lease{}, w.unreachable()
	}
	if epoch < w.lease.Epoch || (epoch == w.lease.Epoch && holder != w.holder && w.lease.ID != "") {
		return port.Lease{}, &port.LeaseRefusedError{Worker: w.id, Current: w.lease.Epoch}
	}
	w.leases++
	w.holder = holder
	w.lease = port.Lease{
		ID:     domain.LeaseID(fmt.Sprintf("%s/%d/%d", w.id, w.boot, w.leases)),
		Epoch:  epoch,
		BootID: w.bootID(),
		TTL:    ttl,
	}
	w.acquired = time.Now()
	w.extend(0)
	w.news()
	return w.reported(0), nil
}

// RenewLease implements port.Worker.
func (w *Worker) RenewLease(ctx context.Context, r port.RenewRequest) (port.Lease, error) {
	if err := w.renew(r); err != nil {
		return port.Lease{}, err
	}
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	for {
		lease, changed, err := w.report(r.Lease, r.SeenVersion)
		if err != nil || lease.Version > r.SeenVersion {
			return lease, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return lease, nil
		case <-ctx.Done():
			return port.Lease{}, ctx.Err()
		}
	}
}

func (w *Worker) renew(r port.RenewRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(r.Lease); err != nil {
		return err
	}
	for _, id := range r.Acknowledged {
		if a, ok := w.attempts[id]; ok && a.report.State == port.AttemptEnded {
			delete(w.attempts, id)
		}
	}
	w.extend(r.Elapsed)
	return nil
}

func (w *Worker) report(lease domain.LeaseID, seen uint64) (port.Lease, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(lease); err != nil {
		return port.Lease{}, nil, err
	}
	return w.reported(seen), w.changed, nil
}

// news is called with the lock held when an attempt or the lease changed.
func (w *Worker) news() {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
}

// Start implements port.Worker.
func (w *Worker) Start(_ context.Context, lease domain.LeaseID, requests []port.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(lease); err != nil {
		return err
	}
	for _, r := range requests {
		if _, known := w.attempts[r.Attempt]; known {
			continue
		}
		w.start(r)
	}
	if w.faults.LoseStartAnswers {
		return &port.WorkerUnreachableError{Address: string(w.id), Err: context.DeadlineExceeded}
	}
	return nil
}

// Stop implements port.Worker.
func (w *Worker) Stop(_ context.Context, lease domain.LeaseID, attempts []domain.AttemptID) error {
	return w.endAll(lease, attempts, domain.OutcomeStopped)
}

// Checkpoint implements port.Worker.
func (w *Worker) Checkpoint(_ context.Context, lease domain.LeaseID, attempts []domain.AttemptID) error {
	return w.endAll(lease, attempts, domain.OutcomeCheckpointed)
}

// Throttle implements port.Worker.
func (w *Worker) Throttle(_ context.Context, lease domain.LeaseID, id domain.AttemptID, cpuMilli int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(lease); err != nil {
		return err
	}
	if a, ok := w.attempts[id]; ok {
		a.report.Usage.CPUMilli = min(a.report.Usage.CPUMilli, cpuMilli)
		w.news()
		a.changed = w.version
	}
	return nil
}

// Running returns the resources and the number of the running attempts.
func (w *Worker) Running() (domain.Resources, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sum()
}

// Overlaps lists each moment at which the worker held more than its capacity.
func (w *Worker) Overlaps() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.overlaps...)
}

// Starts returns how often each task of the job was started here.
func (w *Worker) Starts(job domain.JobID, task int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.startedBy[taskKey{job, task}])
}

func (w *Worker) endAll(lease domain.LeaseID, attempts []domain.AttemptID, outcome domain.Outcome) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(lease); err != nil {
		return err
	}
	for _, id := range attempts {
		w.end(id, outcome, "")
	}
	return nil
}

func (w *Worker) check(lease domain.LeaseID) error {
	if w.faults.Unreachable {
		return w.unreachable()
	}
	if lease == "" || lease != w.lease.ID {
		return &port.LeaseRefusedError{Worker: w.id, Lease: lease, Current: w.lease.Epoch}
	}
	return nil
}

func (w *Worker) unreachable() error {
	return &port.WorkerUnreachableError{Address: string(w.id), Err: context.DeadlineExceeded}
}

func (w *Worker) bootID() string { return fmt.Sprintf("%s-boot-%d", w.id, w.boot) }

// extend restarts the lapse timer for the current lease.
func (w *Worker) extend(elapsed time.Duration) {
	if w.lapse != nil {
		w.lapse.Stop()
	}
	id := w.lease.ID
	left := time.Until(w.acquired.Add(elapsed + w.lease.TTL))
	w.lapse = w.after(max(0, left), func() { w.lapsed(id) })
}

// lapsed stops all tasks. The epoch is kept, so that a lower one is still refused.
func (w *Worker) lapsed(id domain.LeaseID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease.ID != id {
		return
	}
	w.lease.ID = ""
	w.news()
	for attemptID := range w.attempts {
		w.end(attemptID, domain.OutcomeLeaseExpired, "the lease lapsed")
	}
}

// reported lists the attempts whose report changed after the version. It lists
// all where the version is zero.
func (w *Worker) reported(seen uint64) port.Lease {
	l := w.lease
	l.Version = w.version
	l.Partial = seen > 0
	l.Attempts = make([]port.AttemptReport, 0, len(w.attempts))
	for _, a := range w.attempts {
		if a.changed > seen {
			l.Attempts = append(l.Attempts, a.report)
		}
	}
	sort.Slice(l.Attempts, func(i, j int) bool { return l.Attempts[i].ID < l.Attempts[j].ID })
	return l
}

func (w *Worker) sum() (domain.Resources, int) {
	var total domain.Resources
	n := 0
	for _, a := range w.attempts {
		if a.report.State == port.AttemptRunning {
			total = total.Add(a.request.Resources)
			n++
		}
	}
	return total, n
}
