// Package policy decides which waiting job is considered next: priority
// classes first, then the team that is furthest below its weighted dominant
// share, then age, with aging against starvation. It has no I/O and no clock.
package policy

import (
	"time"

	"auburnpier/internal/domain"
)

// Weights tells how much each measure counts. Deployments set them.
type Weights struct {
	// Share weighs nearness of each team to its share.
	Share float64 `json:"share"`
	// Waiting weighs the time that a job has waited. Teams whose ratios of
	// running to share differ by less than Waiting/Share are ordered by the
	// age of their oldest job. Zero compares shares alone; a zero Share
	// compares ages alone.
	Waiting float64 `json:"waiting"`
	// Packing weighs full workers against even spreading in placement scores.
	Packing float64 `json:"packing"`
}

// Team is what the policy knows of a team.
type Team struct {
	ID domain.TeamID
	// Share is the weight when the fleet is full. It is above zero.
	Share float64
	// Limit is the most that the partition may run for the team.
	Limit domain.Resources
}

// Item is one waiting job.
type Item struct {
	Job      domain.JobID
	Team     domain.TeamID
	Kind     domain.JobKind
	Priority domain.Priority
	// Size is the reservation of one task.
	Size domain.Resources
	// Tasks is the number of tasks that wait. A gang is considered whole.
	Tasks    int
	Enqueued time.Time
	// Constraint names what else restricts where the tasks run, such as their
	// zones and the workers that they avoid. Where one job found no room,
	// jobs of the same constraint that need at least as much are not offered
	// in that round. Jobs with different restrictions need different names. A
	// job that holds room finds room where others find none, so it needs a
	// name of its own, and so do jobs that may backfill.
	Constraint string
}

// WaitReason is the stable name of why the queue passes over a job.
type WaitReason string

// Reasons why a job waits.
const (
	WaitTeamLimit WaitReason = "team_limit"
	WaitNoRoom    WaitReason = "no_room"
	WaitBehind    WaitReason = "behind_other_teams"
	WaitRestarts  WaitReason = "restart_rate"
)

// Queue orders waiting jobs. Implementations are not safe for concurrent use.
// The order of calls alone determines every answer.
type Queue interface {
	// SetTeams replaces the teams. Jobs of a missing team are never offered.
	SetTeams(teams []Team)
	// SetTotal sets the capacity that dominant shares are measured against.
	SetTotal(total domain.Resources)
	// SetOutside sets what a team runs in other partitions, for nearness to share over the fleet.
	SetOutside(team domain.TeamID, running domain.Resources)
	// Push adds a job or replaces it.
	Push(item Item)
	// Remove forgets a job.
	Remove(job domain.JobID)
	// Len returns the number of waiting jobs.
	Len() int
	// Charge counts size as running for the team; Refund takes it back.
	Charge(team domain.TeamID, size domain.Resources)
	Refund(team domain.TeamID, size domain.Resources)
	// Running returns what the team has running here.
	Running(team domain.TeamID) domain.Resources
	// Begin starts a round of decisions at now. Jobs that were passed over are offered again.
	Begin(now time.Time)
	// Next returns the job to consider now, or false when the round is over. The
	// team has room for at least one task of it (all tasks for a gang) below its limit.
	Next() (Item, bool)
	// Pass leaves the job that Next returned out of the rest of the round.
	Pass(job domain.JobID, reason WaitReason)
	// Why returns why the job was passed over in the last round, or WaitBehind.
	Why(job domain.JobID) WaitReason
	// MayHold reports whether workers should be held for the job, which found no room: it has
	// waited for the reservation delay, and its team runs less than its share, counting held,
	// what is held for its jobs already. What teams without waiting jobs leave unused adds to the
	// shares of the others here. A job of a team above its share waits longer. Large
	// tasks starve as gangs do where small tasks of other teams take all that frees up.
	MayHold(job domain.JobID, held domain.Resources) bool
	// Preemptible reports whether the team runs above its share, so that
	// urgent work of other teams may preempt it.
	Preemptible(team domain.TeamID) bool
}
