package decisions

import (
	"slices"

	"auburnpier/internal/domain"
)

// sample records packing and the distance from shares while the demand below
// the limits is at least the capacity.
func (f *feed) sample() {
	if !f.full() {
		f.report.fullSince = -1
		return
	}
	if f.report.fullSince < 0 {
		f.report.fullSince = f.now
	}
	f.samplePacking()
	f.sampleShares(f.now-f.report.fullSince >= f.w.Settled)
}

func (f *feed) full() bool {
	var sum domain.Resources
	for i, t := range f.w.Teams {
		sum = sum.Add(f.running[i].Add(f.waiting[i]).Min(t.Limit))
	}
	return sum.CPUMilli >= f.total.CPUMilli || sum.MemoryMB >= f.total.MemoryMB
}

func (f *feed) samplePacking() {
	var free domain.Resources
	stranded := 0.0
	for _, n := range f.w.Nodes {
		left := f.s.Free(n.ID)
		free = free.Add(left)
		cpu := float64(left.CPUMilli) / float64(n.Capacity.CPUMilli)
		memory := float64(left.MemoryMB) / float64(n.Capacity.MemoryMB)
		stranded += max(cpu, memory) - min(cpu, memory)
	}
	used := f.total.Sub(free)
	f.report.cpu.add(float64(used.CPUMilli) / float64(f.total.CPUMilli))
	f.report.memory.add(float64(used.MemoryMB) / float64(f.total.MemoryMB))
	f.report.allocated.add(used.DominantShare(f.total))
	f.report.stranded.add(stranded / float64(len(f.w.Nodes)))
}

// sampleShares compares what teams run with a weighted fair division of the
// same sum, over teams that have demand for their part.
func (f *feed) sampleShares(settled bool) {
	teams := len(f.w.Teams)
	running := make([]float64, teams)
	demand := make([]float64, teams)
	sum := 0.0
	for i, t := range f.w.Teams {
		running[i] = f.running[i].DominantShare(f.total)
		demand[i] = f.running[i].Add(f.waiting[i]).Min(t.Limit).DominantShare(f.total)
		sum += running[i]
	}
	fair := fairDivision(f.w, demand, sum)
	largest, mean, n := 0.0, 0.0, 0
	for i := range fair {
		if demand[i] <= fair[i] {
			continue
		}
		d := max(fair[i]-running[i], running[i]-fair[i])
		largest = max(largest, d)
		mean += d
		n++
	}
	if n < 2 {
		return
	}
	f.report.largest.add(largest)
	f.report.distance.add(mean / float64(n))
	if settled {
		f.report.settledLargest.add(largest)
		f.report.settledDistance.add(mean / float64(n))
	}
}

// fairDivision divides sum by weighted max-min fairness: every team gets the
// same multiple of its share, or its demand where that is less.
func fairDivision(w *Workload, demand []float64, sum float64) []float64 {
	order := make([]int, len(demand))
	weights := 0.0
	for i := range order {
		order[i] = i
		weights += w.Teams[i].Share
	}
	slices.SortFunc(order, func(a, b int) int {
		x, y := demand[a]/w.Teams[a].Share, demand[b]/w.Teams[b].Share
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return a - b
		}
	})
	fair := make([]float64, len(demand))
	for _, i := range order {
		share := w.Teams[i].Share
		fair[i] = min(demand[i], sum*share/weights)
		sum -= fair[i]
		weights -= share
	}
	return fair
}
