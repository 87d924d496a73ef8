package route

import (
	"slices"
	"time"

	"auburnpier/internal/domain"
)

const (
	// slowFactor and slowFloor: an answer is slow when it took this many times
	// the median of the other servers and this much longer.
	slowFactor = 3
	slowFloor  = 50 * time.Millisecond
	// slowSamples are needed on another server before it counts for the median.
	slowSamples = 5
	// slowToEject slow answers in a row eject a server, so that one pause does not.
	slowToEject = 3
)

// Report records how a request of the queue ended at the server. Latency is
// the time to the first byte of the answer, or the time waited for it. It
// returns the condition that the server was ejected for, or an empty one.
func (t *Table) Report(s *Server, queue domain.QueueID, outcome Outcome, latency time.Duration, now time.Time) Condition {
	switch outcome {
	case Answered:
		slow := t.slow(s, queue, latency, now)
		s.observe(queue, now, latency)
		if s.health.succeed(slow) {
			return t.tryEject(s, Slow, now)
		}
	case TimedOut:
		// The answer time is at least the time waited. A short deadline of the
		// caller is not held against the server.
		if t.slow(s, queue, latency, now) {
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

// tryEject ejects the server unless half of the servers that stay are ejected.
func (t *Table) tryEject(s *Server, why Condition, now time.Time) Condition {
	if s.health.ejected(now) {
		return ""
	}
	staying, ejected := 0, 0
	for _, o := range t.servers {
		if o.Info.Leaving {
			continue
		}
		staying++
		if o.health.ejected(now) {
			ejected++
		}
	}
	if 2*(ejected+1) > staying {
		return ""
	}
	s.health.eject(now, why)
	return why
}

// slow compares one answer time with the other servers of the queue.
func (t *Table) slow(s *Server, queue domain.QueueID, sample time.Duration, now time.Time) bool {
	if sample <= slowFloor {
		return false
	}
	median, ok := t.medianOfOthers(s, queue, now)
	return ok && sample > slowFactor*median && sample > median+slowFloor
}

func (t *Table) medianOfOthers(s *Server, queue domain.QueueID, now time.Time) (time.Duration, bool) {
	var values []time.Duration
	for _, o := range t.servers {
		l := o.latency[queue]
		if o == s || l == nil || l.Samples() < slowSamples {
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
