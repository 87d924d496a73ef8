package jobs

import "slices"

// UnaccountedTasks returns the tasks of open steps that are neither running, nor waiting in a listed
// ready step, nor done. There should be none: such a task would never be started again.
func (m *Machine) UnaccountedTasks() []TaskID {
	ready := make(map[*step]bool, len(m.ready))
	for _, s := range m.ready {
		ready[s] = true
	}
	var lost []TaskID
	for _, j := range m.jobs {
		if j.state.Terminal() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.open > 0 && o.dependenciesMet(s) {
					lost = append(lost, m.unaccountedInStep(s, ready[s] && s.ready)...)
				}
			}
		}
	}
	slices.SortFunc(lost, compareTasks)
	return lost
}

func (m *Machine) unaccountedInStep(s *step, ready bool) []TaskID {
	var lost []TaskID
	waiting, open := 0, 0
	s.eachWaiting(func(index int, t *task) bool {
		waiting++
		open++
		if !ready || t != nil && len(t.runs) > 0 {
			lost = append(lost, TaskID{s.job.id, s.occurrence.number, s.number, index})
		}
		return true
	})
	for _, t := range s.active {
		if t.phase == taskActive {
			open++
			if !m.hasLiveRun(t) {
				lost = append(lost, t.id())
			}
		}
	}
	if (waiting != s.waiting || open != s.open) && len(lost) == 0 {
		lost = append(lost, TaskID{s.job.id, s.occurrence.number, s.number, 0})
	}
	return lost
}

// hasLiveRun reports whether the task has runs and each is tracked by its worker, whose reports
// or lease expiry will end it.
func (m *Machine) hasLiveRun(t *task) bool {
	for _, r := range t.runs {
		if m.workers[r.worker.id] != r.worker || r.worker.runs[t.id()] != r {
			return false
		}
	}
	return len(t.runs) > 0
}
