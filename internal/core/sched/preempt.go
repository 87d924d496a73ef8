package sched

import (
	"errors"
	"slices"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// maxPreemptionTasks bounds the tasks for which one urgent job preempts other work at a time.
const maxPreemptionTasks = 8

// preemptionSearchIntervalMS is the minimum time between two searches of one job for
// victims: an unsuccessful search examines every attempt.
const preemptionSearchIntervalMS = 500

// preemption is the capacity that an urgent job waits for while victims end.
type preemption struct {
	// targets has one entry, the target worker, for each task that waits for capacity.
	targets []domain.WorkerID
	size    domain.Resources
	untilMS int64
}

// preempt frees capacity for n tasks of an urgent job that found none; a gang gets target
// workers for all members or for none. Victims are checkpointable batch attempts of
// other teams that are above their share.
func (m *Machine) preempt(j *job, size domain.Resources, n int, miss error) {
	var none *placement.NoFitError
	if !j.urgent() || !errors.As(miss, &none) || none.NeverFits || m.nowMS < j.preemptAfterMS {
		return
	}
	j.preemptAfterMS = m.nowMS + preemptionSearchIntervalMS
	p := m.preemptions[j.ID]
	if p == nil {
		p = &preemption{size: size, untilMS: m.nowMS + m.cfg.PreemptionHold.Milliseconds()}
	}
	var s *victimSearch
	if j.isGang() {
		s = m.searchGangVictims(j, size, n-len(p.targets))
	} else {
		s = m.newVictimSearch(j, size, j.Spec.Zones)
		s.addTargets(min(n, maxPreemptionTasks) - len(p.targets))
	}
	if s == nil || len(s.targets) == 0 {
		return
	}
	m.dropHold(j.ID)
	p.targets = append(p.targets, s.targets...)
	m.preemptions[j.ID] = p
	m.preemptAll(s.victims)
	m.holdTargets()
}

// endingByTeam returns the resources of each team's attempts that have already been asked to end.
func (m *Machine) endingByTeam() map[domain.TeamID]domain.Resources {
	sum := make(map[domain.TeamID]domain.Resources)
	for _, a := range m.stopping {
		if m.attempts[a.ID] == a {
			sum[a.j.Team] = sum[a.j.Team].Add(a.Reservation)
		}
	}
	return sum
}

// aboveShare reports whether the team stays above its share without the resources that it is
// already giving up.
func (m *Machine) aboveShare(id domain.TeamID, ending domain.Resources) bool {
	m.queue.Refund(id, ending)
	above := m.queue.Preemptible(id)
	m.queue.Charge(id, ending)
	return above
}

// targetedCapacity returns the capacity that urgent jobs wait for on each worker.
func (m *Machine) targetedCapacity() map[domain.WorkerID]domain.Resources {
	targeted := make(map[domain.WorkerID]domain.Resources)
	for _, p := range m.preemptions {
		for _, id := range p.targets {
			targeted[id] = targeted[id].Add(p.size)
		}
	}
	return targeted
}

// holdTargets keeps other work off the capacity that urgent jobs wait for. If two of
// them wait for the same worker, the hold of the first covers both.
func (m *Machine) holdTargets() {
	for _, id := range sortedKeys(m.preemptions) {
		if p := m.preemptions[id]; len(p.targets) == 0 {
			delete(m.preemptions, id)
		} else {
			m.index.HoldCapacity(id, p.size, p.targets)
		}
	}
}

// consumeTarget removes a target of an urgent job after one of its tasks was placed on the worker.
func (m *Machine) consumeTarget(j *job, id domain.WorkerID) {
	p := m.preemptions[j.ID]
	if p == nil {
		return
	}
	if j.isGang() {
		m.dropPreemption(j.ID)
		return
	}
	at := max(slices.Index(p.targets, id), 0)
	p.targets = slices.Delete(p.targets, at, at+1)
	m.index.ReleaseHold(j.ID)
	m.holdTargets()
}

func (m *Machine) preemptAll(victims []*attempt) {
	for _, a := range victims {
		m.stats.Preemptions++
		m.requestEnd(a, CausePreempted)
	}
}

// victimSearch collects target workers and victims for one urgent job. It stops no attempts.
type victimSearch struct {
	m       *Machine
	j       *job
	size    domain.Resources
	zones   []domain.ZoneID
	targets []domain.WorkerID
	victims []*attempt
	chosen  map[*attempt]bool
	// targeted is the capacity that is waited for on each worker; ending is what each team
	// has been asked, or is chosen, to give up.
	targeted map[domain.WorkerID]domain.Resources
	ending   map[domain.TeamID]domain.Resources
}

func (m *Machine) newVictimSearch(j *job, size domain.Resources, zones []domain.ZoneID) *victimSearch {
	return &victimSearch{
		m: m, j: j, size: size, zones: zones,
		chosen: make(map[*attempt]bool), targeted: m.targetedCapacity(), ending: m.endingByTeam(),
	}
}

// searchGangVictims returns the search with the fewest victims that finds targets for n members,
// in one availability zone unless the gang may span zones, or nil.
func (m *Machine) searchGangVictims(j *job, size domain.Resources, n int) *victimSearch {
	if n <= 0 {
		return nil
	}
	choices := [][]domain.ZoneID{j.Spec.Zones}
	if !j.Spec.SpanZones {
		choices = nil
		for _, zone := range m.zones(j.Spec.Zones) {
			choices = append(choices, []domain.ZoneID{zone})
		}
	}
	var best *victimSearch
	for _, zones := range choices {
		s := m.newVictimSearch(j, size, zones)
		s.addTargets(n)
		if len(s.targets) == n && (best == nil || len(s.victims) < len(best.victims)) {
			best = s
		}
	}
	return best
}

// zones returns the availability zones of the workers that the list allows, in order.
func (m *Machine) zones(allowed []domain.ZoneID) []domain.ZoneID {
	set := make(map[domain.ZoneID]bool)
	for key := range m.racks {
		if inZones(key.zone, allowed) {
			set[key.zone] = true
		}
	}
	return sortedKeys(set)
}

// addTargets finds target workers and victims for up to n tasks.
func (s *victimSearch) addTargets(n int) {
	for range n {
		w, victims := s.cheapestWorker()
		if w == nil {
			return
		}
		s.targets = append(s.targets, w.id)
		s.targeted[w.id] = s.targeted[w.id].Add(s.size)
		for _, a := range victims {
			s.chosen[a] = true
			s.victims = append(s.victims, a)
			s.ending[a.j.Team] = s.ending[a.j.Team].Add(a.Reservation)
		}
	}
}

// cheapestWorker returns the worker that can take one more task after the fewest victims end.
func (s *victimSearch) cheapestWorker() (*worker, []*attempt) {
	var best *worker
	var bestVictims []*attempt
	for _, w := range s.m.workerOrder {
		if w.excluded != "" || !w.indexed || !inZones(w.location.Zone, s.zones) {
			continue
		}
		victims, ok := s.victimsOn(w)
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

// victimsOn returns the newest preemptible attempts of the worker whose end frees enough capacity
// for one more task. Each belongs to a team that is above its share even without the
// attempts chosen before it.
func (s *victimSearch) victimsOn(w *worker) ([]*attempt, bool) {
	need := s.targeted[w.id].Add(s.size)
	free, ok := s.m.index.Free(w.id)
	if !ok || !need.Fits(w.capacity) {
		return nil, false
	}
	list, free, maxFree := s.candidates(w, free)
	if !need.Fits(maxFree) {
		return nil, false
	}
	slices.SortFunc(list, func(a, b *attempt) int { return -compareAttempts(a, b) })
	var victims []*attempt
	chosenHere := make(map[domain.TeamID]domain.Resources)
	for _, a := range list {
		if need.Fits(free) {
			break
		}
		team := a.j.Team
		if !s.m.aboveShare(team, s.ending[team].Add(chosenHere[team])) {
			continue
		}
		chosenHere[team] = chosenHere[team].Add(a.Reservation)
		free = free.Add(a.Reservation)
		victims = append(victims, a)
	}
	return victims, need.Fits(free)
}

// candidates returns the attempts that may be victims, the capacity that is free once the
// attempts that are already ending have ended, and the capacity that is free if all
// candidates end as well.
func (s *victimSearch) candidates(w *worker, free domain.Resources) (list []*attempt, freeSoon, maxFree domain.Resources) {
	maxFree = free
	for _, a := range w.attempts {
		switch {
		case a.cause != CauseNone || s.chosen[a]:
			free = free.Add(a.Reservation)
		case preemptible(a, s.j.Team):
			list = append(list, a)
		default:
			continue
		}
		maxFree = maxFree.Add(a.Reservation)
	}
	return list, free, maxFree
}

// preemptible reports whether urgent work of the team may preempt the attempt, provided that the
// attempt's own team is above its share.
func preemptible(a *attempt, forTeam domain.TeamID) bool {
	j := a.j
	return j.Team != forTeam && !j.urgent() && j.Spec.Kind == domain.JobBatch && j.migratable()
}

func (m *Machine) dropPreemption(id domain.JobID) {
	if _, ok := m.preemptions[id]; !ok {
		return
	}
	delete(m.preemptions, id)
	m.index.ReleaseHold(id)
	m.holdTargets()
	m.needsRound = true
}
