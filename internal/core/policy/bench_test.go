package policy

import (
	"fmt"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

// BenchmarkRoundAfterRemovals measures a round after half of a long list of jobs was
// removed from its front.
func BenchmarkRoundAfterRemovals(b *testing.B) {
	const jobs = 20_000
	q := newTestQueue(Options{}, nil)
	for i := range jobs {
		q.Push(job(fmt.Sprint("j", i), "a", time.Duration(jobs-i)))
	}
	for i := range jobs/2 - 1 {
		q.Remove(domain.JobID(fmt.Sprint("j", i)))
	}
	for b.Loop() {
		q.BeginRound(testStart)
		i, _ := q.Next()
		q.Pass(i.Job, WaitNoCapacity)
		q.Next()
	}
}
