package jobs

import (
	"cmp"
	"math"
	"slices"

	"auburnpier/internal/core/runtimes"
	"auburnpier/internal/domain"
)

// Parameters of worker speeds.
const (
	// speedLevelRatio is the ratio of speeds from which on workers are of different levels. Speeds are known to about 10 %.
	speedLevelRatio = 1.25
	// maxTimings bounds the tasks of a step that are compared with each other at once.
	maxTimings = 32
	// minTimedPercent is the progress from which on a run is compared with others by its progress, before its end. The rest of its duration
	// adds little.
	minTimedPercent = 50
	// urgentSpeedWeight and deferrableSpeedWeight weigh the speed of a worker in the placement of steps that would miss their objective if they
	// waited, and of others, which leave fast workers to them.
	urgentSpeedWeight     = 2.0
	deferrableSpeedWeight = 0.5
	// lateCost is the cost of a worker on which the job would miss its objective. It outweighs the other costs of speed.
	lateCost = 3.0
)

// timing is the duration of a task on a worker. It takes 16 B, a runtimes.Timing 56 B: with those, a step of maxTimings tasks took 3,809 B of the 2,625 B
// that are counted for it (TestCountedMemoryCoversObservations).
type timing struct {
	w  *worker
	ms int64
}

func (w *worker) group() runtimes.Group {
	g := runtimes.Group{Rack: w.rack}
	if len(w.labels) > 0 {
		g.Kind = w.labels[0]
	}
	return g
}

// updateSpeeds sets the speeds of the workers to what is known of them.
func (m *Machine) updateSpeeds() {
	if !m.cfg.Features.WorkerSpeeds || !m.learned.RefreshDue(m.nowMS) {
		return
	}
	for _, w := range m.sortedWorkers {
		m.learned.SetPresent(w.id, w.group(), m.nowMS)
	}
	m.learned.Refresh(m.nowMS)
	for _, w := range m.sortedWorkers {
		w.speed, _ = m.learned.Speed(w.id, w.group())
		w.speedLevel = int(math.Round(math.Log(w.speed) / math.Log(speedLevelRatio)))
	}
}

// runSpeed returns the speed of the run's worker, or of the slowest one of its gang.
func (m *Machine) runSpeed(r *run) float64 {
	speed := r.worker.speed
	if s := r.task.step; s.spec.Gang {
		for _, t := range s.active {
			for _, other := range t.runs {
				speed = min(speed, other.worker.speed)
			}
		}
	}
	return speed
}

// comparesTimings reports whether the durations of the step's tasks tell of the speeds of their workers.
func (m *Machine) comparesTimings(s *step) bool {
	return m.cfg.Features.WorkerSpeeds && s.spec.Tasks > 1 && !s.spec.Gang && !s.spec.LongRunning && !s.spec.BestEffort
}

// timeRun notes the duration of a run that has succeeded.
func (m *Machine) timeRun(r *run) {
	if r.timed || r.slowed || !m.comparesTimings(r.task.step) {
		return
	}
	if ms, known := m.wholeMS(r); known {
		m.addTiming(r, ms)
	}
}

// timeProgress notes the duration of a run by its progress, once that is enough.
func (m *Machine) timeProgress(r *run) {
	if r.timed || r.slowed || r.percent < minTimedPercent || !m.comparesTimings(r.task.step) {
		return
	}
	if r.percent-r.firstPercent < minTimedPercent/2 {
		return
	}
	if ms, known := r.shownMS(); known {
		m.addTiming(r, ms)
	}
}

func (m *Machine) addTiming(r *run, ms int64) {
	s := r.task.step
	r.timed = true
	s.timings = append(s.timings, timing{r.worker, ms})
	if len(s.timings) >= min(maxTimings, s.spec.Tasks) {
		m.compareTimings(s)
	}
}

// compareTimings adds the durations of tasks of the step to what is known of the speeds of their workers.
func (m *Machine) compareTimings(s *step) {
	if len(s.timings) == 0 {
		return
	}
	list := make([]runtimes.Timing, len(s.timings))
	for i, t := range s.timings {
		list[i] = runtimes.Timing{Worker: t.w.id, Group: t.w.group(), TookMS: t.ms}
	}
	m.learned.RecordStep(list, m.nowMS)
	s.timings = nil
}

// speedCost is the part of the placement cost that prefers fast workers.
func (m *Machine) speedCost(s *step, w *worker) float64 {
	if !m.cfg.Features.WorkerSpeeds {
		return slownessCost * w.slowness
	}
	if s.tier != tierUrgent {
		return deferrableSpeedWeight / w.speed
	}
	c := urgentSpeedWeight / w.speed
	if m.nowMS+int64(float64(s.estimateMS)/w.speed)+s.restMS > s.occurrence.deadlineMS {
		c += lateCost
	}
	return c
}

// preferredSpeed returns the speed level of the worker for steps that are best placed on fast workers, and else zero.
func (m *Machine) preferredSpeed(s *step, w *worker) int {
	if w.slow != nil && s.avoidsSlow() {
		return avoidedSpeedLevel
	}
	if s.tier != tierUrgent {
		return 0
	}
	return w.speedLevel
}

// likeSpeeds returns the slots for a gang with room for so many members, which runs at the speed of its slowest one: the slots of the highest speed
// level from which on there is room, the slowest first, so that no faster worker is wasted beside them. Slots of a level stay in their order.
// Slots of doubted workers and those that others hold are used only if there is no room without them.
func likeSpeeds(slots []gangSlot, members int) []gangSlot {
	avoided := func(slot gangSlot) bool { return slot.cost >= brokenHoldCost }
	bySpeed := slices.Clone(slots)
	slices.SortStableFunc(bySpeed, func(a, b gangSlot) int {
		return cmp.Or(domain.CompareBools(avoided(a), avoided(b)), cmp.Compare(b.w.speedLevel, a.w.speedLevel))
	})
	room, n := 0, 0
	for ; n < len(bySpeed) && room < members; n++ {
		room += bySpeed[n].count
	}
	last := bySpeed[n-1]
	for n < len(bySpeed) && avoided(bySpeed[n]) == avoided(last) && bySpeed[n].w.speedLevel == last.w.speedLevel {
		n++
	}
	like := bySpeed[:n]
	slices.SortStableFunc(like, func(a, b gangSlot) int {
		return cmp.Or(domain.CompareBools(avoided(a), avoided(b)), cmp.Compare(a.w.speedLevel, b.w.speedLevel))
	})
	return like
}

// meanSpeedLevel returns the mean speed level of the workers, rounded. It is zero unless speeds are learned.
func (m *Machine) meanSpeedLevel(workers []*worker) int {
	if !m.cfg.Features.WorkerSpeeds {
		return 0
	}
	sum := 0
	for _, w := range workers {
		sum += w.speedLevel
	}
	return int(math.Round(float64(sum) / float64(len(workers))))
}

// WorkerSpeed returns the speed that placement assumes of a worker, 1 if it is not known.
func (m *Machine) WorkerSpeed(id domain.WorkerID) float64 {
	if w, ok := m.workers[id]; ok {
		return w.speed
	}
	return 1
}
