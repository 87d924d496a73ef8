package policy

import (
	"time"

	"auburnpier/internal/domain"
)

// Options configures a queue.
type Options struct {
	Weights Weights
	// AgingStep is the time after which a waiting job rises by one priority
	// class. Aging never raises a job to the urgent class, and it raises a job
	// above other teams only while its team runs less than its share: the
	// backlog of a team above its share would otherwise displace every other
	// team. Zero means DefaultAgingStep.
	AgingStep time.Duration
	// ReservationDelay is how long a job waits until workers are held for it.
	// Zero means DefaultReservationDelay.
	ReservationDelay time.Duration
}

// Defaults of Options.
const (
	DefaultAgingStep        = 10 * time.Minute
	DefaultReservationDelay = 90 * time.Second
)

// aboveShareDelays is how many reservation delays a job waits whose team runs
// its share or more. Such a team has other jobs that find room.
const aboveShareDelays = 10

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
		options: o,
		round:   1,
		level:   1,
		teams:   make(map[domain.TeamID]*team),
		jobs:    make(map[domain.JobID]*entry),
	}
	for c := range q.classes {
		q.classes[c] = heap[*team]{
			less:     func(a, b *team) bool { return a.precedes(b, class(c)) },
			position: func(t *team) *int { return &t.positions[c] },
		}
	}
	q.aging = heap[*group]{
		less:     func(a, b *group) bool { return a.ages.Before(b.ages) || a.ages.Equal(b.ages) && a.number < b.number },
		position: func(g *group) *int { return &g.agingPosition },
	}
	return q
}
