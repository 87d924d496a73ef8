package decisions

import (
	"slices"
	"time"
)

// mean is a running mean.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(v float64) {
	m.sum += v
	m.n++
}

// Value returns the mean, or zero without values.
func (m *mean) Value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / float64(m.n)
}

// Report holds the measures of one run. Waiting times are in seconds, and
// packing and distances are fractions of the fleet.
type Report struct {
	// JobWaits is the time until the last task of a job starts, by class.
	JobWaits map[string][]float64
	// TaskWaits is the time until a task starts, by class.
	TaskWaits map[string][]float64
	// Unstarted jobs were left when the run was ended.
	Unstarted int
	Simulated time.Duration

	starts, peakRunning             int
	cpu, memory                     mean
	allocated, stranded             mean
	largest, distance               mean
	settledLargest, settledDistance mean
	// fullSince is when the fleet became full last, or below zero.
	fullSince time.Duration
}

func newReport() *Report {
	return &Report{JobWaits: make(map[string][]float64), TaskWaits: make(map[string][]float64), fullSince: -1}
}

// smallTeams is the key of the waits of teams with a small share.
const smallTeams = "small-teams"

// smallShare is the fraction of all shares up to which a team is small.
const smallShare = 0.2

func (r *Report) jobWait(j *Job, wait time.Duration, small bool) {
	r.JobWaits[j.Class()] = append(r.JobWaits[j.Class()], wait.Seconds())
	r.JobWaits["all"] = append(r.JobWaits["all"], wait.Seconds())
	if small {
		r.JobWaits[smallTeams] = append(r.JobWaits[smallTeams], wait.Seconds())
	}
}

func (r *Report) taskWait(j *Job, wait time.Duration) {
	r.TaskWaits[j.Class()] = append(r.TaskWaits[j.Class()], wait.Seconds())
	r.TaskWaits["all"] = append(r.TaskWaits["all"], wait.Seconds())
}

// Percentile returns the p-th percentile of values, p in [0, 1].
func Percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(p*float64(len(sorted)-1)+0.5)]
}

// average returns the mean of values.
func average(values []float64) float64 {
	var m mean
	for _, v := range values {
		m.add(v)
	}
	return m.Value()
}
