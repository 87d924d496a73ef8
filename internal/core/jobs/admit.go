package jobs

// Figures of admission.
const (
	// backlogFactor times the objective is the wait at which a job is refused.
	backlogFactor = 1.0
	// minRetryMS and maxRetryMS bound the advice when to come back.
	minRetryMS = 1000
	maxRetryMS = 5000
)

// overloaded reports whether the work that waits before a new job of the queue
// would use up the job's objective, and when it is worth coming back.
func (m *Machine) overloaded(q *Queue, t *team, spec *Spec) (retryMS int64, refuse bool) {
	var capacity, busy float64
	for _, w := range m.order {
		if w.service == q.Service && w.registered && w.contacted && !w.draining {
			capacity += float64(w.capacity.CPUMilli)
			busy += float64(w.used.CPUMilli)
		}
	}
	if capacity == 0 || spec.Recurring() {
		return 0, false
	}
	var waiting float64
	for _, s := range m.ready {
		if s.job.queue.Service == q.Service && s.job.queue.Priority <= q.Priority && s.orderKey <= rankNormal {
			waiting += float64(s.spec.Need.CPUMilli) * float64(s.waiting) * float64(s.spec.EstimateMS)
		}
	}
	// Work that has to be done before the job's turn, at full speed of the fleet.
	waitMS := waiting / capacity
	slack := float64(q.ObjectiveMS) + (q.Stretch-1)*float64(chainOf(spec, q))
	if waitMS <= slack*backlogFactor || busy < capacity/2 {
		return 0, false
	}
	return min(maxRetryMS, max(minRetryMS, int64(waitMS-slack))), true
}
