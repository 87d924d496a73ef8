package policy

import (
	"time"

	"auburnpier/internal/domain"
)

// class is a priority class. Lower classes are considered first.
type class int

// Classes in the order in which they are considered.
const (
	classUrgent class = iota
	classService
	classBatch
	classLow
	classes
)

// classOf returns the class of an item that has not waited.
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

// aged returns the class after waiting. It never becomes urgent: urgent work
// has to start within seconds even when every other job has waited long.
func (c class) aged(waited, step time.Duration) class {
	if c <= classService || waited < step {
		return c
	}
	return max(c-class(min(waited/step, time.Duration(classes))), classService)
}

// nextAging returns when a job of base class c that was enqueued at from and
// stands in class now rises next, or false where it does not.
func (c class) nextAging(now class, from time.Time, step time.Duration) (time.Time, bool) {
	if now <= classService {
		return time.Time{}, false
	}
	return from.Add(step * time.Duration(c-now+1)), true
}
