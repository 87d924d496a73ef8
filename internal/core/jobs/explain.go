package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"auburnpier/internal/domain"
)

// Reasons why a step waits, as shown in logs, metrics and explanations.
const (
	waitNotStored  = "job is not stored yet"
	waitDue        = "the occurrence is not due yet"
	waitSuspects   = "workers of the former owner have not reported"
	waitTeamLimit  = "team is at its limit"
	waitTeamUrgent = "the team's limit is left to its more urgent steps"
	waitTooLarge   = "gang is wider than the team's limit"
	waitNextPass   = "more urgent steps come first in this pass"
	waitCapacity   = "no worker has room"
	waitApproval   = "approval is asked for"
	waitApprover   = "no instance is free to ask for approval"
	waitNoApproval = "approved workers have no room"
	waitHeld       = "room is kept until tasks end"
	waitRepair     = "gang members are placed again"
	waitShares     = "the team is far above its share"
	waitMemory     = "the owner's memory for running tasks is in use"
	waitParked     = "jobs whose tasks run are being read from the store"
	// waitEvacuated replaces waitCapacity while zones are evacuated.
	waitEvacuated   = "no worker outside the evacuated zones has room"
	waitUnconfirmed = "the operators' evacuations are not confirmed"
)

func (m *Machine) capacityReason() string {
	if len(m.evacuatedZones) > 0 {
		return waitEvacuated
	}
	return waitCapacity
}

// waitLogDelayMS is how long a step waits before the reason is logged.
const waitLogDelayMS = 1500

// recordWaits adds up how long steps wait by reason, and logs a step's reason when it changes.
func (m *Machine) recordWaits() {
	for _, s := range m.ready {
		m.countWait(s)
		if m.nowMS-s.readyMS < waitLogDelayMS || s.waitReason == s.loggedWaitReason {
			continue
		}
		s.loggedWaitReason = s.waitReason
		m.out.Decisions = append(m.out.Decisions, Decision{Kind: "step_waits",
			Task:   TaskID{s.job.id, s.occurrence.number, s.number, 0},
			Detail: fmt.Sprintf("%s; %d of %d tasks have waited for %d ms", s.waitReason, s.waiting, s.spec.Tasks, m.nowMS-s.readyMS)})
	}
}

// countWait adds the time since the last count to the step's current reason.
func (m *Machine) countWait(s *step) {
	ms := m.nowMS - max(s.readyMS, s.waitsCountedMS)
	s.waitsCountedMS = m.nowMS
	if s.waitReason == "" || ms <= 0 || s.waiting == 0 {
		return
	}
	if s.waitMSByReason == nil {
		s.waitMSByReason = make(map[string]int64)
	}
	s.waitMSByReason[s.waitReason] += ms
	if m.out.WaitedMS == nil {
		m.out.WaitedMS = make(map[string]int64)
	}
	m.out.WaitedMS[s.waitReason] += ms
}

// recordLateness logs an occurrence that has completed after its objective: by how much, and how long
// each step waited for what.
func (m *Machine) recordLateness(o *occurrence) {
	lateMS := m.nowMS - o.deadlineMS
	if lateMS <= 0 {
		return
	}
	j := o.job
	var detail strings.Builder
	fmt.Fprintf(&detail, "late by %d ms (objective %d ms, critical path %d ms)", lateMS, o.objectiveMS(), o.criticalPathMS)
	for _, s := range o.steps {
		m.countWait(s)
		fmt.Fprintf(&detail, "; step %d, last run %d, ready since %d ms, waited", s.number, s.lastRun, m.nowMS-s.readyMS)
		for _, reason := range slices.Sorted(maps.Keys(s.waitMSByReason)) {
			fmt.Fprintf(&detail, " %d ms: %s,", s.waitMSByReason[reason], reason)
		}
	}
	m.out.recordJob("job_late", j, detail.String())
}

// JobView describes a job to operators. Durations are milliseconds.
type JobView struct {
	Job   domain.JobID   `json:"job"`
	Team  domain.TeamID  `json:"team"`
	Queue domain.QueueID `json:"queue"`
	// State is the state that the store holds, and UnstoredState a later one that is lost if another owner takes over now.
	State          string `json:"state"`
	UnstoredState  string `json:"unstored_state,omitempty"`
	AcceptedUnixMS int64  `json:"accepted_unix_ms"`
	// OverRate is set if the team had submitted more than its weight permits.
	OverRate bool `json:"over_rate"`
	// Parked is set while only the state of the job is held, until there is memory for its steps.
	Parked bool       `json:"parked,omitempty"`
	Steps  []StepView `json:"steps"`
}

// StepView describes one step of an occurrence.
type StepView struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Tasks      int `json:"tasks"`
	Waiting    int `json:"waiting"`
	Succeeded  int `json:"succeeded"`
	// WaitsFor lists the unfinished steps that this one depends on.
	WaitsFor []int `json:"waits_for,omitempty"`
	// Reason is why tasks of a ready step wait, and ReadyMS is how long the step has been ready.
	Reason  string `json:"reason,omitempty"`
	ReadyMS int64  `json:"ready_ms,omitempty"`
	// WaitedMS is how long the step has waited so far, by reason, with a resolution of 250 ms.
	WaitedMS map[string]int64 `json:"waited_ms,omitempty"`
	// ObjectiveMS is the time left until the objective. It is negative once that is missed.
	ObjectiveMS int64     `json:"objective_in_ms"`
	FailedRuns  int       `json:"failed_runs"`
	Runs        []RunView `json:"runs,omitempty"`
}

// RunView describes a run that reserves resources on a worker.
type RunView struct {
	Task    int             `json:"task"`
	Run     int             `json:"run"`
	Worker  domain.WorkerID `json:"worker"`
	Phase   string          `json:"phase"`
	Reason  string          `json:"reason,omitempty"`
	Percent int             `json:"percent"`
	// ConfirmedMS is the time since the worker confirmed the run.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// ThrottlePercent is the percentage of full speed to which a best-effort task is throttled.
	ThrottlePercent int `json:"pace"`
	// ReportAgeMS is the age of the worker's last report.
	ReportAgeMS int64 `json:"heard_ms"`
}

var phaseNames = map[runPhase]string{runSent: "ordered", runConfirmed: "running", runStopping: "stopping"}

// Explain describes a job. It returns false if the job is not known.
func (m *Machine) Explain(id domain.JobID) (JobView, bool) {
	j, ok := m.jobs[id]
	if !ok {
		return JobView{}, false
	}
	v := JobView{Job: j.id, Team: j.team.ID, Queue: j.queue.Name, State: j.storedState.Shown(j.started).String(),
		AcceptedUnixMS: j.acceptedUnixMS, OverRate: j.overRate, Parked: j.parking != nil}
	if j.state != j.storedState {
		v.UnstoredState = j.state.String()
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			v.Steps = append(v.Steps, m.explainStep(s))
		}
	}
	slices.SortFunc(v.Steps, func(a, b StepView) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	return v, true
}

func (m *Machine) explainStep(s *step) StepView {
	v := StepView{Occurrence: s.occurrence.number, Step: s.number, Tasks: s.spec.Tasks, Waiting: s.waiting,
		Succeeded: s.spec.Tasks - s.open, ObjectiveMS: s.occurrence.deadlineMS - m.nowMS, FailedRuns: len(s.gangFailedRuns),
		WaitedMS: maps.Clone(s.waitMSByReason)}
	for _, earlier := range s.spec.After {
		if s.occurrence.steps[earlier].open > 0 {
			v.WaitsFor = append(v.WaitsFor, earlier)
		}
	}
	if s.ready && s.waiting > 0 {
		v.Reason, v.ReadyMS = s.waitReason, m.nowMS-s.readyMS
	}
	for _, t := range s.active {
		v.FailedRuns += len(t.failedRuns)
		for _, r := range t.runs {
			row := RunView{Task: t.index, Run: r.number, Worker: r.worker.id, Phase: phaseNames[r.phase], Reason: r.reason,
				Percent: r.percent, ThrottlePercent: r.throttle, ReportAgeMS: m.nowMS - r.worker.lastReportMS}
			if r.confirmedMS > 0 {
				row.ConfirmedMS = m.nowMS - r.confirmedMS
			}
			v.Runs = append(v.Runs, row)
		}
	}
	return v
}

// Overview holds counts of jobs, tasks and workers, and the resources in use by each team.
type Overview struct {
	OpenJobs     int `json:"open_jobs"`
	EndedJobs    int `json:"ended_jobs"`
	RunningTasks int `json:"running_tasks"`
	WaitingTasks int `json:"waiting_tasks"`
	// Suspects counts the workers that may run tasks of a former owner and have not reported.
	Suspects int          `json:"suspect_workers"`
	Memory   MemoryView   `json:"memory"`
	Workers  WorkerCounts `json:"workers"`
	// EvacuatedZones lists the zones whose workers get no new work at the operators' request.
	EvacuatedZones []ZoneView `json:"evacuated_zones,omitempty"`
	Teams          []TeamView `json:"teams"`
	// Approvals is nil unless requests for approval are planned.
	Approvals *ApprovalsView `json:"approvals,omitempty"`
	// Interference is nil while tasks that slow each other down are not kept apart.
	Interference *InterferenceView `json:"interference,omitempty"`
	// Departures is nil unless runs leave ending workers early.
	Departures *DeparturesView `json:"departures,omitempty"`
	// SlowWorkers is nil unless workers that have become slow are detected.
	SlowWorkers *SlowWorkersView `json:"slow_workers,omitempty"`
	// Shares is nil unless teams are ordered by their shares.
	Shares *SharesView `json:"shares,omitempty"`
}

// TeamView shows the resources that a team uses, and its limit. A zero amount means no limit.
type TeamView struct {
	Team  domain.TeamID    `json:"team"`
	Used  domain.Resources `json:"used"`
	Limit domain.Resources `json:"limit"`
}

// Overview returns counts of jobs, tasks and workers, and the resources in use by each team.
func (m *Machine) Overview() Overview {
	v := Overview{Suspects: len(m.suspects), Memory: m.memoryView(), Workers: m.CountWorkers(), EvacuatedZones: m.evacuatedZoneViews(),
		Approvals: m.approvalsView(), Interference: m.interferenceView(), Departures: m.departuresView(), SlowWorkers: m.slowWorkersView(),
		Shares: m.sharesView()}
	for _, j := range m.jobs {
		if j.state.Terminal() {
			v.EndedJobs++
		} else {
			v.OpenJobs++
		}
	}
	for _, w := range m.sortedWorkers {
		v.RunningTasks += len(w.runs)
	}
	for _, s := range m.ready {
		v.WaitingTasks += s.waiting
	}
	for _, t := range m.teams {
		if t.configured || t.used != (domain.Resources{}) {
			v.Teams = append(v.Teams, TeamView{t.ID, t.used, t.Limit})
		}
	}
	slices.SortFunc(v.Teams, func(a, b TeamView) int { return cmp.Compare(a.Team, b.Team) })
	return v
}
