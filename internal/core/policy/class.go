package policy

import (
	"time"

	"auburnpier/internal/domain"
)

// class is a priority class. Lower values are considered first.
type class int

// Priority classes in scheduling order.
const (
	classUrgent class = iota
	classService
	classBatch
	classLow
	classCount
)

// classOf returns the class of an item before aging.
func classOf(i Item) class {
	switch {
	case i.Priority == domain.PriorityUrgent:
		return classUrgent
	case i.Priority == domain.PriorityLow:
		return classLow
	case i.Kind == domain.JobService:
		return classService
	default:
		return classBatch
	}
}

// aged returns the class after the job has waited. Aging never raises a job to the
// urgent class: urgent work has to start within seconds even if every other job
// has waited long.
func (c class) aged(waited, step time.Duration) class {
	if c <= classService || waited < step {
		return c
	}
	return max(c-class(min(waited/step, time.Duration(classCount))), classService)
}

// nextAging returns when a job of base class c, enqueued at the given time and
// currently in class current, rises by another class, or false if it does not.
func (c class) nextAging(current class, enqueued time.Time, step time.Duration) (time.Time, bool) {
	if current <= classService {
		return time.Time{}, false
	}
	return enqueued.Add(step * time.Duration(c-current+1)), true
}
