package route

import "time"

// Outcome is how a request ended at a backend server.
type Outcome int

// Outcomes of requests.
const (
	// Answered means that the response was complete.
	Answered Outcome = iota
	// Refused means that the server responded that it did not run the request.
	Refused
	// Unreachable means that no byte of the request could be sent.
	Unreachable
	// Broken means that the exchange failed after bytes were sent.
	Broken
	// TimedOut means that the deadline passed before the response began.
	TimedOut
	// Abandoned means that the caller disconnected, which says nothing about the server.
	Abandoned
)

// Condition is the condition of a backend server.
type Condition string

// Conditions of servers.
const (
	Healthy   Condition = "healthy"
	Slow      Condition = "slow"
	Failing   Condition = "failing"
	Leaving   Condition = "leaving"
	Probation Condition = "probation"
)

const (
	// failuresToEject is the number of consecutive failures that eject a server.
	failuresToEject = 5
	// successesToRecover is the number of consecutive successes that end a probation.
	successesToRecover = 3
	// firstEjection is the duration of the first ejection. It doubles with each further
	// one, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = time.Minute
)

// health is the ejection state of one server.
type health struct {
	condition     Condition // Healthy, Slow, Failing or Probation
	ejectedUntil  time.Time // end of the ejection
	ejections     int       // ejections since the last full recovery
	failures      int       // consecutive failures
	slowResponses int       // consecutive slow responses
	successes     int       // consecutive successes on probation
}

func (h *health) ejected(now time.Time) bool {
	return (h.condition == Slow || h.condition == Failing) && now.Before(h.ejectedUntil)
}

// advance puts a server whose ejection has ended on probation.
func (h *health) advance(now time.Time) {
	if (h.condition == Slow || h.condition == Failing) && !now.Before(h.ejectedUntil) {
		h.condition = Probation
		h.successes = 0
		h.failures = 0
	}
}

func (h *health) eject(now time.Time, why Condition) {
	wait := firstEjection << min(h.ejections, 5)
	h.condition = why
	h.ejectedUntil = now.Add(min(wait, maxEjection))
	h.ejections++
	h.failures = 0
	h.successes = 0
	h.slowResponses = 0
}

// succeed records a response and reports whether the server should be ejected
// because it is slow.
func (h *health) succeed(slow bool) bool {
	h.failures = 0
	if slow {
		h.slowResponses++
		h.successes = 0
		return h.condition == Probation || h.slowResponses >= slowToEject
	}
	h.slowResponses = 0
	if h.condition == Probation {
		h.successes++
	}
	if h.successes >= successesToRecover {
		*h = health{condition: Healthy}
	}
	return false
}

// fail records a failure and reports whether the server should be ejected.
func (h *health) fail() bool {
	h.failures++
	h.successes = 0
	return h.condition == Probation || h.failures >= failuresToEject
}
