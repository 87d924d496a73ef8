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

// startMS is the faked time at which tests begin.
const startMS = 1_700_000_000_000

func amount(cpus, memoryGB int64) domain.Resources {
	return domain.Resources{CPUMilli: cpus * 1000, MemoryMB: memoryGB * 1000}
}

// cell drives one partition's machine against fake workers and a journal in
// memory, with a faked clock, and checks the invariants after every step.
type cell struct {
	t       testing.TB
	cfg     Config
	m       *Machine
	checker *invariant.Checker
	now     int64
	epoch   domain.Epoch
	workers []*fakeWorker
	listed  map[string]bool
	teams   []TeamRow
	allot   []Allotment

	// journal holds durable records; pending holds batches in flight.
	journal   []Record
	pending   []Ready
	storeDown bool
	paused    bool
	// loseEnds drops stops and checkpoints on their way.
	loseEnds bool
	// starts is what happens to start calls: "", "lost", "late", "unknown late", "unknown" or "refused".
	starts string
	acks   map[domain.WorkerID][]domain.AttemptID
	// late holds starts in flight that arrive without an answer.
	late []StartCall
	jobs []domain.JobID
	// plan tells how long a start runs, how it ends and what it uses.
	plan      func(r port.StartRequest) (int64, domain.Outcome, domain.Resources)
	started   int
	throttled []ThrottleCall
	wishes    []Wish
}

func newCell(t testing.TB, workers int) *cell {
	c := &cell{
		t: t, now: startMS, epoch: 1, checker: invariant.New(),
		listed: make(map[string]bool), acks: make(map[domain.WorkerID][]domain.AttemptID),
	}
	c.plan = func(r port.StartRequest) (int64, domain.Outcome, domain.Resources) {
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
		c.allot = append(c.allot, Allotment{Team: id, Amount: amount(1000, 4000)})
	}
	return c
}

// begin starts the first owner.
func (c *cell) begin() *cell {
	c.m = c.newMachine()
	c.inform()
	return c
}

func (c *cell) newMachine() *Machine {
	return New(c.cfg, placement.NewIndex(placement.Options{Packing: 0.5}),
		policy.NewQueue(policy.Options{Weights: policy.Weights{Share: 1, Waiting: 0.1}}))
}

// inform tells a new owner the time, teams and workers.
func (c *cell) inform() {
	c.step(Tick{Now: fromMillis(c.now)})
	c.step(TeamsChanged{Teams: c.teams})
	c.step(AllotmentsChanged{Allotments: c.allot})
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

// step handles one event, delivers what follows and checks the invariants.
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

// running lists what workers run, and what undelivered starts could still run.
func (c *cell) running() []invariant.Running {
	var list []invariant.Running
	for _, w := range c.workers {
		for _, a := range w.running() {
			list = append(list, c.runningAt(w, a.request))
		}
		for _, call := range c.late {
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

func (c *cell) find(id domain.WorkerID) *fakeWorker {
	for _, w := range c.workers {
		if w.vm.ID == string(id) {
			return w
		}
	}
	return nil
}

// deliver carries out what the machine asks for.
func (c *cell) deliver() {
	r := c.m.Ready()
	if r.Batch != 0 {
		c.pending = append(c.pending, r)
	}
	for _, call := range r.Starts {
		c.start(call)
	}
	for _, call := range r.Stops {
		c.callEnd(call, domain.OutcomeStopped)
	}
	for _, call := range r.Checkpoints {
		c.callEnd(call, domain.OutcomeCheckpointed)
	}
	for _, a := range r.Acknowledge {
		c.acks[a.Worker] = append(c.acks[a.Worker], a.Attempts...)
	}
	c.throttled = append(c.throttled, r.Throttles...)
	c.wishes = append(c.wishes, r.Wishes...)
	for _, id := range r.Acquire {
		c.acquire(c.find(id))
	}
	for _, id := range r.Renew {
		c.renew(c.find(id))
	}
}

func (c *cell) callEnd(call AttemptCall, o domain.Outcome) {
	if w := c.find(call.Worker); !w.unreachable && !c.loseEnds {
		w.endAll(call, o, c.now)
	}
}

func (c *cell) start(call StartCall) {
	w := c.find(call.Worker)
	ids := make([]domain.AttemptID, 0, len(call.Requests))
	for _, r := range call.Requests {
		ids = append(ids, r.Attempt)
	}
	if strings.HasSuffix(c.starts, "late") {
		c.late = append(c.late, call)
	}
	switch {
	case c.starts == "late":
		return
	case w.unreachable || c.starts == "lost" || c.starts == "unknown late":
		c.step(StartUnknown{Worker: call.Worker, Lease: call.Lease, Attempts: ids})
		return
	case c.starts == "refused":
		w.lease = ""
	}
	held := c.arrive(call)
	switch {
	case w.answersLost || c.starts == "unknown":
		c.step(StartUnknown{Worker: call.Worker, Lease: call.Lease, Attempts: ids})
	case held:
		c.step(StartAccepted{Worker: call.Worker, Lease: call.Lease, Attempts: ids})
	default:
		c.step(LeaseRefused{Worker: call.Worker, Lease: call.Lease, Attempts: ids})
	}
}

// arrive lets a start call reach its worker and reports whether its lease held.
func (c *cell) arrive(call StartCall) bool {
	began, held := c.find(call.Worker).start(call, c.now, c.plan)
	for _, r := range began {
		c.started++
		c.checker.Ran(r.Job, r.Task, r.Attempt)
	}
	return held
}

// deliverLate lets starts arrive without an answer.
func (c *cell) deliverLate() {
	for _, call := range c.late {
		c.arrive(call)
	}
	c.late = nil
	c.check(nil)
}

func (c *cell) acquire(w *fakeWorker) {
	id := domain.WorkerID(w.vm.ID)
	w.calledMS = c.now
	if w.unreachable || !c.listed[w.vm.ID] {
		c.unreachable(w)
		return
	}
	lease, ok := w.acquire(c.epoch, c.now)
	if w.answersLost || !ok {
		c.unreachable(w)
		return
	}
	c.step(LeaseAcquired{Worker: id, Lease: lease, SentAt: fromMillis(c.now)})
}

// unreachable leaves the worker alone until its lease has lapsed.
func (c *cell) unreachable(w *fakeWorker) {
	w.pausedMS = c.now + fakeTTL + 6_000
	c.step(WorkerUnreachable{Worker: domain.WorkerID(w.vm.ID), LastSent: fromMillis(c.now)})
}

func (c *cell) renew(w *fakeWorker) {
	id := domain.WorkerID(w.vm.ID)
	status, known := c.m.Worker(id)
	if !known || status.Lease == "" || w.pausedMS > c.now {
		return
	}
	w.calledMS = c.now
	acks := c.acks[id]
	if w.unreachable {
		c.unreachable(w)
		return
	}
	lease, ok := w.renew(status.Lease, acks, c.now)
	switch {
	case w.answersLost:
		c.unreachable(w)
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
		if c.paused {
			continue
		}
		c.step(Tick{Now: fromMillis(c.now)})
		c.flush()
		if (c.now-startMS)%5_000 == 0 {
			c.list()
		}
		for _, w := range c.workers {
			c.keepLease(w)
		}
	}
}

// keepLease renews every 5 s and acquires where the worker was left alone long enough.
func (c *cell) keepLease(w *fakeWorker) {
	status, known := c.m.Worker(domain.WorkerID(w.vm.ID))
	switch {
	case !known || w.pausedMS > c.now:
	case status.Lease == "" || status.Unreachable:
		if c.now-w.calledMS >= 1_000 {
			c.acquire(w)
		}
	case c.now-w.calledMS >= 5_000:
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

func (c *cell) mustState(id domain.JobID, want ...domain.JobState) {
	c.t.Helper()
	got := c.state(id)
	for _, s := range want {
		if s == got {
			return
		}
	}
	e, _ := c.m.Explain(id)
	c.t.Fatalf("job %s is %q (%s), want one of %v\n%v", id, got, e.Reason, want, e.Events)
}
