package jobs

import (
	"cmp"
	"slices"

	"auburnpier/internal/domain"
)

// EvacuateZones replaces the set of availability zones that operators have evacuated. Their workers
// get no new work. Finite tasks that run there finish; long-running ones move as far as their
// disruption budget permits.
func (m *Machine) EvacuateZones(zones []domain.ZoneID) {
	next := make(map[domain.ZoneID]bool, len(zones))
	for _, z := range zones {
		next[z] = true
		if !m.evacuatedZones[z] {
			m.out.Decisions = append(m.out.Decisions, Decision{Kind: "zone_evacuated", Detail: string(z)})
		}
	}
	for z := range m.evacuatedZones {
		if !next[z] {
			m.out.Decisions = append(m.out.Decisions, Decision{Kind: "zone_returned", Detail: string(z)})
		}
	}
	m.evacuatedZones = next
	// Admission must not count on the former capacity.
	m.loads = nil
	for _, s := range m.ready {
		if m.holdsEvacuated(s) {
			m.releaseHold(s)
		}
	}
	m.needsPass = true
}

// holdsEvacuated reports whether the step holds capacity on a worker of an evacuated zone.
func (m *Machine) holdsEvacuated(s *step) bool {
	for w := range s.hold {
		if m.zoneEvacuated(w) {
			return true
		}
	}
	return false
}

func (m *Machine) zoneEvacuated(w *worker) bool { return m.evacuatedZones[w.zone] }

// PauseStarts keeps scheduling passes from starting tasks while paused is set. The caller pauses
// starts while it cannot confirm that it knows all evacuated zones.
func (m *Machine) PauseStarts(paused bool) {
	if m.startsPaused != paused {
		m.startsPaused = paused
		m.needsPass = true
	}
}

// leaveEvacuatedZone stops a long-running task in an evacuated zone if its disruption budget permits
// that and a worker elsewhere fits it, and reports whether it did.
func (m *Machine) leaveEvacuatedZone(r *run) bool {
	s := r.task.step
	if !s.spec.LongRunning || r.phase != runConfirmed || !m.mayDisrupt(s) || !m.fitsUsableWorker(s) {
		return false
	}
	m.stopRun(r, "zone is evacuated")
	return true
}

// fitsUsableWorker reports whether a worker that may get new work has room for a task of the step.
func (m *Machine) fitsUsableWorker(s *step) bool {
	return slices.ContainsFunc(m.sortedWorkers, func(w *worker) bool {
		return w.service == s.job.queue.Service && m.usable(w) && w.hasLabel(s.spec.Label) && s.spec.Reserved().Fits(w.free())
	})
}

// ZoneView shows an evacuated zone and what still runs there.
type ZoneView struct {
	Zone         domain.ZoneID `json:"zone"`
	Workers      int           `json:"workers"`
	RunningTasks int           `json:"running_tasks"`
}

func (m *Machine) evacuatedZoneViews() []ZoneView {
	var views []ZoneView
	for z := range m.evacuatedZones {
		v := ZoneView{Zone: z}
		for _, w := range m.sortedWorkers {
			if w.zone == z {
				v.Workers++
				v.RunningTasks += len(w.runs)
			}
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b ZoneView) int { return cmp.Compare(a.Zone, b.Zone) })
	return views
}
