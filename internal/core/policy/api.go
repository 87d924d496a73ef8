// Package policy selects the waiting job to consider next: by priority class, then by
// the team furthest below its weighted dominant share, then by age, with aging
// against starvation. It performs no I/O and reads no clock.
package policy

import (
	"time"

	"auburnpier/internal/domain"
)

// Weights are the configurable weights of the scheduling criteria.
type Weights struct {
	// Share weighs how close each team is to its share.
	Share float64 `json:"share"`
	// Waiting weighs the waiting time of jobs. Teams whose ratios of running
	// resources to share differ by less than Waiting/Share are ordered by the age
	// of their oldest job. If Waiting is zero only shares are compared; if Share
	// is zero only ages are.
	Waiting float64 `json:"waiting"`
	// Packing weighs filling workers against spreading tasks evenly in placement scores.
	Packing float64 `json:"packing"`
}

// Team is the configuration of a team.
type Team struct {
	ID domain.TeamID
	// Share is the weight of the team when the fleet is full. It is positive.
	Share float64
	// Limit bounds what the team may run in this partition.
	Limit domain.Resources
}

// Item is one waiting job.
type Item struct {
	Job      domain.JobID
	Team     domain.TeamID
	Kind     domain.JobKind
	Priority domain.Priority
	// Size is the resource reservation of one task.
	Size domain.Resources
	// Tasks is the number of waiting tasks. A gang is considered as a whole.
	Tasks    int
	Enqueued time.Time
	// Constraint identifies all other restrictions on where the tasks may run, such
	// as their zones and the workers that they avoid. If a job did not fit, jobs of
	// the same constraint that need at least as much are not offered in that round,
	// so jobs with different restrictions need different values. Jobs that hold
	// capacity and jobs that may backfill fit where others do not, so they need
	// values of their own.
	Constraint string
}

// WaitReason is the stable name of the reason for which the queue passes over a job.
type WaitReason string

// Reasons for which a job waits.
const (
	WaitTeamLimit   WaitReason = "team_limit"
	WaitNoCapacity  WaitReason = "no_room"
	WaitBehind      WaitReason = "behind_other_teams"
	WaitRestartRate WaitReason = "restart_rate"
)

// Queue orders waiting jobs. Implementations are not safe for concurrent use. Results
// depend only on the sequence of calls.
type Queue interface {
	// SetTeams replaces the teams. Jobs of teams not listed are never offered.
	SetTeams(teams []Team)
	// SetTotal sets the capacity relative to which dominant shares are computed.
	SetTotal(total domain.Resources)
	// SetRunningElsewhere sets what a team runs in other partitions, so that its share is measured
	// over the whole fleet.
	SetRunningElsewhere(team domain.TeamID, running domain.Resources)
	// Push adds a job, or replaces the one with the same ID.
	Push(item Item)
	// Remove deletes a job.
	Remove(job domain.JobID)
	// Len returns the number of waiting jobs.
	Len() int
	// Charge adds size to what the team runs; Refund subtracts it.
	Charge(team domain.TeamID, size domain.Resources)
	Refund(team domain.TeamID, size domain.Resources)
	// Running returns what the team runs in this partition.
	Running(team domain.TeamID) domain.Resources
	// BeginRound starts a scheduling round at now. Jobs that were passed over are offered again.
	BeginRound(now time.Time)
	// Next returns the job to consider now, or false at the end of the round. The team has
	// headroom below its limit for at least one task of the job, or for all tasks of a gang.
	Next() (Item, bool)
	// Pass passes over the job that Next returned for the rest of the round.
	Pass(job domain.JobID, reason WaitReason)
	// WaitReason returns why the job was passed over in the last round, or WaitBehind.
	WaitReason(job domain.JobID) WaitReason
	// ShouldHold reports whether capacity should be held for the job, which did not fit: it has
	// waited for the reservation delay, and its team runs less than its share, where held, the
	// capacity already held for jobs of the team, counts as running. Shares left unused by teams
	// without waiting jobs are divided among the other teams for this purpose. A job of a team above
	// its share waits longer. Holds also serve large tasks that are no gangs: like gangs, they starve
	// when small tasks of other teams take all capacity that becomes free.
	ShouldHold(job domain.JobID, held domain.Resources) bool
	// Preemptible reports whether the team runs more than its share, so that urgent work
	// of other teams may preempt its tasks.
	Preemptible(team domain.TeamID) bool
}
