package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"auburnpier/internal/domain"
)

// queueModel keeps the waiting jobs in a map and scans all of them.
type queueModel struct {
	q          *queue
	now        time.Time
	jobs       map[domain.JobID]Item
	limits     map[domain.TeamID]domain.Resources
	running    map[domain.TeamID]domain.Resources
	passed     map[domain.JobID]bool
	failedKeys []groupKey
}

var testTeams = []domain.TeamID{"a", "b", "c"}

func (m *queueModel) push(t *rapid.T) {
	i := Item{
		Job:      domain.JobID(fmt.Sprint("j", rapid.IntRange(0, 12).Draw(t, "job"))),
		Team:     rapid.SampledFrom(append(testTeams, "missing")).Draw(t, "team"),
		Kind:     rapid.SampledFrom([]domain.JobKind{domain.JobBatch, domain.JobService, domain.JobGang}).Draw(t, "kind"),
		Priority: rapid.SampledFrom([]domain.Priority{domain.PriorityUrgent, domain.PriorityNormal, domain.PriorityLow}).Draw(t, "priority"),
		Size:     unit.Scale(rapid.Int64Range(1, 3).Draw(t, "size")),
		Tasks:    rapid.IntRange(1, 3).Draw(t, "tasks"),
		Enqueued: m.now.Add(-time.Duration(rapid.IntRange(0, 40).Draw(t, "age")) * time.Minute),
	}
	m.q.Push(i)
	m.jobs[i.Job] = i
}

func (m *queueModel) remove(t *rapid.T) {
	id := domain.JobID(fmt.Sprint("j", rapid.IntRange(0, 12).Draw(t, "job")))
	m.q.Remove(id)
	delete(m.jobs, id)
	delete(m.passed, id)
}

func (m *queueModel) begin(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "minutes")) * time.Minute)
	m.q.BeginRound(m.now)
	clear(m.passed)
	m.failedKeys = nil
}

func (m *queueModel) refund(t *rapid.T) {
	team := rapid.SampledFrom(testTeams).Draw(t, "team")
	if !m.running[team].IsZero() {
		m.q.Refund(team, unit)
		m.running[team] = m.running[team].Sub(unit)
	}
}

func (m *queueModel) setLimits(t *rapid.T) {
	var rows []Team
	for _, id := range testTeams {
		m.limits[id] = unit.Scale(rapid.Int64Range(0, 12).Draw(t, "limit"))
		rows = append(rows, Team{ID: id, Share: 1, Limit: m.limits[id]})
	}
	m.q.SetTeams(rows)
}

// eligible reports whether a linear scan would offer the job.
func (m *queueModel) eligible(i Item) bool {
	limit, present := m.limits[i.Team]
	if !present || m.passed[i.Job] {
		return false
	}
	for _, k := range m.failedKeys {
		if k.size.Fits(i.Size) && k.gangTasks <= groupKeyOf(i).gangTasks {
			return false
		}
	}
	return groupKeyOf(i).need().Add(m.running[i.Team]).Fits(limit)
}

func (m *queueModel) next(t *rapid.T) {
	got, ok := m.q.Next()
	for id, i := range m.jobs {
		switch {
		case !m.eligible(i):
		case !ok:
			t.Fatalf("%s is eligible but was not offered", id)
		case i.Priority == domain.PriorityUrgent && got.Priority != domain.PriorityUrgent:
			t.Fatalf("%s was offered before the urgent job %s", got.Job, id)
		}
	}
	if !ok {
		return
	}
	if got != m.jobs[got.Job] || !m.eligible(got) {
		t.Fatalf("%+v was offered, want an eligible job of %v", got, m.jobs)
	}
	switch rapid.IntRange(0, 2).Draw(t, "decision") {
	case 0:
		need := groupKeyOf(got).need()
		m.q.Charge(got.Team, need)
		m.running[got.Team] = m.running[got.Team].Add(need)
		m.q.Remove(got.Job)
		delete(m.jobs, got.Job)
	case 1:
		m.q.Pass(got.Job, WaitRestartRate)
		m.passed[got.Job] = true
	default:
		m.q.Pass(got.Job, WaitNoCapacity)
		m.passed[got.Job] = true
		m.failedKeys = append(m.failedKeys, groupKeyOf(got))
	}
}

func (m *queueModel) check(t *rapid.T) {
	if m.q.Len() != len(m.jobs) {
		t.Fatalf("queue has %d jobs, want %d", m.q.Len(), len(m.jobs))
	}
}

// Guards against losing a job, offering one that may not start, and offering another
// job before urgent work, under any sequence of calls.
func TestQueueMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			q:       newQueue(Options{Weights: Weights{Share: 1, Waiting: rapid.Float64Range(0, 1).Draw(t, "waiting")}}),
			now:     testStart,
			jobs:    make(map[domain.JobID]Item),
			limits:  make(map[domain.TeamID]domain.Resources),
			running: make(map[domain.TeamID]domain.Resources),
			passed:  make(map[domain.JobID]bool),
		}
		m.q.SetTotal(testFleet)
		m.setLimits(t)
		m.q.BeginRound(m.now)
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "remove": m.remove, "begin": m.begin, "refund": m.refund,
			"limits": m.setLimits, "next": m.next, "again": m.next, "": m.check,
		})
	})
}
