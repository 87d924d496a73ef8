package policy

import (
	"time"

	"auburnpier/internal/domain"
)

// Options configures a queue.
type Options struct {
	Weights Weights
	// AgingStep is the time after which a waiting job rises by one priority
	// class. Aging never raises a job to the urgent class. Zero means DefaultAgingStep.
	AgingStep time.Duration
	// WaitingScale is the waiting time that counts as much as being one whole
	// share below the share, at equal weights. Zero means DefaultWaitingScale.
	WaitingScale time.Duration
}

// Defaults of Options.
const (
	DefaultAgingStep    = 10 * time.Minute
	DefaultWaitingScale = time.Minute
)

// NewQueue returns an empty queue.
func NewQueue(o Options) Queue {
	return newQueue(o)
}

func newQueue(o Options) *queue {
	if o.AgingStep <= 0 {
		o.AgingStep = DefaultAgingStep
	}
	if o.WaitingScale <= 0 {
		o.WaitingScale = DefaultWaitingScale
	}
	q := &queue{
		options: o,
		round:   1,
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
