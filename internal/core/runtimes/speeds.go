package runtimes

import (
	"cmp"
	"math"

	"auburnpier/internal/domain"
)

// Parameters of the learned speeds.
const (
	// minSpeed and maxSpeed bound the speed of a worker.
	minSpeed = 0.2
	maxSpeed = 5
	// maxSpeedWeight bounds the weight of earlier runs. The speed of a worker is known to 0.3 / sqrt(weight).
	maxSpeedWeight = 20
	// speedPrior is the weight of the assumption that a worker is as fast as the others of its group: the variance of the durations within
	// a step by that of the speeds.
	speedPrior = 1.5
	// knownWeight is the weight from which on a worker's speed counts as known.
	knownWeight = 2
	// minGroupWorkers is the number of observed workers from which on a group tells of its other ones.
	minGroupWorkers = 3
	// groupIntervalMS is the time between two computations of the speeds of groups.
	groupIntervalMS = 1000
	maxWorkers      = 4096
	// absentMS is how long the speed of a worker is kept that is gone. It may come back under its ID.
	absentMS = 60_000
)

// WorkerKey names a worker.
type WorkerKey = domain.WorkerID

// Group names workers that may be equally fast: their kind, which is their first label, and their rack.
type Group struct {
	Kind string
	Rack domain.RackID
}

// workerSpeed is the mean logarithm of the speed in runs of a worker.
type workerSpeed struct {
	weight, log float64
	group       Group
	usedMS      int64
}

// Timing is the duration of a task on a worker.
type Timing struct {
	Worker WorkerKey
	Group  Group
	TookMS int64
}

// groups are the mean speeds of groups of workers.
type groups struct {
	atMS  int64
	kinds map[string]float64
	racks map[domain.RackID]float64
	// kindShare and rackShare are the shares of the variance between workers that the groups explain.
	kindShare, rackShare float64
	// center is the mean logarithm of all workers' speeds.
	center float64
}

// RecordStep adds the durations of tasks of one step. Each is compared with those on the other workers, after these are corrected by their speeds.
func (m *Model) RecordStep(timings []Timing, nowMS int64) {
	if len(timings) < 2 {
		return
	}
	sum := 0.0
	atMean := make([]float64, len(timings))
	for i, t := range timings {
		atMean[i] = math.Log(float64(max(1, t.TookMS))) + m.logSpeed(t.Worker, t.Group)
		sum += atMean[i]
	}
	onWorker := make(map[WorkerKey]timingSum, len(timings))
	for i, t := range timings {
		s := onWorker[t.Worker]
		onWorker[t.Worker] = timingSum{s.n + 1, s.log + atMean[i]}
	}
	observed := make([]float64, len(timings))
	weights := make([]float64, len(timings))
	for i, t := range timings {
		own := onWorker[t.Worker]
		others := float64(len(timings)) - own.n
		if others == 0 {
			return
		}
		observed[i] = (sum-own.log)/others - math.Log(float64(max(1, t.TookMS)))
		weights[i] = others / (others + 1)
	}
	m.changes++
	for i, t := range timings {
		m.observeSpeed(t, observed[i], weights[i], nowMS)
	}
}

type timingSum struct{ n, log float64 }

func (m *Model) observeSpeed(t Timing, log, weight float64, nowMS int64) {
	w := m.workers[t.Worker]
	if w == nil {
		if len(m.workers) >= maxWorkers {
			forgetOldest(m.workers, cmp.Compare[WorkerKey], func(w *workerSpeed) int64 { return w.usedMS })
		}
		w = &workerSpeed{}
		m.workers[t.Worker] = w
	}
	w.group, w.usedMS = t.Group, nowMS
	w.weight = min(w.weight+weight, maxSpeedWeight)
	w.log += weight / w.weight * (clampLogSpeed(log) - w.log)
}

func clampLogSpeed(log float64) float64 {
	return min(math.Log(maxSpeed), max(math.Log(minSpeed), log))
}

// SetPresent notes that the worker exists, and its group, which what another owner has learned does not include.
func (m *Model) SetPresent(worker WorkerKey, group Group, nowMS int64) {
	if w := m.workers[worker]; w != nil {
		w.group, w.usedMS = group, nowMS
	}
}

// RefreshDue reports whether the speeds of groups are due to be computed anew.
func (m *Model) RefreshDue(nowMS int64) bool {
	return m.groups.kinds == nil || nowMS-m.groups.atMS >= groupIntervalMS
}

// Refresh computes the speeds of groups of workers anew.
func (m *Model) Refresh(nowMS int64) {
	g := &m.groups
	keys := make([]WorkerKey, 0, len(m.workers))
	for k, w := range m.workers {
		if nowMS-w.usedMS > absentMS {
			delete(m.workers, k)
			continue
		}
		if w.weight >= knownWeight {
			keys = append(keys, k)
		}
	}
	// Sums of floating point numbers depend on their order.
	sortKeys(keys)
	*g = groups{atMS: nowMS, kinds: make(map[string]float64), racks: make(map[domain.RackID]float64)}
	if len(keys) < minGroupWorkers {
		return
	}
	for _, k := range keys {
		g.center += m.workers[k].log / float64(len(keys))
	}
	g.kindShare = explain(m, keys, g.kinds, func(w *workerSpeed) (string, float64) { return w.group.Kind, w.log - g.center })
	g.rackShare = explain(m, keys, g.racks, func(w *workerSpeed) (domain.RackID, float64) {
		return w.group.Rack, w.log - g.center - g.kindShare*g.kinds[w.group.Kind]
	})
}

// explain fills the means of the groups, and returns the share of the variance between workers that they explain.
func explain[K comparable](m *Model, keys []WorkerKey, means map[K]float64, of func(*workerSpeed) (K, float64)) float64 {
	counts := make(map[K]float64)
	total := 0.0
	for _, k := range keys {
		group, log := of(m.workers[k])
		counts[group]++
		means[group] += log
		total += log * log
	}
	for group, n := range counts {
		if means[group] /= n; n < minGroupWorkers {
			delete(means, group)
		}
	}
	within := 0.0
	for _, k := range keys {
		group, log := of(m.workers[k])
		within += (log - means[group]) * (log - means[group])
	}
	free := float64(len(keys) - len(means))
	if total <= 0 || free <= 0 {
		return 0
	}
	return max(0, 1-within/free/(total/float64(len(keys))))
}

// logSpeed returns the expected logarithm of a worker's speed.
func (m *Model) logSpeed(worker WorkerKey, group Group) float64 {
	g := &m.groups
	prior := g.kindShare*g.kinds[group.Kind] + g.rackShare*g.racks[group.Rack]
	w := m.workers[worker]
	if w == nil {
		return prior
	}
	return (w.weight*(w.log-g.center) + speedPrior*prior) / (w.weight + speedPrior)
}

// Speed returns how many times faster than the mean worker this one is, and the confidence from 0 to 1. A worker that has run nothing is as
// fast as the others of its group.
func (m *Model) Speed(worker WorkerKey, group Group) (speed, confidence float64) {
	if w := m.workers[worker]; w != nil {
		confidence = w.weight / (w.weight + speedPrior)
	}
	return math.Exp(clampLogSpeed(m.logSpeed(worker, group))), confidence
}
