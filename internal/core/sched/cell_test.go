package sched

import (
	"fmt"
	"strings"
	"testing"

	"auburnpier/internal/core/invariant"
	"auburnpier/internal/core/placement"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// startMS is the simulated time at which tests start, in milliseconds since the Unix epoch.
const startMS = 1_700_000_000_000

func amount(cpus, memoryGB int64) domain.Resources {
	return domain.Resources{CPUMilli: cpus * 1000, MemoryMB: memoryGB * 1000}
}

// cell drives one partition's machine with fake workers, an in-memory journal and a
// simulated clock. It checks the invariants after every step.
type cell struct {
	t          testing.TB
	cfg        Config
	m          *Machine
	checker    *invariant.Checker
	now        int64
	epoch      domain.Epoch
	workers    []*fakeWorker
	listed     map[string]bool
	teams      []TeamRow
	allotments []Allotment

	// journal holds durable records; pending holds batches in flight.
	journal     []Record
	pending     []Ready
	storeDown   bool
	ownerPaused bool
	// dropEndCalls drops stop and checkpoint calls.
	dropEndCalls bool
	// startMode is the fault of start calls: "", "lost", "late", "unknown late", "unknown" or "refused".
	startMode string
	acks      map[domain.WorkerID][]domain.AttemptID
	// lateStarts holds delayed start calls, whose responses nobody receives.
	lateStarts []StartCall
	jobs       []domain.JobID
	// taskPlan returns how long a started task runs, how it ends and what it uses.
	taskPlan          func(r port.StartRequest) (int64, domain.Outcome, domain.Resources)
	started           int
	throttled         []ThrottleCall
	allotmentRequests []AllotmentRequest
}

func newCell(t testing.TB, workers int) *cell {
	c := &cell{
		t: t, now: startMS, epoch: 1, checker: invariant.New(),
		listed: make(map[string]bool), acks: make(map[domain.WorkerID][]domain.AttemptID),
	}
	c.taskPlan = func(r port.StartRequest) (int64, domain.Outcome, domain.Resources) {
		if strings.HasPrefix(string(r.Job), "service") {
			return 1 << 40, domain.OutcomeSucceeded, r.Resources
		}
		return 5_000, domain.OutcomeSucceeded, r.Resources
	}
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		c.workers = append(c.workers, newFakeWorker(id, fmt.Sprintf("z%d", i/4%2), fmt.Sprintf("rack%d", i/4), amount(8, 40)))
		c.listed[id] = true
	}
	for _, id := range []domain.TeamID{"a", "b", "c"} {
		c.teams = append(c.teams, TeamRow{ID: id, Share: 1, Limit: amount(1000, 4000)})
		c.allotments = append(c.allotments, Allotment{Team: id, Amount: amount(1000, 4000)})
	}
	return c
}

// startOwner starts the first owner.
func (c *cell) startOwner() *cell {
	c.m = c.newMachine()
	c.sendInitialEvents()
	return c
}

func (c *cell) newMachine() *Machine {
	return New(c.cfg, placement.NewIndex(placement.Options{Packing: 0.5}),
		policy.NewQueue(policy.Options{Weights: policy.Weights{Share: 1, Waiting: 0.1}}))
}

// sendInitialEvents passes the time, teams, allotments and workers to a new owner.
func (c *cell) sendInitialEvents() {
	c.step(Tick{Now: fromMillis(c.now)})
	c.step(TeamsChanged{Teams: c.teams})
	c.step(AllotmentsChanged{Allotments: c.allotments})
	c.list()
}

func (c *cell) list() {
	var vms []domain.VM
	for _, w := range c.workers {
		if c.listed[w.vm.ID] {
			vms = append(vms, w.vm)
		}
	}
	c.step(WorkersListed{VMs: vms})
}

// step passes one event to the machine, checks the invariants and delivers the resulting messages.
func (c *cell) step(ev Event) Result {
	r := c.m.Step(ev)
	c.check(ev)
	c.deliver()
	return r
}

func (c *cell) check(ev Event) {
	if err := c.checker.Check(c.m.Inspect(), c.running()); err != nil {
		c.t.Fatalf("at %d ms after %T: %v", c.now-startMS, ev, err)
	}
}

// running lists the tasks that workers run, and those that undelivered starts could still run.
func (c *cell) running() []invariant.Running {
	var list []invariant.Running
	for _, w := range c.workers {
		for _, a := range w.running() {
			list = append(list, c.runningAt(w, a.request))
		}
		for _, call := range c.lateStarts {
			if string(call.Worker) != w.vm.ID || !w.holds(call.Lease, c.now) {
				continue
			}
			for _, r := range call.Requests {
				if w.attempts[r.Attempt] == nil {
					list = append(list, c.runningAt(w, r))
				}
			}
		}
	}
	return list
}

func (c *cell) runningAt(w *fakeWorker, r port.StartRequest) invariant.Running {
	return invariant.Running{
		Attempt: r.Attempt, Job: r.Job, Task: r.Task, Worker: domain.WorkerID(w.vm.ID),
		Size: r.Resources, Capacity: w.vm.Capacity,
	}
}

func (c *cell) fakeWorker(id domain.WorkerID) *fakeWorker {
	for _, w := range c.workers {
		if w.vm.ID == string(id) {
			return w
		}
	}
	return nil
}

// deliver delivers the messages that the machine returns.
func (c *cell) deliver() {
	r := c.m.Ready()
	if r.Batch != 0 {
		c.pending = append(c.pending, r)
	}
	for _, call := range r.Starts {
		c.start(call)
	}
	for _, call := range r.Stops {
		c.endAttempts(call, domain.OutcomeStopped)
	}
	for _, call := range r.Checkpoints {
		c.endAttempts(call, domain.OutcomeCheckpointed)
	}
	for _, a := range r.Acknowledge {
		c.acks[a.Worker] = append(c.acks[a.Worker], a.Attempts...)
	}
	c.throttled = append(c.throttled, r.Throttles...)
	c.allotmentRequests = append(c.allotmentRequests, r.AllotmentRequests...)
	for _, id := range r.Acquire {
		c.acquire(c.fakeWorker(id))
	}
	for _, id := range r.Renew {
		c.renew(c.fakeWorker(id))
	}
}

func (c *cell) endAttempts(call AttemptCall, o domain.Outcome) {
	if w := c.fakeWorker(call.Worker); !w.unreachable && !c.dropEndCalls {
		w.endAttempts(call, o, c.now)
	}
}

func (c *cell) start(call StartCall) {
	w := c.fakeWorker(call.Worker)
	ids := make([]domain.AttemptID, 0, len(call.Requests))
	for _, r := range call.Requests {
		ids = append(ids, r.Attempt)
	}
	if strings.HasSuffix(c.startMode, "late") {
		c.lateStarts = append(c.lateStarts, call)
	}
	switch {
	case c.startMode == "late":
		return
	case w.unreachable || c.startMode == "lost" || c.startMode == "unknown late":
		c.step(StartOutcomeUnknown{Worker: call.Worker, Lease: call.Lease, Attempts: ids})
		return
	case c.startMode == "refused":
		w.lease = ""
	}
	leaseValid := c.deliverStart(call)
	switch {
	case w.responsesLost || c.startMode == "unknown":
		c.step(StartOutcomeUnknown{Worker: call.Worker, Lease: call.Lease, Attempts: ids})
	case leaseValid:
		c.step(StartAccepted{Worker: call.Worker, Lease: call.Lease, Attempts: ids})
	default:
		c.step(LeaseRefused{Worker: call.Worker, Lease: call.Lease, Attempts: ids})
	}
}

// deliverStart delivers a start call to its worker and reports whether its lease was valid.
func (c *cell) deliverStart(call StartCall) bool {
	started, leaseValid := c.fakeWorker(call.Worker).start(call, c.now, c.taskPlan)
	for _, r := range started {
		c.started++
		c.checker.RecordStart(r.Job, r.Task, r.Attempt)
	}
	return leaseValid
}

// deliverLateStarts delivers the delayed start calls and discards the responses.
func (c *cell) deliverLateStarts() {
	for _, call := range c.lateStarts {
		c.deliverStart(call)
	}
	c.lateStarts = nil
	c.check(nil)
}

func (c *cell) acquire(w *fakeWorker) {
	id := domain.WorkerID(w.vm.ID)
	w.lastLeaseCallMS = c.now
	if w.unreachable || !c.listed[w.vm.ID] {
		c.markUnreachable(w)
		return
	}
	lease, ok := w.acquire(c.epoch, c.now)
	if w.responsesLost || !ok {
		c.markUnreachable(w)
		return
	}
	c.step(LeaseAcquired{Worker: id, Lease: lease, SentAt: fromMillis(c.now)})
}

// markUnreachable reports the worker as unreachable and makes no lease calls until its lease has
// expired.
func (c *cell) markUnreachable(w *fakeWorker) {
	w.noCallsUntilMS = c.now + fakeLeaseTTLMS + 6_000
	c.step(WorkerUnreachable{Worker: domain.WorkerID(w.vm.ID), LastSent: fromMillis(c.now)})
}

func (c *cell) renew(w *fakeWorker) {
	id := domain.WorkerID(w.vm.ID)
	status, known := c.m.Worker(id)
	if !known || status.Lease == "" || w.noCallsUntilMS > c.now {
		return
	}
	w.lastLeaseCallMS = c.now
	acks := c.acks[id]
	if w.unreachable {
		c.markUnreachable(w)
		return
	}
	lease, ok := w.renew(status.Lease, acks, c.now)
	switch {
	case w.responsesLost:
		c.markUnreachable(w)
	case !ok:
		c.step(LeaseRefused{Worker: id, Lease: status.Lease})
	default:
		delete(c.acks, id)
		c.step(LeaseRenewed{Worker: id, Lease: lease, SentAt: fromMillis(c.now)})
	}
}

// advance moves the clock by ms in steps of a tick, with renewals and reads of the list.
func (c *cell) advance(ms int64) {
	for end := c.now + ms; c.now < end; {
		c.now += 250
		for _, w := range c.workers {
			w.advance(c.now)
		}
		if c.ownerPaused {
			continue
		}
		c.step(Tick{Now: fromMillis(c.now)})
		c.flushJournal()
		if (c.now-startMS)%5_000 == 0 {
			c.list()
		}
		for _, w := range c.workers {
			c.maintainLease(w)
		}
	}
}

// maintainLease renews the lease every 5 s, or acquires one unless calls to the worker are paused.
func (c *cell) maintainLease(w *fakeWorker) {
	status, known := c.m.Worker(domain.WorkerID(w.vm.ID))
	switch {
	case !known || w.noCallsUntilMS > c.now:
	case status.Lease == "" || status.Unreachable:
		if c.now-w.lastLeaseCallMS >= 1_000 {
			c.acquire(w)
		}
	case c.now-w.lastLeaseCallMS >= 5_000:
		c.renew(w)
	}
}

func (c *cell) submit(id domain.JobID, team domain.TeamID, spec domain.JobSpec) Result {
	c.t.Helper()
	if spec.Name == "" {
		spec.Name = strings.TrimRight(string(id), "0123456789")
	}
	if spec.Tasks == 0 {
		spec.Tasks = 1
	}
	if spec.Resources.IsZero() {
		spec.Resources = amount(1, 2)
	}
	r := c.step(Submit{Job: id, Team: team, Spec: spec})
	if r.Err == nil {
		c.jobs = append(c.jobs, id)
	}
	return r
}

func (c *cell) mustSubmit(id domain.JobID, team domain.TeamID, spec domain.JobSpec) {
	c.t.Helper()
	if r := c.submit(id, team, spec); r.Err != nil {
		c.t.Fatalf("submit %s: %v", id, r.Err)
	}
}

func (c *cell) state(id domain.JobID) domain.JobState {
	s, _ := c.m.Status(id)
	return s.State
}

// mustState checks the state that callers are shown once the store has taken what was decided so far.
func (c *cell) mustState(id domain.JobID, want ...domain.JobState) {
	c.t.Helper()
	c.flushJournal()
	got := c.state(id)
	for _, s := range want {
		if s == got {
			return
		}
	}
	e, _ := c.m.Explain(id)
	c.t.Fatalf("job %s is %q (%s), want one of %v\n%v", id, got, e.Reason, want, e.Events)
}
