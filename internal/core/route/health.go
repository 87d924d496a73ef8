package route

import "time"

// Outcome is how a request ended at a backend server.
type Outcome int

// Outcomes of requests.
const (
	// Answered is a whole answer.
	Answered Outcome = iota
	// Refused is a server that said it did not run the request.
	Refused
	// Unreachable is a connection that was refused or took no byte.
	Unreachable
	// Broken is an exchange that broke after bytes were written.
	Broken
	// TimedOut is a deadline that passed before the answer began.
	TimedOut
	// Abandoned is a caller that went away. It says nothing about the server.
	Abandoned
)

// Condition tells slow, failing and leaving servers apart.
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
	// failuresToEject in a row eject a server.
	failuresToEject = 5
	// successesToTrust in a row end a probation.
	successesToTrust = 3
	// firstEjection doubles with each further ejection up to longestEjection.
	firstEjection   = 2 * time.Second
	longestEjection = time.Minute
)

// health is the ejection state of one server.
type health struct {
	condition Condition // Healthy, Slow, Failing or Probation
	until     time.Time // end of the ejection
	ejections int       // ejections since the last full recovery
	failures  int       // in a row
	slowRun   int       // slow answers in a row
	successes int       // in a row while on probation
}

func (h *health) ejected(now time.Time) bool {
	return (h.condition == Slow || h.condition == Failing) && now.Before(h.until)
}

// advance moves a server whose ejection ended to probation.
func (h *health) advance(now time.Time) {
	if (h.condition == Slow || h.condition == Failing) && !now.Before(h.until) {
		h.condition = Probation
		h.successes = 0
		h.failures = 0
	}
}

func (h *health) eject(now time.Time, why Condition) {
	wait := firstEjection << min(h.ejections, 5)
	h.condition = why
	h.until = now.Add(min(wait, longestEjection))
	h.ejections++
	h.failures = 0
	h.successes = 0
	h.slowRun = 0
}

// succeed counts an answer and reports whether the server should be ejected
// because it is slow.
func (h *health) succeed(slow bool) bool {
	h.failures = 0
	if slow {
		h.slowRun++
		h.successes = 0
		return h.condition == Probation || h.slowRun >= slowToEject
	}
	h.slowRun = 0
	if h.condition == Probation {
		h.successes++
	}
	if h.successes >= successesToTrust {
		*h = health{condition: Healthy}
	}
	return false
}

// fail counts a failure and reports whether the server should be ejected.
func (h *health) fail() bool {
	h.failures++
	h.successes = 0
	return h.condition == Probation || h.failures >= failuresToEject
}
