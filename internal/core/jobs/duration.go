package jobs

import "auburnpier/internal/domain"

// Parameters of the durations that are expected of tasks.
const (
	// defaultTaskMS is the duration of a task without an estimate while none has been observed.
	defaultTaskMS = 1000
	// minDurationRuns is the number of runs from which on their durations count, maxDurationRuns bounds the weight of earlier ones.
	minDurationRuns = 8
	maxDurationRuns = 50
	// maxEstimateError is how far estimates may be off, as a factor in either direction, before what was observed replaces them. Estimates are
	// rough, and a job that differs from the others of its team is best judged by its own.
	maxEstimateError = 4
)

// durationKey names tasks whose estimates are expected to be off alike.
type durationKey struct {
	queue domain.QueueID
	team  domain.TeamID
	// estimated is set for tasks with an estimate.
	estimated bool
}

// durations sums up the runs that have succeeded, the latest with more weight.
type durations struct {
	runs                  int
	actualMS, estimatedMS float64
}

// recordDuration notes how long a run took that has succeeded.
func (m *Machine) recordDuration(r *run) {
	s := r.task.step
	if r.confirmedMS == 0 || s.spec.Gang || s.spec.LongRunning || s.spec.BestEffort || r.task.checkpoint != "" {
		return
	}
	key := durationKey{s.job.queue.Name, s.job.team.ID, s.spec.EstimateMS > 0}
	d := m.durations[key]
	if d == nil {
		d = &durations{}
		m.durations[key] = d
	}
	d.runs = min(d.runs+1, maxDurationRuns)
	d.actualMS += (float64(m.nowMS-r.confirmedMS) - d.actualMS) / float64(d.runs)
	d.estimatedMS += (float64(s.spec.EstimateMS) - d.estimatedMS) / float64(d.runs)
}

// expectedTaskMS returns the expected duration of a task: its caller's estimate, unless that is missing, or the estimates of the team's tasks in
// the queue have been far off.
func (m *Machine) expectedTaskMS(q *Queue, t *team, spec *StepSpec) int64 {
	estimated := spec.EstimateMS > 0
	d := m.durations[durationKey{q.Name, t.ID, estimated}]
	known := d != nil && d.runs >= minDurationRuns
	switch {
	case known && !estimated:
		return max(1, int64(d.actualMS))
	case !estimated:
		return defaultTaskMS
	case known && (d.actualMS > maxEstimateError*d.estimatedMS || d.actualMS*maxEstimateError < d.estimatedMS):
		return max(1, int64(float64(spec.EstimateMS)*d.actualMS/d.estimatedMS))
	}
	return spec.EstimateMS
}

// expectedMS returns the expected duration of a task of the step.
func (m *Machine) expectedMS(s *step) int64 { return m.expectedTaskMS(s.job.queue, s.job.team, s.spec) }
