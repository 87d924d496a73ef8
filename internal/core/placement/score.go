package placement

import "auburnpier/internal/domain"

// scorer ranks the workers that passed all filters; a higher score is better.
// A score depends on the worker, the request and the placed replicas alone,
// and costs no allocation.
type scorer interface {
	score(slot int32, w *node, q *query) float64
}

// Weights of the score terms. Fullness lies in [0, 1], and the terms for
// replicas are above every other so that spreading comes first.
const (
	strandedWeight = 1.0
	rackWeight     = 10.0
	workerWeight   = 4.0
)

// balanceScorer weighs fullness by the packing weight, prefers workers whose
// processor time and memory are left over in proportion, and keeps replicas
// on distinct racks and workers. Zones are compared before workers are.
type balanceScorer struct {
	// slope is 1 to fill workers and -1 to spread tasks evenly.
	slope float64
}

func newBalanceScorer(packing float64) balanceScorer {
	return balanceScorer{slope: 2*min(max(packing, 0), 1) - 1}
}

func (s balanceScorer) score(slot int32, w *node, q *query) float64 {
	left := w.free.Sub(q.Size)
	cpu := fraction(left.CPUMilli, w.capacity.CPUMilli)
	memory := fraction(left.MemoryMB, w.capacity.MemoryMB)
	score := s.slope * (1 - (cpu+memory)/2)
	if w.capacity.Accelerators > 0 {
		score -= fraction(left.Accelerators, w.capacity.Accelerators)
	}
	score -= strandedWeight * (distance(cpu, memory) - stranded(w.free, w.capacity))
	if q.spread != nil {
		score -= rackWeight * float64(q.spread.racks.of(w.rack))
		score -= workerWeight * float64(q.spread.workers.of(slot))
	}
	return score
}

// stranded returns the fraction of the worker that is left over in one
// resource without the same fraction of the other.
func stranded(free, capacity domain.Resources) float64 {
	return distance(fraction(free.CPUMilli, capacity.CPUMilli), fraction(free.MemoryMB, capacity.MemoryMB))
}

func distance(a, b float64) float64 {
	return max(a-b, b-a)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
