package sched

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
)

// queueFullRetryAfter is the Retry-After of the refusal for a full queue: the time of a few journal writes.
const queueFullRetryAfter = 5 * time.Second

// submit accepts a job, returns an earlier job with the same ID or idempotency key, or refuses it.
func (m *Machine) submit(e Submit) Result {
	spec := withSpecDefaults(e.Spec)
	if earlier, ok := m.findEarlier(e); ok {
		return m.repeatedSubmit(earlier, e.Team, spec)
	}
	if r := m.admit(e.Team, spec); r != nil {
		return Result{Err: r}
	}
	m.commit(Record{Accepted: &AcceptedRecord{Job: e.Job, Team: e.Team, Spec: spec}})
	return Result{Job: e.Job, Batch: m.batchToConfirm()}
}

func withSpecDefaults(s domain.JobSpec) domain.JobSpec {
	if s.Kind == "" {
		s.Kind = domain.JobBatch
	}
	if s.Priority == "" {
		s.Priority = domain.PriorityNormal
	}
	return s
}

// findEarlier returns the job that the submission repeats.
func (m *Machine) findEarlier(e Submit) (*job, bool) {
	if j, ok := m.jobs[e.Job]; ok {
		return j, true
	}
	if e.Spec.IdempotencyKey == "" {
		return nil, false
	}
	id, ok := m.keys[submitKey{e.Team, e.Spec.IdempotencyKey}]
	if !ok {
		return nil, false
	}
	return m.jobs[id], true
}

// repeatedSubmit returns the result of a submission that uses the ID or key of job j again.
func (m *Machine) repeatedSubmit(j *job, team domain.TeamID, spec domain.JobSpec) Result {
	if j.Team != team || !sameSpec(j.Spec, spec) {
		return Result{Err: refusal.ForJob(refusal.IdempotencyMismatch,
			"the job ID or idempotency key was used for a different job",
			"use a new idempotency_key for a new job, or repeat the job unchanged")}
	}
	return Result{Job: j.ID, Existing: true, Batch: m.batchToConfirm()}
}

// sameSpec compares the encodings of the specs, in which empty and absent lists are equal.
func sameSpec(a, b domain.JobSpec) bool {
	x, errA := cbor.Marshal(a)
	y, errB := cbor.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}

// admit returns the refusal of a job that can never run, or nil.
func (m *Machine) admit(id domain.TeamID, spec domain.JobSpec) *refusal.Refusal {
	if r := m.checkSpec(spec); r != nil {
		return r
	}
	t := m.team(id)
	if !t.known {
		return refusal.ForJob(refusal.TeamUnknown,
			fmt.Sprintf("team %q is not in the table", id), "ask the operators for a key of a current team")
	}
	if len(m.open)-m.openEnded >= m.cfg.MaxJobs {
		return refusal.ForJob(refusal.QueueFull,
			fmt.Sprintf("the partition holds %d jobs", m.cfg.MaxJobs), "submit again later").WithRetryAfter(queueFullRetryAfter)
	}
	need := spec.Resources
	if spec.Kind == domain.JobGang {
		need = need.Scale(int64(spec.Tasks))
	}
	if !need.Fits(t.limit) {
		return refusal.ForJob(refusal.LimitTooSmall,
			fmt.Sprintf("the job needs %s at once, the team's limit is %s", describeResources(need), describeResources(t.limit)),
			"make resources or tasks smaller, or ask the operators for a larger limit")
	}
	return m.checkFits(spec)
}

func (m *Machine) checkSpec(spec domain.JobSpec) *refusal.Refusal {
	invalid := func(message, remedy string) *refusal.Refusal {
		return refusal.ForJob(refusal.InvalidRequest, message, remedy)
	}
	switch {
	case spec.Tasks < 1 || spec.Tasks > m.cfg.MaxTasksPerJob:
		return invalid(fmt.Sprintf("tasks is %d", spec.Tasks), fmt.Sprintf("set tasks from 1 to %d", m.cfg.MaxTasksPerJob))
	case spec.Resources.IsNegative() || spec.Resources.IsZero():
		return invalid("resources is "+describeResources(spec.Resources), "set at least one component above zero and none below")
	case spec.Kind == domain.JobService && !spec.Idempotent:
		// A replica that is not idempotent could never be replaced.
		return invalid("a service is not idempotent", "set idempotent, or submit a batch job")
	}
	return nil
}

// checkFits refuses a job that fits no worker even when the worker is empty. A partition
// that knows no worker yet accepts every job.
func (m *Machine) checkFits(spec domain.JobSpec) *refusal.Refusal {
	if m.largest.IsZero() {
		return nil
	}
	req := placement.Request{Size: spec.Resources, Zones: spec.Zones, IgnoreHolds: true}
	var err error
	what := "a task of " + describeResources(spec.Resources)
	if spec.Kind == domain.JobGang {
		_, err = m.index.PlaceGang(req, spec.Tasks, spec.SpanZones)
		what = fmt.Sprintf("a gang of %d tasks of %s", spec.Tasks, describeResources(spec.Resources))
	} else {
		_, err = m.index.Place(req)
	}
	var none *placement.NoFitError
	if !errors.As(err, &none) || !none.NeverFits {
		return nil
	}
	return refusal.ForJob(refusal.NeverFits,
		what+" fits no worker of the partition even when it is empty",
		"the nearest shape that fits is "+describeResources(none.NearestSize)+" for each task")
}

func describeResources(r domain.Resources) string {
	return fmt.Sprintf("%d mCPU, %d MB, %d accelerators", r.CPUMilli, r.MemoryMB, r.Accelerators)
}
