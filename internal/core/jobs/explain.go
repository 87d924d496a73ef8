package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"auburnpier/internal/domain"
)

// Reasons why a step waits, as the log shows them.
const (
	waitNotStored  = "job is not stored yet"
	waitSuspects   = "workers of the former owner have not reported"
	waitTeamLimit  = "team is at its limit"
	waitTeamUrgent = "the team's limit is left to its more urgent steps"
	waitTooWide    = "gang is wider than the team's limit"
	waitTurn       = "more urgent steps come first in this pass"
	waitRoom       = "no worker has room"
	waitApproval   = "approval is asked for"
	waitApprover   = "no instance is free to ask for approval"
	waitNoApproval = "approved workers have no room"
	waitHeld       = "room is kept until tasks end"
	waitRepair     = "gang members are placed again"
)

// noteAfterMS is how long a step waits before its reason is logged.
const waitLogDelayMS = 1500

// noteWaits counts how long steps wait and why, and logs each reason once.
func (m *Machine) recordWaits() {
	for _, s := range m.ready {
		m.countWait(s)
		if m.nowMS-s.readyMS < waitLogDelayMS || s.waitReason == s.loggedWaitReason {
			continue
		}
		s.loggedWaitReason = s.waitReason
		m.out.Notes = append(m.out.Notes, Note{Kind: "step_waits",
			Task:   TaskID{s.job.id, s.occurrence.number, s.number, 0},
			Detail: fmt.Sprintf("%s; %d of %d tasks wait for %d ms", s.waitReason, s.waiting, s.spec.Tasks, m.nowMS-s.readyMS)})
	}
}

// countWait adds the time since the last count to the step's present reason.
func (m *Machine) countWait(s *step) {
	ms := m.nowMS - max(s.readyMS, s.waitsCountedMS)
	s.waitsCountedMS = m.nowMS
	if s.waitReason == "" || ms <= 0 {
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

// JobView shows a job to operators. Durations are milliseconds.
type JobView struct {
	Job            domain.JobID   `json:"job"`
	Team           domain.TeamID  `json:"team"`
	Queue          domain.QueueID `json:"queue"`
	State          string         `json:"state"`
	AcceptedUnixMS int64          `json:"accepted_unix_ms"`
	// OverRate tells that the team handed in more than its weight grants.
	OverRate bool       `json:"over_rate"`
	Steps    []StepView `json:"steps"`
}

// StepView shows one step of an occurrence.
type StepView struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Tasks      int `json:"tasks"`
	Waiting    int `json:"waiting"`
	Succeeded  int `json:"succeeded"`
	// WaitsFor lists earlier steps that have not ended.
	WaitsFor []int `json:"waits_for,omitempty"`
	// Reason tells why tasks wait though the step's turn has come, and ReadyMS for how long.
	Reason  string `json:"reason,omitempty"`
	ReadyMS int64  `json:"ready_ms,omitempty"`
	// WaitedMS is how long the step waited so far, by reason, to a quarter of a second.
	WaitedMS map[string]int64 `json:"waited_ms,omitempty"`
	// ObjectiveMS is the time left until the objective; negative when it is missed.
	ObjectiveMS int64     `json:"objective_in_ms"`
	FailedRuns  int       `json:"failed_runs"`
	Runs        []RunView `json:"runs,omitempty"`
}

// RunView shows a run that takes room on a worker.
type RunView struct {
	Task    int             `json:"task"`
	Run     int             `json:"run"`
	Worker  domain.WorkerID `json:"worker"`
	Phase   string          `json:"phase"`
	Reason  string          `json:"reason,omitempty"`
	Percent int             `json:"percent"`
	// ConfirmedMS is how long the worker has been known to have it.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// Pace is the percentage that a leftover task may work at.
	Pace int `json:"pace"`
	// HeardMS is the age of the worker's last report.
	HeardMS int64 `json:"heard_ms"`
}

var phaseNames = map[runPhase]string{runSent: "ordered", runConfirmed: "running", runStopping: "stopping"}

// Explain shows a job. It reports false where the job is not known.
func (m *Machine) Explain(id domain.JobID) (JobView, bool) {
	j, ok := m.jobs[id]
	if !ok {
		return JobView{}, false
	}
	v := JobView{Job: j.id, Team: j.team.ID, Queue: j.queue.Name, State: j.state.Shown(j.started).String(),
		AcceptedUnixMS: j.acceptedUnixMS, OverRate: j.overRate}
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
	v := StepView{Occurrence: s.occurrence.number, Step: s.number, Tasks: len(s.tasks), Waiting: s.waiting,
		Succeeded: len(s.tasks) - s.open, ObjectiveMS: s.occurrence.deadlineMS - m.nowMS, FailedRuns: len(s.gangFailedRuns),
		WaitedMS: maps.Clone(s.waitMSByReason)}
	for _, earlier := range s.spec.After {
		if s.occurrence.steps[earlier].open > 0 {
			v.WaitsFor = append(v.WaitsFor, earlier)
		}
	}
	if s.ready && s.waiting > 0 {
		v.Reason, v.ReadyMS = s.waitReason, m.nowMS-s.readyMS
	}
	for _, t := range s.tasks {
		v.FailedRuns += len(t.failedRuns)
		for _, r := range t.runs {
			row := RunView{Task: t.index, Run: r.number, Worker: r.worker.id, Phase: phaseNames[r.phase], Reason: r.reason,
				Percent: r.percent, Pace: r.throttle, HeardMS: m.nowMS - r.worker.lastReportMS}
			if r.confirmedMS > 0 {
				row.ConfirmedMS = m.nowMS - r.confirmedMS
			}
			v.Runs = append(v.Runs, row)
		}
	}
	return v
}

// Overview counts what the machine holds.
type Overview struct {
	OpenJobs     int `json:"open_jobs"`
	EndedJobs    int `json:"ended_jobs"`
	RunningTasks int `json:"running_tasks"`
	WaitingTasks int `json:"waiting_tasks"`
	// Suspects are workers that may run tasks of a former owner unseen.
	Suspects int          `json:"suspect_workers"`
	Workers  WorkerCounts `json:"workers"`
	Teams    []TeamView   `json:"teams"`
}

// TeamView shows what a team has running beside its limit; a zero amount of the limit bounds nothing.
type TeamView struct {
	Team  domain.TeamID    `json:"team"`
	Used  domain.Resources `json:"used"`
	Limit domain.Resources `json:"limit"`
}

// Overview counts jobs, tasks and workers.
func (m *Machine) Overview() Overview {
	v := Overview{Suspects: len(m.suspects), Workers: m.CountWorkers()}
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
