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

// preempt makes room for n tasks of an urgent job that found none; a gang claims
// room for all members or for none. Victims are checkpointable batch attempts of
// other teams above their share.
func (m *Machine) preempt(j *job, size domain.Resources, n int, miss error) {
	var none *placement.NoFitError
	if !j.urgent() || !errors.As(miss, &none) || none.NeverFits || m.now < j.preemptAfterMS {
		return
	}
	j.preemptAfterMS = m.now + preemptionPauseMS
	p := m.preemptions[j.ID]
	if p == nil {
		p = &preemption{size: size, untilMS: m.now + m.cfg.PreemptionHold.Milliseconds()}
	}
	var s *search
	if j.isGang() {
		s = m.searchGang(j, size, n-len(p.claims))
	} else {
		s = m.newSearch(j, size, j.Spec.Zones)
		s.claim(min(n, maxClaims) - len(p.claims))
	}
	if s == nil || len(s.claims) == 0 {
		return
	}
	m.dropHold(j.ID)
	p.claims = append(p.claims, s.claims...)
	m.preemptions[j.ID] = p
	m.preemptAll(s.victims)
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
			m.index.HoldCapacity(id, p.size, p.claims)
		}
	}
}

// claimUsed drops a claim of an urgent job of which a task was placed on the worker.
func (m *Machine) claimUsed(j *job, id domain.WorkerID) {
	p := m.preemptions[j.ID]
	if p == nil {
		return
	}
	if j.isGang() {
		m.dropPreemption(j.ID)
		return
	}
	at := max(slices.Index(p.claims, id), 0)
	p.claims = slices.Delete(p.claims, at, at+1)
	m.index.ReleaseHold(j.ID)
	m.holdClaims()
}

func (m *Machine) preemptAll(victims []*attempt) {
	for _, a := range victims {
		m.stats.Preemptions++
		m.requestEnd(a, CausePreempted)
	}
}

// search collects claims and victims for one urgent job. It ends nothing.
type search struct {
	m       *Machine
	j       *job
	size    domain.Resources
	zones   []domain.ZoneID
	claims  []domain.WorkerID
	victims []*attempt
	chosen  map[*attempt]bool
	// claimed is the room claimed on each worker, taken what ends of each team.
	claimed map[domain.WorkerID]domain.Resources
	taken   map[domain.TeamID]domain.Resources
}

func (m *Machine) newSearch(j *job, size domain.Resources, zones []domain.ZoneID) *search {
	return &search{
		m: m, j: j, size: size, zones: zones,
		chosen: make(map[*attempt]bool), claimed: m.claimed(), taken: m.ending(),
	}
}

// searchGang returns the search with the fewest victims that claims room for n
// members, in one availability zone unless the gang may cross them, or nil.
func (m *Machine) searchGang(j *job, size domain.Resources, n int) *search {
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
	var best *search
	for _, zones := range choices {
		s := m.newSearch(j, size, zones)
		s.claim(n)
		if len(s.claims) == n && (best == nil || len(s.victims) < len(best.victims)) {
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

// claim claims room for up to n tasks.
func (s *search) claim(n int) {
	for range n {
		w, victims := s.cheapestWorker()
		if w == nil {
			return
		}
		s.claims = append(s.claims, w.id)
		s.claimed[w.id] = s.claimed[w.id].Add(s.size)
		for _, a := range victims {
			s.chosen[a] = true
			s.victims = append(s.victims, a)
			s.taken[a.j.Team] = s.taken[a.j.Team].Add(a.Reservation)
		}
	}
}

// cheapestWorker returns the worker that takes one more task after the fewest victims end.
func (s *search) cheapestWorker() (*worker, []*attempt) {
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

// victimsOn returns the newest preemptible attempts of the worker whose end makes
// room for one more task. Each belongs to a team that is above its share without those before it.
func (s *search) victimsOn(w *worker) ([]*attempt, bool) {
	need := s.claimed[w.id].Add(s.size)
	free, ok := s.m.index.Free(w.id)
	if !ok || !need.Fits(w.capacity) {
		return nil, false
	}
	list, free, most := s.candidates(w, free)
	if !need.Fits(most) {
		return nil, false
	}
	slices.SortFunc(list, func(a, b *attempt) int { return -compareAttempts(a, b) })
	var victims []*attempt
	here := make(map[domain.TeamID]domain.Resources)
	for _, a := range list {
		if need.Fits(free) {
			break
		}
		team := a.j.Team
		if !s.m.aboveShare(team, s.taken[team].Add(here[team])) {
			continue
		}
		here[team] = here[team].Add(a.Reservation)
		free = free.Add(a.Reservation)
		victims = append(victims, a)
	}
	return victims, need.Fits(free)
}

// candidates returns the attempts that may be victims, the room once what ends
// already has ended, and the room without all candidates.
func (s *search) candidates(w *worker, free domain.Resources) (list []*attempt, room, most domain.Resources) {
	most = free
	for _, a := range w.attempts {
		switch {
		case a.cause != CauseNone || s.chosen[a]:
			free = free.Add(a.Reservation)
		case preemptible(a, s.j.Team):
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

func (m *Machine) dropPreemption(id domain.JobID) {
	if _, ok := m.preemptions[id]; !ok {
		return
	}
	delete(m.preemptions, id)
	m.index.ReleaseHold(id)
	m.holdClaims()
	m.dirty = true
}
