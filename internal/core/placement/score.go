package placement

import "auburnpier/internal/domain"

// scorer ranks the workers that passed all filters; a higher score is better. A
// score depends only on the worker, the request and the running replicas, and is
// computed without allocation.
type scorer interface {
	score(slot int32, w *worker, q *query) float64
}

// Weights of the score terms. Fullness lies in [0, 1]. The replica terms outweigh all
// others, so that spreading takes precedence.
const (
	imbalanceWeight = 1.0
	rackWeight      = 10.0
	workerWeight    = 4.0
)

// balanceScorer scores fullness by the packing weight, prefers workers whose
// remaining CPU and memory are in proportion, and spreads replicas over racks and
// workers. Zones are compared before workers are scored.
type balanceScorer struct {
	// fullnessWeight ranges from -1 (spread tasks evenly) to 1 (fill workers).
	fullnessWeight float64
}

func newBalanceScorer(packing float64) balanceScorer {
	return balanceScorer{fullnessWeight: 2*min(max(packing, 0), 1) - 1}
}

func (s balanceScorer) score(slot int32, w *worker, q *query) float64 {
	left := w.free.Sub(q.Size)
	cpu := fraction(left.CPUMilli, w.capacity.CPUMilli)
	memory := fraction(left.MemoryMB, w.capacity.MemoryMB)
	score := s.fullnessWeight * (1 - (cpu+memory)/2)
	if w.capacity.Accelerators > 0 {
		score -= fraction(left.Accelerators, w.capacity.Accelerators)
	}
	score -= imbalanceWeight * (absDiff(cpu, memory) - imbalance(w.free, w.capacity))
	if q.replicas != nil {
		score -= rackWeight * float64(q.replicas.racks.get(w.rack))
		score -= workerWeight * float64(q.replicas.workers.get(slot))
	}
	return score
}

// imbalance returns the difference between the free fractions of CPU and memory:
// the capacity that would be stranded once the scarcer one is used up.
func imbalance(free, capacity domain.Resources) float64 {
	return absDiff(fraction(free.CPUMilli, capacity.CPUMilli), fraction(free.MemoryMB, capacity.MemoryMB))
}

func absDiff(a, b float64) float64 {
	return max(a-b, b-a)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
