package route

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

const (
	// A response is slow if its latency exceeds slowFactor times the median of the other
	// servers and exceeds that median by more than minSlowExcess.
	slowFactor    = 3
	minSlowExcess = 50 * time.Millisecond
	// minMedianSamples is how many samples another server needs to count for the median.
	minMedianSamples = 5
	// slowToEject is the number of consecutive slow responses that eject a server. A
	// single pause does not.
	slowToEject = 3
)

// Report records how a request of the queue ended at the server. latency is
// the time to the first byte of the response, or the time waited for it. Report
// returns the condition for which the server was ejected, or an empty one.
func (t *Table) Report(s *Server, queue domain.QueueID, outcome Outcome, latency time.Duration, now time.Time) Condition {
	switch outcome {
	case Answered:
		slow := t.isSlow(s, queue, latency, now)
		s.observe(queue, now, latency)
		if s.health.succeed(slow) {
			return t.tryEject(s, Slow, now)
		}
	case TimedOut:
		// The latency is at least the time waited, so it counts only if that was already
		// slow. A short deadline of the caller is not counted against the server.
		if t.isSlow(s, queue, latency, now) {
			s.observe(queue, now, latency)
			if s.health.succeed(true) {
				return t.tryEject(s, Slow, now)
			}
		}
	case Refused, Unreachable, Broken:
		if s.health.fail() {
			return t.tryEject(s, Failing, now)
		}
	case Abandoned:
	}
	return ""
}

// tryEject ejects the server unless more than half of the servers that are not leaving
// would then be ejected.
func (t *Table) tryEject(s *Server, why Condition, now time.Time) Condition {
	if s.health.ejected(now) {
		return ""
	}
	remaining, ejected := 0, 0
	for _, o := range t.servers {
		if o.Info.Leaving {
			continue
		}
		remaining++
		if o.health.ejected(now) {
			ejected++
		}
	}
	if 2*(ejected+1) > remaining {
		return ""
	}
	s.health.eject(now, why)
	return why
}

// isSlow reports whether a latency is isSlow compared with the other servers of the queue.
func (t *Table) isSlow(s *Server, queue domain.QueueID, sample time.Duration, now time.Time) bool {
	if sample <= minSlowExcess {
		return false
	}
	median, ok := t.medianOfOthers(s, queue, now)
	return ok && sample > slowFactor*median && sample > median+minSlowExcess
}

func (t *Table) medianOfOthers(s *Server, queue domain.QueueID, now time.Time) (time.Duration, bool) {
	var values []time.Duration
	for _, o := range t.servers {
		l := o.latency[queue]
		if o == s || l == nil || l.Samples() < minMedianSamples {
			continue
		}
		values = append(values, l.Value(now))
	}
	if len(values) == 0 {
		return 0, false
	}
	slices.Sort(values)
	return values[len(values)/2], true
}
