package jobs

import (
	"cmp"
	"slices"

	"auburnpier/internal/domain"
)

// Ranks of waiting steps. Within a tier and priority, steps are ordered by rank and then deadline.
const (
	rankNormal int64 = iota
	rankOverRate
	// rankLate steps can no longer meet the objective, but a late result is still of use.
	rankLate
	// rankExpired steps finish too late to be of use.
	rankExpired
)

// usefulLatenessFactor times the objective is the time after which a result is of no use.
const usefulLatenessFactor = 3

// rank returns the rank of a waiting step.
func (m *Machine) rank(s *step) int64 {
	j := s.job
	if s.spec.LongRunning {
		return rankNormal
	}
	remaining := s.estimateMS
	switch {
	case m.nowMS+remaining > s.occurrence.deadlineMS+(usefulLatenessFactor-1)*s.occurrence.objectiveMS():
		return rankExpired
	case m.nowMS+remaining+m.lateMarginMS(s) > s.occurrence.deadlineMS:
		return rankLate
	case j.overRate:
		return rankOverRate
	}
	return rankNormal
}

// Tiers of waiting steps, which take precedence over the priority.
const (
	// tierUrgent steps miss their objective if they wait much longer.
	tierUrgent int64 = iota
	// tierDeferrable steps have slack left, or are late, or exceed their team's rate.
	tierDeferrable
	// tierOverShare steps are of a flooding team while capacity is short.
	tierOverShare
	tierExpired
)

// Bounds of a step's slack, the time that it can wait and still meet its objective.
const (
	// urgentSlackShare is the fraction of the initial slack below which a step is urgent.
	urgentSlackShare = 0.5
	// urgentSlackMS is the slack below which a step is always urgent. Approvals and free capacity
	// may take that long on a full fleet.
	urgentSlackMS = 2000
)

// tier returns the tier of a waiting step of the rank. A step with slack yields to all urgent
// steps until half of its slack is used up. Gangs do not yield, because they need the slack to
// obtain approvals and capacity. Steps above their team's rate are never urgent, so a team that
// exceeds its weight does not delay others.
func (m *Machine) tier(s *step, rank int64) int64 {
	switch {
	case rank == rankExpired:
		return tierExpired
	case rank != rankNormal:
		return tierDeferrable
	case s.spec.LongRunning || s.spec.Gang:
		return tierUrgent
	}
	slack := s.occurrence.deadlineMS - m.nowMS - s.estimateMS
	initialSlack := s.occurrence.objectiveMS() - s.occurrence.criticalPathMS
	if slack < max(urgentSlackMS, int64(urgentSlackShare*float64(initialSlack))) {
		return tierUrgent
	}
	return tierDeferrable
}

// passIntervalMS is the minimum time between scheduling passes. Changes in between are handled by
// the same pass.
const passIntervalMS = 8

// Bounds of one pass. Steps beyond them wait for the next pass.
const (
	// scansTimesWorkers bounds the product of scanned steps and workers, and with it the CPU time
	// of a pass, for any fleet size.
	scansTimesWorkers = 42_000
	minScansPerPass   = 60
	maxScansPerPass   = 400
	// gangsTimesWorkers bounds the gangs of a pass in the same way. workersPerGang permits more
	// on a large fleet.
	gangsTimesWorkers = 10_000
	minGangsPerPass   = 10
	workersPerGang    = 10
)

// servicePass is the state of a scheduling pass for the workers of one service.
type servicePass struct {
	usable []*worker
	// maxFree is, for each resource, the largest free amount on any worker. It is from before the last step that was tried, unless that was a gang,
	// and so may be too large.
	maxFree domain.Resources
	stale   bool
	// use is the share of the CPU of usable workers that is in use when the pass begins.
	use float64
	// usedMilli is the CPU of usable workers that is in use, heldMilli what is free of it and held for gangs, when the pass begins.
	usedMilli, heldMilli, capacityMilli int64
	scans                               int
	gangs                               int
	// racks divides the usable workers. It is nil until a gang needs it.
	racks []rackWorkers
}

// Schedule runs a scheduling pass, which places waiting tasks. It does nothing if nothing has
// changed or the last pass was less than passIntervalMS ago.
func (m *Machine) Schedule() {
	if !m.needsPass || m.nowMS-m.lastPassMS < passIntervalMS && m.lastPassMS > 0 {
		return
	}
	if m.startsPaused {
		for _, s := range m.ready {
			s.waitReason = waitUnconfirmed
		}
		return
	}
	m.needsPass = false
	m.lastPassMS = m.nowMS
	if len(m.ready) == 0 {
		return
	}
	for _, w := range m.sortedWorkers {
		w.heldInPass, w.heldForGangs = domain.Resources{}, domain.Resources{}
	}
	m.orderReady()
	m.servicePasses = make(map[string]*servicePass)
	m.boundUnreported()
	blocked := make(map[*team]bool)
	// Steps may leave m.ready meanwhile.
	claims := m.claimsToHold()
	var placed []*step
	for i, o := range m.order {
		if i%readAhead == 0 {
			m.linesRead += readOrdered(m.order[i:min(i+readAhead, len(m.order))])
		}
		claims = m.holdClaims(claims, o.step)
		if !o.step.ready {
			continue
		}
		m.placeStep(o.step, blocked)
		if o.step.waiting == 0 {
			placed = append(placed, o.step)
		}
	}
	clear(m.order)
	m.dropPlaced(placed)
}

// dropPlaced removes the steps without waiting tasks from m.ready. They are in its order, so that no other step has to be read.
func (m *Machine) dropPlaced(placed []*step) {
	placed = slices.DeleteFunc(placed, func(s *step) bool { return !s.ready || s.waiting > 0 })
	if len(placed) == 0 {
		return
	}
	kept := m.ready[:0]
	for _, s := range m.ready {
		if len(placed) == 0 || s != placed[0] {
			kept = append(kept, s)
			continue
		}
		placed = placed[1:]
		s.ready = false
		m.releaseHold(s)
	}
	clear(m.ready[len(kept):])
	m.ready = kept
}

// readAhead is the number of steps whose memory is read before the first of them is handled. The reads do not depend on each other, so the
// processor waits for several cache misses at once. No cache holds tens of thousands of steps.
const readAhead = 16

// readSteps reads what orderReady needs of the steps. The sum keeps the reads from being removed by the compiler.
func readSteps(steps []*step) (sum int64) {
	for _, s := range steps {
		sum += int64(s.waiting) + s.tier + s.estimateMS + s.approverWaitSinceMS
	}
	for _, s := range steps {
		if s.job.overRate || s.spec.LongRunning {
			sum++
		}
		sum += int64(s.job.queue.Priority) + s.occurrence.criticalPathMS + s.spec.Need.CPUMilli
	}
	return sum
}

// readOrdered does the same for placeStep, in the order of the pass.
func readOrdered(steps []orderedStep) (sum int64) {
	for _, o := range steps {
		sum += int64(o.step.waiting) + o.step.tier + int64(len(o.step.waitReason)) + o.step.approverWaitSinceMS
	}
	for _, o := range steps {
		if o.step.job.recovered {
			sum++
		}
		sum += int64(o.step.job.queue.Priority)
	}
	return sum
}

// serviceUse is the capacity of the workers of one service, and what of it is in use.
type serviceUse struct {
	// usable are the workers that may get new work, used and capacity their sums.
	usable         []*worker
	used, capacity domain.Resources
	// presentUsed and presentCapacity are the sums of the workers that have work or may get some soon. Admission counts these: a worker that
	// is avoided or has not reported for a moment still serves what waits.
	presentUsed, presentCapacity domain.Resources
}

// sumUse sums up the use and capacity of each service that has workers.
func (m *Machine) sumUse() map[string]*serviceUse {
	uses := make(map[string]*serviceUse, 1)
	service, u := "", (*serviceUse)(nil)
	for _, w := range m.sortedWorkers {
		if u == nil || w.service != service {
			if service, u = w.service, uses[w.service]; u == nil {
				u = &serviceUse{usable: make([]*worker, 0, len(m.sortedWorkers))}
				uses[service] = u
			}
		}
		if m.usable(w) {
			u.usable = append(u.usable, w)
			u.used, u.capacity = u.used.Add(w.used), u.capacity.Add(w.capacity)
		}
		if w.registered && w.contacted && !w.draining && !m.zoneEvacuated(w) {
			u.presentUsed, u.presentCapacity = u.presentUsed.Add(w.used), u.presentCapacity.Add(w.capacity)
		}
	}
	return uses
}

// passOf returns the state of the pass for the workers of the step's service.
func (m *Machine) passOf(s *step) *servicePass {
	service := s.job.queue.Service
	if p, ok := m.servicePasses[service]; ok {
		return p
	}
	for name, u := range m.sumUse() {
		if m.servicePasses[name] == nil {
			m.servicePasses[name] = m.newServicePass(u)
		}
	}
	if m.servicePasses[service] == nil {
		m.servicePasses[service] = &servicePass{stale: true}
	}
	return m.servicePasses[service]
}

func (m *Machine) newServicePass(u *serviceUse) *servicePass {
	p := &servicePass{usable: u.usable, usedMilli: u.used.CPUMilli, capacityMilli: u.capacity.CPUMilli, stale: true}
	p.use = float64(p.usedMilli) / float64(max(1, p.capacityMilli))
	if m.fair != nil && m.fair.flooding {
		for _, w := range p.usable {
			p.heldMilli += max(0, min(w.heldForGangs.CPUMilli, w.free().CPUMilli))
		}
	}
	return p
}

// mayFit reports whether a task of the step may fit a worker.
func (m *Machine) mayFit(s *step, p *servicePass) bool {
	if p.stale {
		m.measureFree(s, p)
	}
	return s.spec.Reserved().Fits(p.maxFree)
}

func (m *Machine) measureFree(s *step, p *servicePass) {
	p.stale = false
	p.maxFree = domain.Resources{}
	for _, w := range p.usable {
		p.maxFree = p.maxFree.Max(m.freeFor(s, w))
	}
}

// usableFor returns the usable workers of the step's service.
func (m *Machine) usableFor(s *step) []*worker { return m.passOf(s).usable }

// orderKey holds the keys of a step's place in the order that change. group is its tier, priority and rank.
type orderKey struct{ group, deadlineMS int64 }

// orderedStep is a step with its first keys, which decide about nearly all pairs.
type orderedStep struct {
	orderKey
	step *step
}

// ranksPerPriority is the number of values of rankByShare, two for each of the four ranks, so all 8 are in use. prioritiesPerTier exceeds the number of
// priorities.
const (
	ranksPerPriority  = 8
	prioritiesPerTier = 1 << 32
)

// orderReady puts the waiting steps into the order of compareSteps, sums up the demand of each team and what gangs hold, and determines which expired step has its turn. Tens of thousands may wait, which no
// cache holds, so each is read once. Steps with the keys of the last pass are still in order among themselves, so only the others are sorted, and
// then merged with them.
func (m *Machine) orderReady() {
	m.order, m.reordered, m.holds = m.order[:0], m.reordered[:0], 0
	for _, t := range m.teams {
		clear(t.demand)
	}
	var next orderedStep
	turn := m.hasExpiredTurn()
	for i, s := range m.ready {
		if i%readAhead == 0 {
			m.linesRead += readSteps(m.ready[i:min(i+readAhead, len(m.ready))])
		}
		m.updateEstimate(s)
		s.lastAttempt = s.hasLastAttempt()
		s.rank = m.rank(s)
		s.tier = m.tier(s, s.rank)
		m.setOrderClass(s)
		s.sumDemand()
		m.sumHold(s)
		key := orderKey{(s.tier*prioritiesPerTier+int64(s.job.queue.Priority))*ranksPerPriority + s.rankByShare(), s.occurrence.deadlineMS}
		if turn && m.comesBefore(orderedStep{key, s}, next) {
			next = orderedStep{key, s}
		}
		if s.ordered && s.orderKey == key {
			m.order = append(m.order, orderedStep{key, s})
			continue
		}
		s.ordered, s.orderKey = true, key
		m.reordered = append(m.reordered, orderedStep{key, s})
	}
	for _, t := range m.teams {
		t.addSummed()
	}
	m.giveExpiredTurn(next.step)
	slices.SortFunc(m.reordered, compareOrdered)
	m.order = mergeOrdered(m.order, m.reordered)
	clear(m.reordered)
	for i, o := range m.order {
		if m.ready[i] != o.step {
			m.ready[i] = o.step
		}
	}
}

// compareOrdered compares the keys as they were read, and then those that never change.
func compareOrdered(a, b orderedStep) int {
	if a.group != b.group {
		return cmp.Compare(a.group, b.group)
	}
	if a.deadlineMS != b.deadlineMS {
		return cmp.Compare(a.deadlineMS, b.deadlineMS)
	}
	if c := cmp.Compare(a.step.job.id, b.step.job.id); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.step.number, b.step.number), cmp.Compare(a.step.occurrence.number, b.step.occurrence.number))
}

// mergeOrdered merges a sorted list into another one from the end, so that the steps before the first merged one stay where they are.
func mergeOrdered(list, added []orderedStep) []orderedStep {
	i, j := len(list)-1, len(added)-1
	list = append(list, added...)
	for at := len(list) - 1; j >= 0; at-- {
		if i >= 0 && compareOrdered(list[i], added[j]) > 0 {
			list[at] = list[i]
			i--
		} else {
			list[at] = added[j]
			j--
		}
	}
	return list
}

// compareSteps compares the places of two waiting steps in the order of a pass, by the keys of compareOrdered. It reads a key only if the ones before it are equal, because no cache
// holds the IDs of all jobs.
func compareSteps(a, b *step) int {
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	if p, q := a.job.queue.Priority, b.job.queue.Priority; p != q {
		return cmp.Compare(p, q)
	}
	if p, q := a.rankByShare(), b.rankByShare(); p != q {
		return cmp.Compare(p, q)
	}
	if p, q := a.occurrence.deadlineMS, b.occurrence.deadlineMS; p != q {
		return cmp.Compare(p, q)
	}
	if c := cmp.Compare(a.job.id, b.job.id); c != 0 {
		return c
	}
	return cmp.Compare(a.number, b.number)
}

// sumDemand computes the demand of each team.
func (m *Machine) sumDemand() {
	for _, t := range m.teams {
		clear(t.demand)
	}
	for _, s := range m.ready {
		s.sumDemand()
	}
	for _, t := range m.teams {
		t.addSummed()
	}
}

// sumDemand adds the demand of the step to that of its team.
func (s *step) sumDemand() {
	if s.tier == tierExpired || s.spec.LongRunning {
		return
	}
	t, priority := s.job.team, s.job.queue.Priority
	d := &t.summing
	if d.priority != priority {
		t.addSummed()
		d.priority = priority
	}
	d.need = d.need.Add(s.spec.Need.Scale(int64(s.waiting)))
	d.tasks += s.waiting
	d.sumMS += int64(s.waiting) * s.estimateMS
}

// boundUnreported computes an upper bound of what each team may be running on workers that have
// not reported since the takeover: no more than its waiting recovered tasks need, and no more than
// the capacity of those workers.
func (m *Machine) boundUnreported() {
	for _, t := range m.teams {
		t.maxUnreported = domain.Resources{}
	}
	if len(m.suspects) == 0 {
		return
	}
	for _, s := range m.ready {
		if j := s.job; j.recovered && !j.state.Terminal() {
			j.team.maxUnreported = j.team.maxUnreported.Add(s.spec.Need.Scale(int64(s.waiting)))
		}
	}
	capacity := m.suspectCapacity()
	for _, t := range m.teams {
		if t.parked > 0 {
			t.maxUnreported = capacity
		}
		t.maxUnreported = t.maxUnreported.Min(capacity)
	}
}

// suspectCapacity returns the total capacity of the workers that have not reported. A worker whose
// capacity is not known counts as the largest one.
func (m *Machine) suspectCapacity() domain.Resources {
	var total, largest domain.Resources
	for _, w := range m.sortedWorkers {
		largest = largest.Max(w.capacity)
	}
	for id := range m.suspects {
		if w, ok := m.workers[id]; ok {
			total = total.Add(w.capacity)
			continue
		}
		total = total.Add(largest)
	}
	return total
}

// placeStep places as many tasks of one step as possible, and requests approvals.
func (m *Machine) placeStep(s *step, blocked map[*team]bool) {
	j := s.job
	if j.state.Terminal() || s.waiting == 0 {
		return
	}
	if m.awaitsRecovery(s) {
		return
	}
	if !m.canProceed(s) {
		return
	}
	p := m.passOf(s)
	s.waitReason = waitNextPass
	if p.scans >= min(maxScansPerPass, max(minScansPerPass, scansTimesWorkers/max(1, len(p.usable)))) {
		return
	}
	if s.spec.Gang {
		if s.waiting < s.open {
			s.waitReason = waitRepair
			m.repairGang(s)
			p.stale = true
			return
		}
		// A gang that cannot start does not count against the bounds of the pass.
		if !m.gangCanStart(s, blocked) || !m.leavesRoomForOthers(s, p, s.open) {
			return
		}
		if p.gangs++; p.gangs <= gangsPerPass(len(p.usable)) {
			p.scans++
			m.placeGang(s)
			p.stale = true
		}
		return
	}
	if blocked[j.team] {
		s.waitReason = waitTeamLimit
		return
	}
	s.waitReason = m.capacityReason()
	if !m.mayFit(s, p) {
		m.makeRoom(s, p)
		return
	}
	p.scans++
	m.measureFree(s, p)
	limited := false
	s.eachWaiting(func(index int, t *task) bool {
		if t != nil && !m.startable(t) {
			return true
		}
		limited = !m.teamPermits(s, blocked)
		if limited {
			return false
		}
		if limited = !m.leavesRoomForOthers(s, p, 1); limited {
			return false
		}
		if t == nil && !m.mayActivate(1) {
			s.waitReason = waitMemory
			limited = true
			return false
		}
		w, _ := m.pick(s)
		if w == nil || !j.durable {
			return false
		}
		t = m.task(s, index)
		m.start(t, w, max(t.lastRun, m.firstRunNumber(j))+1)
		m.countChoice()
		return true
	})
	if s.waiting > 0 && !limited {
		m.makeRoom(s, p)
		m.reserveForWaiting(s)
	}
}

// awaitsRecovery reports whether the step must not start yet because runs of a former owner may not be known, or because
// its occurrence was found before it is due by this instance's clock.
func (m *Machine) awaitsRecovery(s *step) bool {
	switch {
	case s.early && !m.isDue(s):
		s.waitReason = waitDue
	case s.job.recovered && len(m.suspects) > 0:
		s.waitReason = waitSuspects
	case s.job.team.demanded > 0:
		s.waitReason = waitParked
	default:
		return false
	}
	return true
}

// teamPermits reports whether the team's limit permits one more task of the step.
func (m *Machine) teamPermits(s *step, blocked map[*team]bool) bool {
	t := s.job.team
	switch {
	case !t.withinLimit(s.spec.Need):
		blocked[t] = true
		s.waitReason = waitTeamLimit
	case !t.leavesRoomForUrgent(s, s.spec.Need):
		s.waitReason = waitTeamUrgent
	default:
		return true
	}
	return false
}

func gangsPerPass(workers int) int {
	return max(minGangsPerPass, workers/workersPerGang, gangsTimesWorkers/max(1, workers))
}

// startable reports whether a waiting task may be started: any restart delay is over, and the
// abandonment of its previous run, or the worker that terminated under it, is stored.
func (m *Machine) startable(t *task) bool {
	return m.nowMS >= t.notBeforeMS && t.abandonedVersion <= t.step.job.storedVersion
}

// firstRunNumber returns the start of this owner's range of run numbers, exclusive. The runs of
// former owners are not stored, so each epoch has a range of its own.
func (m *Machine) firstRunNumber(j *job) int {
	return int(m.cfg.Epoch-j.epoch) * runsPerEpoch
}

// runsPerEpoch exceeds the number of times that one owner starts a task.
const runsPerEpoch = 1000

// freeFor returns what the step may use of a worker: its free resources less those held for
// steps earlier in the order. A flooding team may not use what gangs of other teams hold, whether or not they come earlier. The
// step is nil where room is taken up for runs that leave early.
func (m *Machine) freeFor(s *step, w *worker) domain.Resources {
	if s != nil && s.class == behindUseful {
		return w.free().Sub(w.heldInPass.Max(w.heldForGangs))
	}
	return w.free().Sub(w.heldInPass)
}

// usable reports whether the worker may get new work.
func (m *Machine) usable(w *worker) bool { return m.unusableReason(w) == notExcluded }

// exclusion is why a task is not placed on a worker.
type exclusion uint8

const (
	notExcluded exclusion = iota
	excludedLabel
	excludedSize
	excludedUnlisted
	excludedNoReport
	excludedNotDescribed
	excludedNotStored
	excludedUnknownRuns
	excludedDraining
	excludedMaintenance
	excludedZone
	excludedUnconfirmedEnds
	excludedAvoided
	excludedUntrusted
	excludedDenied
	excludedMaxPerWorker
	// excludedReserved workers have room, but reserve it for other steps, most of them gangs.
	excludedReserved
	excludedFull
)

// unusableReason returns why the worker gets no new work, or notExcluded.
func (m *Machine) unusableReason(w *worker) exclusion {
	switch {
	case !w.registered:
		return excludedUnlisted
	case !w.contacted || !w.clockKnown:
		return excludedNoReport
	case !w.isDescribed():
		return excludedNotDescribed
	case !w.inStoredMembers:
		return excludedNotStored
	case w.unknownRuns != 0:
		return excludedUnknownRuns
	case w.draining:
		return excludedDraining
	case w.evacuating:
		return excludedMaintenance
	case m.zoneEvacuated(w):
		return excludedZone
	case w.hasTooManyWithheldEnds():
		return excludedUnconfirmedEnds
	case m.nowMS < w.health.avoidUntilMS:
		return excludedAvoided
	case !m.reportedRecently(w) || w.pollFailed:
		// What is sent to a worker that does not answer may reach its next life.
		return excludedNoReport
	}
	return notExcluded
}

// maxReportAgeMS is the age of a worker's last report beyond which it gets no new work.
const maxReportAgeMS = 1800

// unfitReason returns why no task of the step is placed on a usable worker of which so much is free, or notExcluded.
// Approvals that are missing or have expired are not considered.
func (m *Machine) unfitReason(s *step, w *worker, need, free domain.Resources) exclusion {
	switch {
	case !need.Fits(free):
		return excludedFull
	case !w.hasLabel(s.spec.Label):
		return excludedLabel
	case !s.mayBeApproved(w):
		return excludedDenied
	case !m.trusts(s, w):
		return excludedUntrusted
	case s.spec.MaxPerWorker > 0 && s.tasksPerWorker[w.id] >= s.spec.MaxPerWorker:
		return excludedMaxPerWorker
	}
	return notExcluded
}

// pick returns the worker with the lowest cost for one task of the step, or nil if none fits, and the cost.
func (m *Machine) pick(s *step) (best *worker, bestCost float64) {
	need := s.spec.Reserved()
	var plain *worker
	plainCost := 0.0
	m.clearChoice()
	neighbourCosts, separate := m.separationOf(s)
	suspicions := m.slow.anySuspected()
	for _, w := range m.usableFor(s) {
		free := m.freeFor(s, w)
		if m.unfitReason(s, w, need, free) != notExcluded || !m.approved(s, w) {
			continue
		}
		c := m.cost(s, w, free.Sub(need))
		if m.breaksHold(s, w, need) {
			c += brokenHoldCost
		}
		if separate {
			if plain == nil || c < plainCost {
				plain, plainCost = w, c
			}
			c += neighbourCosts.cost(m.separation, w)
		}
		if suspicions {
			m.slow.consider(w, c, m.suspicionCost(s, w))
		}
		if best == nil || c < bestCost {
			best, bestCost = w, c
		}
	}
	if separate {
		m.noteChoice(s, &neighbourCosts, plain, best)
	}
	m.slow.noteChoice(best)
	return best, bestCost
}

// Weights of the placement cost.
const (
	slownessCost = 1.0
	offRackCost  = 1.0
	fitCost      = 2.0
	// doubtCost outweighs the other parts, so that a doubted worker gets work only if no other has room.
	doubtCost    = 10.0
	unprovenCost = 1.0
	// brokenHoldCost keeps tasks off capacity that a gang holds while its approvals are under way. A gang
	// needs all of it at once, and asks and preempts again for a single part that is taken.
	brokenHoldCost = 5.0
)

// cost returns the placement cost of a task on a worker on which left would remain free. It is
// lower for fast workers, for workers near the data, and for a tight fit, which keeps large blocks
// of free capacity for gangs. Long-running and best-effort tasks are spread out instead.
func (m *Machine) cost(s *step, w *worker, left domain.Resources) float64 {
	c := m.speedCost(s, w) + m.healthCost(s, w) + m.suspicionCost(s, w)
	if s.spec.DataRack != "" && s.spec.DataRack != w.rack {
		c += offRackCost * (m.cfg.OffRackFactor - 1)
	}
	if s.spec.BestEffort {
		c += m.bestEffortCost(w)
	}
	if s.spec.LongRunning || s.spec.BestEffort {
		return c - fitCost*left.DominantShare(w.capacity)
	}
	return c + fitCost*left.DominantShare(w.capacity)
}

// reserveForWaiting reserves capacity for the step's waiting tasks for the rest of this pass, and
// requests missing approvals.
func (m *Machine) reserveForWaiting(s *step) {
	need := s.spec.Reserved()
	candidates := m.unapproved[:0]
	reserved := 0
	for _, w := range m.usableFor(s) {
		n := m.roomFor(s, w)
		if n == 0 {
			continue
		}
		if !m.approved(s, w) {
			candidates = append(candidates, w)
		}
		if reserved < s.waiting && s.verdict(w) == verdictApproved {
			n = min(n, s.waiting-reserved)
			w.heldInPass = w.heldInPass.Add(need.Scale(int64(n)))
			reserved += n
		}
	}
	m.unapproved = candidates
	if s.job.queue.Approval != nil && reserved < s.waiting || len(candidates) > 0 && reserved > 0 {
		s.waitReason = waitApproval
		if len(candidates) == 0 && !s.approvalPending {
			s.waitReason = waitNoApproval
		}
		m.requestBestApprovals(s, candidates)
	}
	if !s.job.durable {
		s.waitReason = waitNotStored
	}
}

// roomFor returns how many of the step's waiting tasks the worker has room for, unless it is denied for the step.
func (m *Machine) roomFor(s *step, w *worker) int {
	need := s.spec.Reserved()
	if m.unfitReason(s, w, need, m.freeFor(s, w)) != notExcluded {
		return 0
	}
	return m.countFitting(s, w, need)
}

// start places a task on a worker and sends the start order.
func (m *Machine) start(t *task, w *worker, number int) {
	r := m.place(t, w, number)
	r.phase = runSent
	r.placedMS, r.orderedMS = m.nowMS, m.nowMS
	if p := m.servicePasses[t.step.job.queue.Service]; p != nil && m.fair != nil {
		p.usedMilli += r.reserved.CPUMilli
	}
	r.resendsLeft = maxStartResends
	r.startLimitClockMS = m.nowMS + w.clockOffset + m.cfg.StartLimitMS
	m.extendLease(w, m.cfg.StartLimitMS)
	m.out.Starts = append(m.out.Starts, m.startOrder(r))
	m.out.recordRun("run_start", r, "")
}

// markStarted records that a task of the job has begun. A start order without an answer proves nothing.
func (m *Machine) markStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	if !j.spec.Recurring() && !j.recovered {
		m.out.TimeToFirstStartMS = append(m.out.TimeToFirstStartMS, max(0, m.unixMS-j.acceptedUnixMS))
	}
}

// maxStartResends is how often an unanswered start order is sent again.
const maxStartResends = 4

func (m *Machine) startOrder(r *run) StartOrder {
	t, w := r.task, r.worker
	return StartOrder{
		Worker: w.id, Address: w.address, Task: t.id(), Run: r.number, Payload: t.step.job.spec.Payload,
		LimitClockMS: r.startLimitClockMS, Checkpoint: t.checkpoint, Ticket: t.step.ticket(w).ticket,
	}
}

// place creates a run and reserves its resources.
func (m *Machine) place(t *task, w *worker, number int) *run {
	s := t.step
	r := &run{task: t, number: number, worker: w, reserved: s.spec.Reserved(), need: s.spec.Need, throttle: fullSpeed}
	w.runs[t.id()] = r
	s.reserve(w)
	t.raiseLastRun(number)
	t.startedRun = max(t.startedRun, number)
	t.runs = append(t.runs, r)
	w.lastPlacedMS = m.nowMS
	w.isolate(r)
	m.runArrives(r)
	r.slowed = m.slowedOn(w)
	if t.phase == taskWaiting {
		t.phase = taskActive
		if s.waiting--; s.waiting == 0 {
			m.observeApprovals(s)
		}
	}
	return r
}

// reserve counts the resources of a task of the step as used on the worker.
func (s *step) reserve(w *worker) {
	w.used = w.used.Add(s.spec.Reserved())
	s.job.team.used = s.job.team.used.Add(s.spec.Need)
	s.tasksPerWorker[w.id]++
	if s.hold != nil {
		s.hold[w] = s.hold[w].Sub(s.spec.Reserved()).Max(domain.Resources{})
	}
}
