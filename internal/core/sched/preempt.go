package sched

import (
	"errors"
	"slices"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// maxClaims bounds the tasks that one urgent job preempts for at a time.
const maxClaims = 8

// preemptionPauseMS is the least time between two searches for victims by one
// job: a search without result looks at every attempt.
const preemptionPauseMS = 500

// preemption is the room that an urgent job waits for.
type preemption struct {
	// claims names a worker for each task that waits for room there.
	claims  []domain.WorkerID
	size    domain.Resources
	untilMS int64
}

// preempt makes room for the tasks of an urgent job that found none. Victims are
// checkpointable batch attempts of other teams above their share.
func (m *Machine) preempt(j *job, size domain.Resources, miss error) {
	var none *placement.NoFitError
	if !j.urgent() || !errors.As(miss, &none) || none.Never || m.now < j.preemptAfterMS {
		return
	}
	j.preemptAfterMS = m.now + preemptionPauseMS
	p := m.preemptions[j.ID]
	if p == nil {
		p = &preemption{size: size, untilMS: m.now + m.cfg.PreemptionHold.Milliseconds()}
		m.preemptions[j.ID] = p
	}
	claimed := m.claimed()
	taken := m.ending()
	for len(p.claims) < min(j.waiting(), maxClaims) {
		w, victims := m.cheapestWorker(j, size, claimed, taken)
		if w == nil {
			break
		}
		p.claims = append(p.claims, w.id)
		claimed[w.id] = claimed[w.id].Add(size)
		m.preemptAll(victims, taken)
	}
	m.holdClaims()
}

// ending returns what each team has running that was already asked to end.
func (m *Machine) ending() map[domain.TeamID]domain.Resources {
	sum := make(map[domain.TeamID]domain.Resources)
	for _, a := range m.stopping {
		if m.attempts[a.ID] == a {
			sum[a.j.Team] = sum[a.j.Team].Add(a.Reservation)
		}
	}
	return sum
}

// aboveShare reports whether the team stays above its share without what ends already.
func (m *Machine) aboveShare(id domain.TeamID, ending domain.Resources) bool {
	m.queue.Refund(id, ending)
	above := m.queue.Preemptible(id)
	m.queue.Charge(id, ending)
	return above
}

// claimed returns what urgent jobs wait for on each worker.
func (m *Machine) claimed() map[domain.WorkerID]domain.Resources {
	claimed := make(map[domain.WorkerID]domain.Resources)
	for _, p := range m.preemptions {
		for _, id := range p.claims {
			claimed[id] = claimed[id].Add(p.size)
		}
	}
	return claimed
}

// holdClaims keeps other work off the room that urgent jobs wait for. Where two
// of them wait on a worker, the hold of the first covers both.
func (m *Machine) holdClaims() {
	for _, id := range sortedKeys(m.preemptions) {
		if p := m.preemptions[id]; len(p.claims) == 0 {
			delete(m.preemptions, id)
		} else {
			m.index.HoldRoom(id, p.size, p.claims)
		}
	}
}

// claimUsed drops a claim of an urgent job of which a task was placed on the worker.
func (m *Machine) claimUsed(j *job, id domain.WorkerID) {
	p := m.preemptions[j.ID]
	if p == nil {
		return
	}
	at := max(slices.Index(p.claims, id), 0)
	p.claims = slices.Delete(p.claims, at, at+1)
	m.index.Unhold(j.ID)
	m.holdClaims()
}

// preemptAll ends the victims and adds them to what was taken from their teams.
func (m *Machine) preemptAll(victims []*attempt, taken map[domain.TeamID]domain.Resources) {
	for _, a := range victims {
		if a.cause != CauseNone {
			continue
		}
		m.stats.Preemptions++
		taken[a.j.Team] = taken[a.j.Team].Add(a.Reservation)
		m.requestEnd(a, CausePreempted)
	}
}

// cheapestWorker returns the worker that takes the task after the fewest victims end.
func (m *Machine) cheapestWorker(j *job, size domain.Resources, claimed map[domain.WorkerID]domain.Resources,
	taken map[domain.TeamID]domain.Resources) (*worker, []*attempt) {
	var best *worker
	var bestVictims []*attempt
	for _, w := range m.workerOrder {
		if w.excluded != "" || !w.indexed || !inZones(w.location.Zone, j.Spec.Zones) {
			continue
		}
		victims, ok := m.victims(w, j.Team, size.Add(claimed[w.id]), taken)
		if ok && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = w, victims
		}
		if best != nil && len(bestVictims) <= 1 {
			break
		}
	}
	return best, bestVictims
}

func inZones(zone domain.ZoneID, zones []domain.ZoneID) bool {
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// victims returns the newest preemptible attempts of the worker whose end makes
// room for size. Each belongs to a team that is above its share without those before it.
func (m *Machine) victims(w *worker, forTeam domain.TeamID, size domain.Resources,
	taken map[domain.TeamID]domain.Resources) ([]*attempt, bool) {
	free, ok := m.index.Free(w.id)
	if !ok || !size.Fits(w.capacity) {
		return nil, false
	}
	list, free, most := candidates(w, forTeam, free)
	if !size.Fits(most) {
		return nil, false
	}
	slices.SortFunc(list, func(a, b *attempt) int { return -compareAttempts(a, b) })
	var chosen []*attempt
	here := make(map[domain.TeamID]domain.Resources)
	for _, a := range list {
		if size.Fits(free) {
			break
		}
		team := a.j.Team
		if !m.aboveShare(team, taken[team].Add(here[team])) {
			continue
		}
		here[team] = here[team].Add(a.Reservation)
		free = free.Add(a.Reservation)
		chosen = append(chosen, a)
	}
	return chosen, size.Fits(free)
}

// candidates returns the attempts that may be victims, the room once what ends
// already has ended, and the room without all candidates.
func candidates(w *worker, forTeam domain.TeamID, free domain.Resources) (list []*attempt, room, most domain.Resources) {
	most = free
	for _, a := range w.attempts {
		switch {
		case a.cause != CauseNone:
			free = free.Add(a.Reservation)
		case preemptible(a, forTeam):
			list = append(list, a)
		default:
			continue
		}
		most = most.Add(a.Reservation)
	}
	return list, free, most
}

// preemptible reports whether urgent work of the team may end the attempt where its own team is above its share.
func preemptible(a *attempt, forTeam domain.TeamID) bool {
	j := a.j
	return j.Team != forTeam && !j.urgent() && j.Spec.Kind == domain.JobBatch && j.movable()
}

// preemptForGang makes room for an urgent gang on the workers that it holds.
func (m *Machine) preemptForGang(j *job, size domain.Resources) {
	members := make(map[domain.WorkerID]int64)
	for _, id := range m.gangHold.workers {
		members[id]++
	}
	taken := m.ending()
	var all []*attempt
	for _, id := range sortedKeys(members) {
		victims, ok := m.victims(m.worker(id), j.Team, size.Scale(members[id]), taken)
		if !ok {
			return
		}
		all = append(all, victims...)
	}
	m.preemptAll(all, taken)
}

func (m *Machine) dropPreemption(id domain.JobID) {
	if _, ok := m.preemptions[id]; !ok {
		return
	}
	delete(m.preemptions, id)
	m.index.Unhold(id)
	m.holdClaims()
	m.dirty = true
}
