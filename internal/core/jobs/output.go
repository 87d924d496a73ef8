package jobs

import (
	"auburnpier/internal/core/approvals"
	"auburnpier/internal/domain"
)

// StartOrder tells a worker to start a task.
type StartOrder struct {
	Worker  domain.WorkerID
	Address string
	Task    TaskID
	Run     int
	Payload string
	// LimitClockMS is a time of the worker's clock after which the order has no effect.
	LimitClockMS int64
	Checkpoint   string
	Ticket       string
	Repeated     bool
}

// StopOrder tells a worker to stop a run, or to refuse it if its start order arrives later.
type StopOrder struct {
	Worker  domain.WorkerID
	Address string
	Task    TaskID
	Run     int
	Reason  string
}

// ApprovalRequest asks the approval service which workers may run tasks of a step.
type ApprovalRequest struct {
	Step    StepID
	Queue   domain.QueueID
	Workers []domain.WorkerID
	// Grant identifies the instance that sends the request.
	Grant approvals.Grant
	// WaitedMS is how long the step waited for an instance to send the request.
	WaitedMS int64
}

// Decision is one scheduling decision for the log.
type Decision struct {
	Kind   string
	Worker domain.WorkerID
	Task   TaskID
	Run    int
	Detail string
}

// Output is what the caller has to do since the last TakeOutput.
type Output struct {
	Starts    []StartOrder
	Stops     []StopOrder
	Throttles []ThrottleOrder
	Approvals []ApprovalRequest
	// Loads lists the parked jobs to read from the store.
	Loads []domain.JobID
	// RemovedWorkers lists the workers that were removed for good.
	RemovedWorkers []domain.WorkerID
	Decisions      []Decision
	// TimeToFirstStartMS lists the times from acceptance to the first accepted start order of jobs that are
	// not recurring.
	TimeToFirstStartMS []int64
	// WaitedMS is how long steps have waited since the last TakeOutput, by reason.
	WaitedMS map[string]int64
	// MovedBack counts the steps that began to come after those of teams within their share, and Places the places of refused jobs.
	MovedBack, Places int64
}

func (o *Output) recordWorker(kind string, w domain.WorkerID, detail string) {
	o.Decisions = append(o.Decisions, Decision{Kind: kind, Worker: w, Detail: detail})
}

func (o *Output) recordRun(kind string, r *run, detail string) {
	o.Decisions = append(o.Decisions, Decision{Kind: kind, Worker: r.worker.id, Task: r.task.id(), Run: r.number, Detail: detail})
}

func (o *Output) recordJob(kind string, j *job, detail string) {
	o.Decisions = append(o.Decisions, Decision{Kind: kind, Task: TaskID{Job: j.id}, Detail: detail})
}

// TakeOutput returns the accumulated output and clears it.
func (m *Machine) TakeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}
