// Package departure decides which runs leave workers that are about to end.
//
// A run that is lost with its worker starts again only once the loss is proven, at the same time as the others of its worker. A run that is
// stopped before starts again at once, but gives up its chance to end in time.
package departure

import (
	"cmp"
	"math"
	"slices"

	"auburnpier/internal/domain"
)

// Key identifies a run, and GroupKey the gang of a run, zero for none. Both are numbers of the caller.
type (
	Key      int
	GroupKey int
)

// Run is a run on a worker that is about to end, or a member of a gang with such a run whose own worker gets no new work either. All members of
// a gang have the same times.
type Run struct {
	Key  Key
	Gang GroupKey
	// Kind numbers runs from zero that need the same and may go to the same workers.
	Kind int
	// LeftMS is the least time until the worker ends.
	LeftMS int64
	// ElapsedMS is the time that the run has taken, RemainingMS the time that it is expected to take still, and P90MS the time within which
	// it ends with a probability of 0.9.
	ElapsedMS, RemainingMS, P90MS int64
	// RestartMS is the expected time until the task ends if its run is stopped now, LossMS the same if the run is lost with the worker.
	RestartMS, LossMS int64
	// Checkpoint is set if the task goes on elsewhere from where the run was stopped.
	Checkpoint bool
	Need       domain.Resources
	// SlackMS is the time within which the task has to end for the job to meet its objective, UsefulMS the one for its result to be of use.
	SlackMS, UsefulMS int64
	// Stopped is set for a run whose stop is requested, or that has ended since, and that has not started elsewhere. It takes up room.
	Stopped bool
	// leaves and chance are the results of Leaves and Chance, valid if decided is set. They are needed several times.
	leaves, decided bool
	chance          float64
}

const (
	// maxChance is the chance to end on the worker from which on a run stays.
	maxChance = 0.2
	// A run of which at most nearEndShare is left stays if nearEndFactor times the worker's time is enough for it: workers end after the
	// notice at the earliest.
	nearEndShare  = 0.1
	nearEndFactor = 2
	// overrunMS is added to the time left for that, because the end of a worker follows its notice with a delay.
	overrunMS = 100
	// A run has just begun for justBegunMS, or while justBegunShare of its duration is over.
	justBegunMS    = 500
	justBegunShare = 0.1
	// lateWorth is the worth of a late result that is of use, beside one in time.
	lateWorth = 0.2
	// p90Deviations is the number of standard deviations of the 90th percentile of a normal distribution.
	p90Deviations = 1.2816
	// maxPlanned is the number of runs from which on a plan takes no more. To find the room of 2,000 and stop them took 4 of 8 ms.
	// The others are left to the next plan.
	maxPlanned = 1000
	// minDeviation bounds the standard deviation of the logarithm of remaining times.
	minDeviation = 0.05
	// maxDeviations is the number of standard deviations below the median from which on there is no chance: 1 in 10^9.
	maxDeviations = 6
	// minMedian is exp(-p90Deviations^2/2), rounded down.
	minMedian = 0.43
)

// Chance returns the probability that the run ends before its worker does.
func (r *Run) Chance() float64 {
	if r.decided {
		return r.chance
	}
	return Chance(r.RemainingMS, r.P90MS, r.LeftMS)
}

// Chance returns the probability that a remaining time of that mean and 90th percentile ends within a time. Its logarithm counts as normal.
func Chance(meanMS, p90MS, withinMS int64) float64 {
	if withinMS <= 0 {
		return 0
	}
	mean := float64(max(1, meanMS))
	// The mean and the 90th percentile are exp(mu + sigma^2/2) and exp(mu + p90Deviations*sigma).
	sigma := p90Deviations - math.Sqrt(max(0, p90Deviations*p90Deviations-2*math.Log(float64(max(1, p90MS))/mean)))
	sigma = max(minDeviation, sigma)
	z := (math.Log(float64(withinMS)/mean) + sigma*sigma/2) / sigma
	if z < -maxDeviations {
		return 0
	}
	return math.Erfc(-z/math.Sqrt2) / 2
}

// Likely reports whether Chance is at least 0.5.
func Likely(meanMS, p90MS, withinMS int64) bool {
	// The median is at most the mean, and at least minMedian times it by the largest deviation, which decides about most runs.
	return meanMS <= withinMS || float64(withinMS) >= minMedian*float64(meanMS) && Chance(meanMS, p90MS, withinMS) >= 0.5
}

// SavedMS returns how much earlier the task is expected to end if its run is stopped now.
func (r *Run) SavedMS() int64 { return r.savedMS(r.Chance()) }

func (r *Run) savedMS(chance float64) int64 {
	return int64(chance*float64(r.RemainingMS)+(1-chance)*float64(r.LossMS)) - r.RestartMS
}

func (r *Run) nearEnd() bool {
	return float64(r.RemainingMS) <= nearEndShare*float64(r.ElapsedMS+r.RemainingMS) && r.RemainingMS <= nearEndFactor*(max(0, r.LeftMS)+overrunMS)
}

// Leaves reports whether the run is better stopped now if there is room elsewhere. The times of the run must not change after the first call.
func (r *Run) Leaves() bool {
	if !r.decided {
		r.chance = r.Chance()
		r.leaves, r.decided = r.chance < maxChance && !r.nearEnd() && r.savedMS(r.chance) > 0, true
	}
	return r.leaves
}

func (r *Run) worth(endMS int64) float64 {
	switch {
	case endMS <= r.SlackMS:
		return 1
	case endMS <= r.UsefulMS:
		return lateWorth
	}
	return 0
}

// Classes of runs in the order in which they leave.
const (
	classCheckpoint = iota
	classJustBegun
	classOther
	classLate
	classUseless
	numClasses
)

// unit is what leaves as a whole: a run, or the runs of a gang. Thousands are sorted, so it has no pointers.
type unit struct {
	// first is the index of the run that ends first on its worker. gang is the index of its gang, or -1.
	first, gang int32
	// loss is the worth that the result loses if the run stays and is lost.
	loss float64
	// discarded is the work that is lost by moving, in thousandths of a core times milliseconds.
	discarded int64
}

// gang has the indexes of its runs. first is the one that ends first on its worker.
type gang struct {
	first   int
	members []int
}

// class returns the class of what leaves with the run.
func (r *Run) class() int {
	switch worth := r.worth(r.RestartMS); {
	case worth == 0:
		return classUseless
	case worth < 1:
		return classLate
	case r.Checkpoint:
		return classCheckpoint
	case r.ElapsedMS <= justBegunMS || float64(r.ElapsedMS) <= justBegunShare*float64(r.ElapsedMS+r.RemainingMS):
		return classJustBegun
	}
	return classOther
}

// Plan returns the runs to stop now, in the order in which they leave, and for each the worker whose room it takes up. room is what each worker
// that stays has free, or is about to have. fits reports whether one more run of a kind may go to a worker beside those planned there; it is
// called only for workers with enough room.
func Plan(runs []Run, room []domain.Resources, fits func(kind, worker, planned int) bool) (keys []Key, workers []int) {
	rooms := newRooms(runs, room, fits)
	classes, gangs := classify(runs, rooms)
	// compare orders units of the same class.
	compare := func(a, b unit) int {
		if c := cmp.Or(cmp.Compare(b.loss, a.loss), cmp.Compare(a.discarded, b.discarded)); c != 0 {
			return c
		}
		x, y := &runs[a.first], &runs[b.first]
		return cmp.Or(cmp.Compare(x.SlackMS, y.SlackMS), cmp.Compare(x.Key, y.Key))
	}
	single := make([]int, 1)
	for i := range classes {
		// Few classes are reached where many runs leave, so each is sorted when its turn comes.
		slices.SortFunc(classes[i], compare)
		for _, u := range classes[i] {
			if len(keys) >= maxPlanned {
				return keys, workers
			}
			single[0] = int(u.first)
			members := single
			if u.gang >= 0 {
				members = gangs[u.gang].members
			}
			for k, at := range rooms.takeAll(runs, members) {
				keys, workers = append(keys, runs[members[k]].Key), append(workers, rooms.list[at].worker)
			}
		}
	}
	return keys, workers
}

// classify returns the units that leave if there is room, by class, without those for which no worker has enough, and the gangs. Runs that have left
// take up room first.
func classify(runs []Run, rooms *rooms) (classes [numClasses][]unit, gangs []gang) {
	largest := rooms.largestCPU()
	mayLeave := func(r *Run) bool { return r.Need.CPUMilli <= largest && r.Leaves() }
	add := func(first, at int, cpuMilli int64) {
		r := &runs[first]
		u := unit{first: int32(first), gang: int32(at), loss: r.worth(r.RestartMS) - r.worth(r.LossMS)}
		if !r.Checkpoint {
			u.discarded = r.ElapsedMS * cpuMilli
		}
		list := &classes[r.class()]
		if *list == nil {
			*list = make([]unit, 0, len(runs)/numClasses+1)
		}
		*list = append(*list, u)
	}
	gangOf := make(map[GroupKey]int)
	for i := range runs {
		switch r := &runs[i]; {
		case r.Stopped:
			rooms.take(r)
		case r.Gang == 0:
			if mayLeave(r) {
				add(i, -1, r.Need.CPUMilli)
			}
		default:
			at, ok := gangOf[r.Gang]
			if !ok {
				at = len(gangs)
				gangOf[r.Gang] = at
				gangs = append(gangs, gang{first: i})
			}
			g := &gangs[at]
			g.members = append(g.members, i)
			if r.LeftMS < runs[g.first].LeftMS {
				g.first = i
			}
		}
	}
	for at := range gangs {
		if g := &gangs[at]; mayLeave(&runs[g.first]) {
			cpuMilli := int64(0)
			for _, i := range g.members {
				cpuMilli += runs[i].Need.CPUMilli
			}
			add(g.first, at, cpuMilli)
		}
	}
	return classes, gangs
}

// rooms is the room on the workers that stay, the smallest first, which leaves large room to large tasks.
type rooms struct {
	fits func(kind, worker, planned int) bool
	list []workerRoom
	// next is, by kind, the first worker that may have room. Room only shrinks.
	next []nextRoom
	// taken is memory for takeAll.
	taken []int
}

// nextRoom is an index in rooms.list, or -1, and the number of runs of the kind that are planned there.
type nextRoom struct{ at, planned int }

type workerRoom struct {
	worker int
	cpu    int64
	free   domain.Resources
}

func newRooms(runs []Run, room []domain.Resources, fits func(kind, worker, planned int) bool) *rooms {
	r := &rooms{fits: fits}
	kinds := 0
	for i := range runs {
		kinds = max(kinds, runs[i].Kind+1)
	}
	r.next = make([]nextRoom, kinds)
	for i := range r.next {
		r.next[i].at = -1
	}
	for i, free := range room {
		if !free.IsNegative() {
			r.list = append(r.list, workerRoom{worker: i, cpu: free.CPUMilli, free: free})
		}
	}
	slices.SortStableFunc(r.list, func(a, b workerRoom) int { return cmp.Compare(a.cpu, b.cpu) })
	return r
}

// largestCPU returns the most CPU that a worker had free at first.
func (r *rooms) largestCPU() int64 {
	if len(r.list) == 0 {
		return -1
	}
	return r.list[len(r.list)-1].cpu
}

// take takes up room for the run, and returns where, or -1 if there is none.
func (r *rooms) take(run *Run) int {
	next := &r.next[run.Kind]
	if next.at < 0 {
		next.at, _ = slices.BinarySearchFunc(r.list, run.Need.CPUMilli, func(w workerRoom, cpu int64) int { return cmp.Compare(w.cpu, cpu) })
	}
	for ; next.at < len(r.list); next.at, next.planned = next.at+1, 0 {
		if w := &r.list[next.at]; run.Need.Fits(w.free) && r.fits(run.Kind, w.worker, next.planned) {
			w.free = w.free.Sub(run.Need)
			next.planned++
			return next.at
		}
	}
	return -1
}

// takeAll takes up room for all of the runs, and returns where, or for none. The result is valid until the next call.
func (r *rooms) takeAll(runs []Run, members []int) []int {
	kind := runs[members[0]].Kind
	next := r.next[kind]
	taken := r.taken[:0]
	for _, i := range members {
		at := r.take(&runs[i])
		if at < 0 {
			for k, at := range taken {
				r.list[at].free = r.list[at].free.Add(runs[members[k]].Need)
			}
			r.next[kind] = next
			return nil
		}
		taken = append(taken, at)
	}
	r.taken = taken
	return taken
}
