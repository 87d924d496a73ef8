package sched

import (
	"cmp"
	"errors"
	"slices"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// maxPreemptionWorkers bounds the workers that one urgent job preempts on at a time.
const maxPreemptionWorkers = 8

// preemption is the room that an urgent job waits for.
type preemption struct {
	workers []domain.WorkerID
	untilMS int64
}

// preempt makes room for one task of an urgent job that found none. Victims are
// checkpointable batch attempts of other teams above their share.
func (m *Machine) preempt(j *job, size domain.Resources, miss error) {
	var none *placement.NoFitError
	if !j.urgent() || !errors.As(miss, &none) || none.Never {
		return
	}
	p := m.preemptions[j.ID]
	want := min(j.waiting(), maxPreemptionWorkers)
	if p != nil && len(p.workers) >= want {
		return
	}
	if p == nil {
		p = &preemption{untilMS: m.now + m.cfg.PreemptionHold.Milliseconds()}
	}
	for len(p.workers) < want {
		w, victims := m.cheapestWorker(j, size, p.workers)
		if w == nil {
			break
		}
		p.workers = append(p.workers, w.id)
		m.preemptAll(victims)
	}
	if len(p.workers) == 0 {
		return
	}
	m.preemptions[j.ID] = p
	m.index.Hold(j.ID, p.workers)
}

func (m *Machine) preemptAll(victims []*attempt) {
	for _, a := range victims {
		if a.cause != CauseNone {
			continue
		}
		m.stats.Preemptions++
		m.requestEnd(a, CausePreempted)
	}
}

// cheapestWorker returns the worker that takes the task after the fewest victims end.
func (m *Machine) cheapestWorker(j *job, size domain.Resources, except []domain.WorkerID) (*worker, []*attempt) {
	var best *worker
	var bestVictims []*attempt
	above := make(map[domain.TeamID]bool)
	for _, w := range m.workerOrder {
		if w.excluded != "" || !w.indexed || !inZones(w.location.Zone, j.Spec.Zones) || slices.Contains(except, w.id) {
			continue
		}
		if best != nil && len(bestVictims) == 1 {
			break
		}
		victims, ok := m.victims(w, j.Team, size, above)
		if ok && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = w, victims
		}
	}
	return best, bestVictims
}

func inZones(zone domain.ZoneID, zones []domain.ZoneID) bool {
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// victims returns the newest preemptible attempts of the worker whose end makes room for size.
func (m *Machine) victims(w *worker, forTeam domain.TeamID, size domain.Resources, above map[domain.TeamID]bool) ([]*attempt, bool) {
	free, ok := m.index.Free(w.id)
	if !ok || !size.Fits(w.capacity) {
		return nil, false
	}
	var list []*attempt
	for _, a := range w.attempts {
		switch {
		case a.cause != CauseNone:
			// It ends already; its room is on the way.
			free = free.Add(a.Reservation)
		case m.preemptible(a, forTeam, above):
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int { return -compareAttempts(a, b) })
	n := 0
	for ; n < len(list) && !size.Fits(free); n++ {
		free = free.Add(list[n].Reservation)
	}
	return list[:n], size.Fits(free)
}

// preemptible reports whether urgent work of a team may end the attempt. The
// answers about teams are kept in above for the search.
func (m *Machine) preemptible(a *attempt, forTeam domain.TeamID, above map[domain.TeamID]bool) bool {
	j := a.j
	if j.Team == forTeam || j.urgent() || j.Spec.Kind != domain.JobBatch || !j.movable() {
		return false
	}
	answer, asked := above[j.Team]
	if !asked {
		answer = m.queue.Preemptible(j.Team)
		above[j.Team] = answer
	}
	return answer
}

// preemptForGang makes room for an urgent gang on the workers that it holds.
func (m *Machine) preemptForGang(j *job, size domain.Resources, n int) {
	type choice struct {
		victims []*attempt
	}
	above := make(map[domain.TeamID]bool)
	var choices []choice
	for _, id := range m.gangHold.workers {
		w := m.worker(id)
		// A worker may take several members; each further one needs more victims.
		for k := int64(1); ; k++ {
			victims, ok := m.victims(w, j.Team, size.Scale(k), above)
			if !ok {
				break
			}
			choices = append(choices, choice{victims})
			if len(choices) >= 4*n {
				break
			}
		}
	}
	if len(choices) < n {
		return
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(len(a.victims), len(b.victims)) })
	for _, c := range choices[:n] {
		m.preemptAll(c.victims)
	}
}

func (m *Machine) dropPreemption(id domain.JobID) {
	if _, ok := m.preemptions[id]; !ok {
		return
	}
	delete(m.preemptions, id)
	m.index.Unhold(id)
	m.dirty = true
}
