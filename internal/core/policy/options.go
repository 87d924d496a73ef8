package policy

import (
	"time"

	"auburnpier/internal/domain"
)

// Options configures a queue.
type Options struct {
	Weights Weights
	// AgingStep is the waiting time after which a job rises by one priority class.
	// Aging never raises a job to the urgent class. It raises a job above those of
	// other teams only while its own team runs less than its share; otherwise the
	// backlog of a team above its share would displace every other team. Zero means
	// DefaultAgingStep.
	AgingStep time.Duration
	// ReservationDelay is how long a job waits before capacity is held for it. Zero
	// means DefaultReservationDelay.
	ReservationDelay time.Duration
}

// Defaults for Options.
const (
	DefaultAgingStep        = 10 * time.Minute
	DefaultReservationDelay = 90 * time.Second
)

// aboveShareDelayFactor multiplies the reservation delay for jobs of teams that run
// their share or more. Other jobs of such a team do find capacity.
const aboveShareDelayFactor = 10

// NewQueue returns an empty queue.
func NewQueue(o Options) Queue {
	return newQueue(o)
}

func newQueue(o Options) *queue {
	if o.AgingStep <= 0 {
		o.AgingStep = DefaultAgingStep
	}
	if o.ReservationDelay <= 0 {
		o.ReservationDelay = DefaultReservationDelay
	}
	q := &queue{
		options:   o,
		round:     1,
		fairRatio: 1,
		teams:     make(map[domain.TeamID]*team),
		jobs:      make(map[domain.JobID]*entry),
	}
	for c := range q.teamHeaps {
		q.teamHeaps[c] = heap[*team]{
			less:  func(a, b *team) bool { return a.less(b, class(c)) },
			index: func(t *team) *int { return &t.heapIndexes[c] },
		}
	}
	q.agingHeap = heap[*group]{
		less: func(a, b *group) bool {
			return a.agesAt.Before(b.agesAt) || a.agesAt.Equal(b.agesAt) && a.sequence < b.sequence
		},
		index: func(g *group) *int { return &g.agingHeapIndex },
	}
	return q
}
