package jobs

import (
	"auburnpier/internal/core/approvals"
	"auburnpier/internal/domain"
)

// Parameters of admission.
const (
	// usableTimeShare is the fraction of time in which a limit or the fleet does useful work.
	// The rest is lost between one task and the next.
	usableTimeShare = 0.9
	// minRetryMS and maxRetryMS bound the retry delay given with a refusal.
	minRetryMS = 1000
	maxRetryMS = 5000
	// maxLoadAgeMS is how long computed loads are used for admission. Jobs accepted in the
	// meantime are added to them.
	maxLoadAgeMS = 100
	// maxApprovalBacklogMS bounds the wait for approvals with which a job is accepted. Instances may leave
	// after that, and an accepted job must start although the service handles one request of an instance at
	// a time.
	maxApprovalBacklogMS = 10_000
	// approverSettleMS is how long after the takeover the instances are still announcing themselves, so that
	// what they can ask for is not known.
	approverSettleMS = 3000
	// busyThreshold is the utilization of a service, or of a team's limit, above which a backlog
	// is expected to cause a considerable wait.
	busyThreshold = 0.8
)

// work is an amount of resources multiplied by time.
type work struct {
	// cpu is in milli-cores x milliseconds, memory in MB x milliseconds.
	cpu, memory float64
	// width is what all of it would use at once.
	width domain.Resources
}

func workOf(need domain.Resources, tasks int, ms int64) work {
	x := float64(tasks) * float64(ms)
	return work{cpu: float64(need.CPUMilli) * x, memory: float64(need.MemoryMB) * x, width: need.Scale(int64(tasks))}
}

func (w work) add(o work) work {
	return work{cpu: w.cpu + o.cpu, memory: w.memory + o.memory, width: w.width.Add(o.width)}
}

// boundedBy caps the work at what a limit permits in the time. A zero component means no limit.
func (w work) boundedBy(limit domain.Resources, ms float64) work {
	if limit.CPUMilli > 0 {
		w.cpu = min(w.cpu, float64(limit.CPUMilli)*ms)
	}
	if limit.MemoryMB > 0 {
		w.memory = min(w.memory, float64(limit.MemoryMB)*ms)
	}
	return w
}

// durationOn returns how many milliseconds resources of that size take for the work.
func (w work) durationOn(r domain.Resources) float64 {
	ms := 0.0
	if r.CPUMilli > 0 {
		ms = max(ms, w.cpu/float64(r.CPUMilli))
	}
	if r.MemoryMB > 0 {
		ms = max(ms, w.memory/float64(r.MemoryMB))
	}
	return ms
}

// load is the capacity of a service, its use, and the work that waits for it.
type load struct {
	capacity, used domain.Resources
	// sharesApply is set while teams above their share come after the others.
	sharesApply bool
	// waiting is the work of each team by priority. Each submission sums it up, so it is grouped by team, in the order of their first steps.
	waiting []*teamBacklog
	byTeam  map[*team]*teamBacklog
	// approvalMS is the time that the approval service needs for the waiting steps.
	approvalMS map[approvalKey]float64
}

type approvalKey struct {
	priority int
	// long is set if a request takes long.
	long bool
	// class is that of the steps.
	class orderClass
	// expired is the team of expired steps while shares apply: other teams do not wait for these.
	expired *team
}

// addApproval adds the approvals of a step. Those of a team at its limit do not wait for the service, but for
// the limit.
func (l *load) addApproval(t *team, q *Queue, class orderClass, expired bool, ms float64) {
	if !isBusy(t.used, t.Limit) {
		k := approvalKey{priority: q.Priority, long: q.hasLongApprovals(), class: class}
		if expired && l.sharesApply {
			k.expired = t
		}
		l.approvalMS[k] += ms
	}
}

// approvalWaitMS estimates how long a new job of the team and queue waits until the approval service is asked for it.
func (m *Machine) approvalWaitMS(l *load, t *team, q *Queue) float64 {
	if q.Approval == nil {
		return 0
	}
	lanes := m.approvers.Lanes(q.Approval.usualMS(), m.nowMS)
	if lanes == 0 || m.nowMS-m.beganMS < approverSettleMS {
		return 0
	}
	ahead := 0.0
	for k, ms := range l.approvalMS {
		if k.long == q.hasLongApprovals() && (k.expired == nil || k.expired == t) && k.class.countsBefore(k.priority, l.orderClass(t), q.Priority) {
			ahead += ms
		}
	}
	return ahead / float64(lanes)
}

func (q *Queue) hasLongApprovals() bool { return q.Approval.usualMS() >= approvals.MinLongRequestMS }

// usualMS returns how long the service takes for a request that names as many workers as usual.
func (a *ApprovalPolicy) usualMS() float64 { return a.BaseMS + approvalWorkersPerStep*a.PerWorkerMS }

// teamBacklog is the waiting work of a team. There are few priorities.
type teamBacklog struct {
	team       *team
	byPriority []priorityWork
}

type priorityWork struct {
	priority int
	// class is that of the steps.
	class orderClass
	work
}

func (l *load) add(t *team, priority int, class orderClass, w work) {
	b := l.byTeam[t]
	if b == nil {
		b = &teamBacklog{team: t}
		l.byTeam[t] = b
		l.waiting = append(l.waiting, b)
	}
	for i := range b.byPriority {
		if p := &b.byPriority[i]; p.priority == priority && p.class == class {
			p.work = p.work.add(w)
			return
		}
	}
	b.byPriority = append(b.byPriority, priorityWork{priority, class, w})
}

// ahead returns the work of the backlog that is scheduled before a new job of team t with that priority and order class.
func (b *teamBacklog) ahead(t *team, priority int, added orderClass) work {
	var sum work
	for _, p := range b.byPriority {
		if b.team == t && p.priority <= priority || b.team != t && p.class.countsBefore(p.priority, added, priority) {
			sum = sum.add(p.work)
		}
	}
	return sum
}

// waitMS estimates how long a new job of the team waits before it starts.
func (l *load) waitMS(t *team, priority int, usefulMS float64) float64 {
	limitMS, roomMS := l.waits(t, priority, usefulMS)
	return max(limitMS, roomMS)
}

// waits estimates how long a new job of the team waits for its team's limit and for room on the workers. The
// backlog of another team counts only as far as that team's limit lets it run, so that a flood of one team
// does not cause refusals for the others.
func (l *load) waits(t *team, priority int, usefulMS float64) (limitMS, roomMS float64) {
	var all, own work
	added := l.orderClass(t)
	for _, b := range l.waiting {
		w := b.ahead(t, priority, added)
		if other := b.team; other != t {
			all = all.add(w.boundedBy(other.Limit, usefulMS))
			continue
		}
		all, own = all.add(w), w
		// Between one gang and the next a full limit is unused for a moment.
		if isBusy(t.used.Add(w.width), t.Limit) {
			limitMS = w.durationOn(t.Limit)
		}
	}
	// Work of a flooding team waits while less is in use.
	if isBusy(l.used, l.capacity) || added == behindUseful {
		roomMS = all.durationOn(l.capacity)
		if added != notBehind {
			roomMS += own.durationOn(l.capacity) * (1/float64(t.left) - 1)
		}
	}
	return limitMS, roomMS
}

func isBusy(used, of domain.Resources) bool {
	busy := func(used, of int64) bool { return of > 0 && float64(used) >= busyThreshold*float64(of) }
	return busy(used.CPUMilli, of.CPUMilli) || busy(used.MemoryMB, of.MemoryMB)
}

// loadOf returns the load of a service, recomputed if it is out of date.
func (m *Machine) loadOf(service string) *load {
	if m.loads == nil || m.nowMS-m.loadsMS >= maxLoadAgeMS {
		m.recomputeLoads()
	}
	return m.cachedLoad(service)
}

// cachedLoad returns the load of a service as last computed.
func (m *Machine) cachedLoad(service string) *load {
	l, ok := m.loads[service]
	if !ok {
		l = &load{byTeam: make(map[*team]*teamBacklog), approvalMS: make(map[approvalKey]float64)}
		m.loads[service] = l
	}
	return l
}

func (m *Machine) recomputeLoads() {
	m.loads, m.loadsMS = make(map[string]*load), m.nowMS
	for service, u := range m.sumUse() {
		l := m.cachedLoad(service)
		l.used, l.capacity, l.sharesApply = u.presentUsed, u.presentCapacity, m.sharesApply(service)
	}
	for _, s := range m.ready {
		if l, ok := m.loads[s.job.queue.Service]; ok && s.rank <= rankNormal {
			l.add(s.job.team, s.job.queue.Priority, s.class, workOf(s.spec.Need, s.waiting, m.expectedMS(s)))
		}
		if l, ok := m.loads[s.job.queue.Service]; ok && s.job.queue.Approval != nil && !s.approvalAnswered {
			l.addApproval(s.job.team, s.job.queue, s.class, s.tier == tierExpired, m.remainingApprovalMS(s))
		}
	}
}

// overloaded reports whether a new job of the queue would wait so long that not even a late
// result would be of use, and if so after what delay to submit it again.
func (m *Machine) overloaded(q *Queue, t *team, spec *Spec) (retryMS int64, refuse bool) {
	l := m.loadOf(q.Service)
	if l.capacity.IsZero() || spec.Recurring() {
		return 0, false
	}
	usefulMS := m.usefulWaitMS(q, t, spec)
	waitMS := l.waitMS(t, q.Priority, usefulMS)
	approvalMS := m.approvalWaitMS(l, t, q)
	if waitMS <= usefulMS*usableTimeShare && approvalMS <= min(maxApprovalBacklogMS, usefulMS*usableTimeShare) {
		return 0, false
	}
	if waitMS <= usefulMS*usableTimeShare {
		return m.retryMS(l, q, t, int64(approvalMS)-maxApprovalBacklogMS), true
	}
	return m.retryMS(l, q, t, int64(waitMS-usefulMS)), true
}

// usefulWaitMS returns how long a job can wait before its result would come too late to be of use.
func (m *Machine) usefulWaitMS(q *Queue, t *team, spec *Spec) float64 {
	pathMS := m.expectedPathMS(spec, q, t)
	return float64(usefulLatenessFactor*objectiveMS(q, pathMS) - pathMS)
}

// addAdmittedLoad adds the first steps of an accepted job to the waiting work.
func (m *Machine) addAdmittedLoad(j *job) {
	if j.overRate {
		return
	}
	l := m.loadOf(j.queue.Service)
	for i := range j.spec.Steps {
		if s := &j.spec.Steps[i]; len(s.After) == 0 {
			l.add(j.team, j.queue.Priority, l.orderClass(j.team), workOf(s.Need, s.Tasks, m.expectedTaskMS(j.queue, j.team, s)))
			if j.queue.Approval != nil {
				l.addApproval(j.team, j.queue, l.orderClass(j.team), false, m.statsOf(j.queue).stepMS)
			}
		}
	}
}
