package sched

import (
	"fmt"
	"slices"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// fakeAttempt is an attempt on a fake worker.
type fakeAttempt struct {
	report  port.AttemptReport
	request port.StartRequest
	// endsMS is when the task ends by itself with outcome.
	endsMS  int64
	outcome domain.Outcome
}

// fakeWorker implements the worker's side of the protocol: one lease, starts that
// take effect once, ends that are reported until acknowledged.
type fakeWorker struct {
	vm             domain.VM
	boots          int
	leases         int
	epoch          domain.Epoch
	lease          domain.LeaseID
	leaseExpiresMS int64
	attempts       map[domain.AttemptID]*fakeAttempt
	// unreachable drops all calls; responsesLost drops responses after the call took effect.
	unreachable, responsesLost bool
	// endDelayMS is how long a stop or checkpoint takes.
	endDelayMS int64
	// lastLeaseCallMS is the time of the owner's last lease call. The owner makes no further
	// one before noCallsUntilMS.
	lastLeaseCallMS, noCallsUntilMS int64
	// failsTasks makes every task that starts fail.
	failsTasks bool
}

const fakeLeaseTTLMS = 30_000

func newFakeWorker(id, zone, rack string, capacity domain.Resources) *fakeWorker {
	return &fakeWorker{
		vm: domain.VM{
			ID: id, Role: domain.RoleWorker, Address: "192.0.2.1:1", Capacity: capacity,
			Location: domain.Location{Region: "r", Zone: domain.ZoneID(zone), Rack: domain.RackID(rack)},
		},
		attempts: make(map[domain.AttemptID]*fakeAttempt),
	}
}

func (w *fakeWorker) bootID() string { return fmt.Sprintf("%s-boot%d", w.vm.ID, w.boots) }

func (w *fakeWorker) acquire(epoch domain.Epoch, now int64) (port.Lease, bool) {
	if epoch < w.epoch {
		return port.Lease{}, false
	}
	w.leases++
	w.epoch = epoch
	w.lease = domain.LeaseID(fmt.Sprintf("%s-%d-%d", w.vm.ID, w.boots, w.leases))
	w.leaseExpiresMS = now + fakeLeaseTTLMS
	return w.leaseReport(), true
}

func (w *fakeWorker) renew(lease domain.LeaseID, acks []domain.AttemptID, now int64) (port.Lease, bool) {
	if !w.holds(lease, now) {
		return port.Lease{}, false
	}
	for _, id := range acks {
		if a := w.attempts[id]; a != nil && a.report.State == port.AttemptEnded {
			delete(w.attempts, id)
		}
	}
	w.leaseExpiresMS = now + fakeLeaseTTLMS
	return w.leaseReport(), true
}

func (w *fakeWorker) holds(lease domain.LeaseID, now int64) bool {
	return w.lease != "" && w.lease == lease && now < w.leaseExpiresMS
}

func (w *fakeWorker) leaseReport() port.Lease {
	l := port.Lease{ID: w.lease, Epoch: w.epoch, BootID: w.bootID(), TTL: fakeLeaseTTLMS * time.Millisecond}
	for _, id := range sortedKeys(w.attempts) {
		l.Attempts = append(l.Attempts, w.attempts[id].report)
	}
	return l
}

// start returns the attempts that it started and whether the lease was valid.
func (w *fakeWorker) start(call StartCall, now int64, plan func(port.StartRequest) (int64, domain.Outcome, domain.Resources)) ([]port.StartRequest, bool) {
	if !w.holds(call.Lease, now) {
		return nil, false
	}
	var started []port.StartRequest
	for _, r := range call.Requests {
		if w.attempts[r.Attempt] != nil {
			continue
		}
		run, outcome, usage := plan(r)
		if w.failsTasks {
			run, outcome = 500, domain.OutcomeFailed
		}
		w.attempts[r.Attempt] = &fakeAttempt{
			request: r, endsMS: now + run, outcome: outcome,
			report: port.AttemptReport{ID: r.Attempt, State: port.AttemptRunning, StartedAt: fromMillis(now), Usage: usage},
		}
		started = append(started, r)
	}
	return started, true
}

func (w *fakeWorker) finish(a *fakeAttempt, o domain.Outcome, now int64) {
	a.report.State = port.AttemptEnded
	a.report.Outcome = o
	a.report.EndedAt = fromMillis(now)
}

func (w *fakeWorker) endAttempts(call AttemptCall, o domain.Outcome, now int64) bool {
	if !w.holds(call.Lease, now) {
		return false
	}
	for _, id := range call.Attempts {
		if a := w.attempts[id]; a != nil && a.report.State == port.AttemptRunning && a.outcome != o {
			a.endsMS, a.outcome = min(a.endsMS, now+w.endDelayMS), o
		}
	}
	w.advance(now)
	return true
}

// advance ends tasks that are due, and all tasks once the lease has expired.
func (w *fakeWorker) advance(now int64) {
	for _, id := range sortedKeys(w.attempts) {
		a := w.attempts[id]
		switch {
		case a.report.State == port.AttemptEnded:
		case now >= w.leaseExpiresMS:
			w.finish(a, domain.OutcomeLeaseExpired, now)
		case now >= a.endsMS:
			w.finish(a, a.outcome, now)
		}
	}
}

// reboot clears the worker's state, as a restart of its process does.
func (w *fakeWorker) reboot() {
	w.boots++
	w.lease = ""
	w.epoch = 0
	clear(w.attempts)
}

func (w *fakeWorker) running() []*fakeAttempt {
	var list []*fakeAttempt
	for _, id := range sortedKeys(w.attempts) {
		if a := w.attempts[id]; a.report.State == port.AttemptRunning {
			list = append(list, a)
		}
	}
	return slices.Clip(list)
}
