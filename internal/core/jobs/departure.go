package jobs

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"auburnpier/internal/core/departure"
	"auburnpier/internal/core/runtimes"
	"auburnpier/internal/domain"
)

// Parameters of runs that leave workers which are about to end.
const (
	// maxDepartureReportMS is the age of a worker's last report beyond which nothing is decided about its runs.
	maxDepartureReportMS = 1000
	// lossDetectionMS is the least time from the end of a worker until its runs count as lost: a poll that fails, and two lists of VMs. Without
	// a list, it is the rest of the lease, several seconds.
	lossDetectionMS = 1000
	// checkpointMarginMS is added to Config.StopMS for the transit of a stop order and of the end that it causes.
	checkpointMarginMS = 500
	// maxRoomWaitMS bounds the time until room is free that counts. Tasks would wait for later room, and others could take it.
	maxRoomWaitMS = 2000
	// departureClaimMS, and Config.StopMS, is how long a task that has left needs room. One that has not started by then waits for something else.
	departureClaimMS = maxRoomWaitMS
	// maxSearchedWorkers bounds the workers on which runs are looked for that end soon: all of 1,500 take over 2 ms. The next plan goes on
	// with other workers.
	maxSearchedWorkers = 400
)

// departures is what is known of runs that were stopped early. A new owner begins without.
type departures struct {
	claims []departureClaim
	// checkpoint, restart and gang count runs by kind. discarded is in thousandths of a core times milliseconds.
	checkpoint, restart, gang int64
	discarded, savedMS        int64
	// searchFrom is the number of the worker with which the next search for runs that end soon begins.
	searchFrom int
	// memory is that of the last plan, for the next one, as long as workers are about to end. plans counts the plans.
	memory departurePlan
	plans  int64
}

// departureClaim is the room that a task which has left will take up.
type departureClaim struct {
	task    *task
	number  int
	untilMS int64
	// worker has the room. held is set if the last pass held it there.
	worker *worker
	held   bool
}

// DeparturesView counts runs that were stopped early because their worker was about to end, since the term began.
type DeparturesView struct {
	// Checkpoint and Restart count single runs that go on from a checkpoint, or begin again. Gang counts members of gangs.
	Checkpoint int64 `json:"checkpoint"`
	Restart    int64 `json:"restart"`
	Gang       int64 `json:"gang"`
	// DiscardedCoreS is the work that has to be done again, SavedMS the estimated time by which tasks end earlier.
	DiscardedCoreS int64 `json:"discarded_core_s"`
	SavedMS        int64 `json:"saved_ms"`
}

func (m *Machine) departuresView() *DeparturesView {
	if !m.cfg.Features.EarlyDeparture {
		return nil
	}
	d := &m.departures
	return &DeparturesView{d.checkpoint, d.restart, d.gang, d.discarded / 1_000_000, d.savedMS}
}

// departurePlan collects what departure.Plan decides on.
type departurePlan struct {
	m *Machine
	// runs are those that leave if there is room, and tasks that have left, whose run in of is nil.
	runs []departure.Run
	of   []*run
	// kinds are the steps, by step.departureKind. A gang's number is its kind plus one.
	kinds   []departureKind
	workers []*worker
	rooms   []domain.Resources
	need    domain.Resources
}

// departureKind is what is alike for all runs of a step.
type departureKind struct {
	step *step
	// mayLeave is set if runs of the step may be stopped, gangAdded if it is a gang that is in the plan or stays.
	mayLeave, gangAdded bool
	// described is set once the rest is, for steps of which a run may leave or has left.
	described         bool
	expected          runtimes.Expectation
	need              domain.Resources
	startMS           int64
	slackMS, usefulMS int64
}

// planDepartures stops runs on draining and evacuating workers that would be lost there and can start elsewhere.
func (m *Machine) planDepartures() {
	if !m.cfg.Features.EarlyDeparture {
		return
	}
	m.dropClaims()
	if m.startsPaused {
		return
	}
	d := &m.departures
	p := d.newPlan(m)
	for _, w := range m.sortedWorkers {
		if leftMS, ends := m.endsIn(w); ends && len(w.runs) > 0 && m.reportedLately(w) {
			p.addWorker(w, leftMS)
		}
	}
	if len(p.runs) == 0 {
		d.memory = departurePlan{}
		return
	}
	p.addClaims()
	p.findRoom()
	keys, at := departure.Plan(p.runs, p.rooms, p.fits)
	places := make(map[*run]*worker)
	for i, key := range keys {
		if p.runs[key].Gang != 0 {
			places[p.of[key]] = p.workers[at[i]]
		}
	}
	m.out.Decisions, m.out.Stops = slices.Grow(m.out.Decisions, 2*len(keys)), slices.Grow(m.out.Stops, len(keys))
	d.claims = slices.Grow(d.claims, len(keys))
	for i, key := range keys {
		p.stop(int(key), p.workers[at[i]], places)
	}
}

// newPlan returns a plan without runs, with room for all that may be added.
func (d *departures) newPlan(m *Machine) *departurePlan {
	count := len(d.claims)
	for _, w := range m.sortedWorkers {
		if _, ends := m.endsIn(w); ends {
			count += len(w.runs)
		}
	}
	d.plans++
	p := &d.memory
	// Runs, steps and jobs of a larger plan before would stay in memory.
	clear(p.of[:cap(p.of)])
	clear(p.kinds[:cap(p.kinds)])
	clear(p.workers[:cap(p.workers)])
	*p = departurePlan{m: m, runs: slices.Grow(p.runs[:0], count), of: slices.Grow(p.of[:0], count), kinds: p.kinds[:0], workers: p.workers[:0],
		rooms: p.rooms[:0]}
	return p
}

// addWorker adds the runs of a worker that are to leave.
func (p *departurePlan) addWorker(w *worker, leftMS int64) {
	// On the stack, which needs no write barriers.
	var buffer [64]*run
	sorted := buffer[:0]
	for _, r := range w.runs {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(a, b *run) int {
		// Nearly all pairs are of different jobs.
		if x, y := a.task.step.job, b.task.step.job; x != y {
			return strings.Compare(string(x.id), string(y.id))
		}
		return compareTasks(a.task.id(), b.task.id())
	})
	for _, r := range sorted {
		p.add(r, leftMS)
	}
}

// endsIn returns the least time until the worker ends, and whether it is known to end.
func (m *Machine) endsIn(w *worker) (leftMS int64, ends bool) {
	leftMS = math.MaxInt64
	if w.draining {
		leftMS = w.drainDeadlineMS - m.nowMS
	}
	if w.evacuating {
		leftMS = min(leftMS, w.evacuateByMS-m.nowMS)
	}
	return leftMS, w.draining || w.evacuating
}

func (m *Machine) reportedLately(w *worker) bool {
	return w.answers() && m.nowMS-w.lastReportMS <= maxDepartureReportMS
}

// mayDepart reports whether the run may be stopped so that its task starts elsewhere at once, if that holds for its step.
func (m *Machine) mayDepart(r *run) bool {
	return r.phase == runConfirmed && !r.task.departed && len(r.task.runs) == 1 && m.startable(r.task)
}

// stepMayDepart reports whether runs of the step may be stopped so that their tasks start elsewhere at once.
func (m *Machine) stepMayDepart(s *step) bool {
	j := s.job
	return !s.spec.LongRunning && j.durable && !j.state.Terminal() && !(j.recovered && len(m.suspects) > 0) && j.team.demanded == 0 &&
		m.approvalExpected(j.queue) && m.limitLeaves(s)
}

// approvalExpected reports whether tasks of the queue need no approval, or instances are known that send requests for it.
func (m *Machine) approvalExpected(q *Queue) bool {
	if q.Approval == nil {
		return true
	}
	_, ok := m.approvers.NextSendMS(m.nowMS)
	return ok
}

// limitLeaves reports whether the limit of the team permits the waiting steps that may come before this one, so that they don't take the place
// of a run that is stopped.
func (m *Machine) limitLeaves(s *step) bool {
	if len(m.ready) == 0 || s.job.team.Limit.IsZero() {
		return true
	}
	need := domain.Resources{}
	for priority, d := range s.job.team.demand {
		if priority <= s.job.queue.Priority {
			need = need.Add(d.need)
		}
	}
	return need.IsZero() || s.job.team.withinLimit(need)
}

func (p *departurePlan) add(r *run, leftMS int64) {
	kind := p.kind(r.task.step)
	k := &p.kinds[kind]
	switch {
	case !k.mayLeave:
	case k.step.spec.Gang:
		if !k.gangAdded {
			k.gangAdded = true
			p.addGang(kind)
		}
	case p.m.mayDepart(r):
		p.append(r, p.describe(kind, r, leftMS, r.worker.speed))
		if last := len(p.runs) - 1; !p.m.leaves(&p.runs[last]) {
			p.need = p.need.Sub(p.runs[last].Need)
			p.runs, p.of = p.runs[:last], p.of[:last]
		}
	}
}

// addGang adds the members of a gang that need room elsewhere. The others can start again where they are.
func (p *departurePlan) addGang(kind int) {
	m, s := p.m, p.kinds[kind].step
	if s.waiting > 0 {
		return
	}
	var movable []*run
	leftMS := int64(math.MaxInt64)
	for _, t := range s.active {
		if t.phase == taskDone {
			continue
		}
		if len(t.runs) != 1 || !m.mayDepart(t.runs[0]) {
			return
		}
		w := t.runs[0].worker
		memberLeftMS, ends := m.endsIn(w)
		if ends && !m.reportedLately(w) {
			return
		}
		leftMS = min(leftMS, memberLeftMS)
		if !m.usable(w) {
			movable = append(movable, t.runs[0])
		}
	}
	if len(movable) == 0 {
		return
	}
	speed := m.runSpeed(movable[0])
	var gang departure.Run
	for i, r := range movable {
		if d := p.describe(kind, r, leftMS, speed); i == 0 || d.RemainingMS > gang.RemainingMS {
			gang = d
		}
	}
	if !m.leaves(&gang) {
		return
	}
	gang.Gang = departure.GroupKey(kind + 1)
	for _, r := range movable {
		p.append(r, gang)
	}
}

// leaves reports whether the run is better stopped now. A stop that may be confirmed only after the end of the worker saves nothing.
func (m *Machine) leaves(d *departure.Run) bool { return d.LeftMS >= m.cfg.StopMS && d.Leaves() }

// kind returns the number of the step.
func (p *departurePlan) kind(s *step) int {
	if s.departurePlan != p.m.departures.plans {
		s.departurePlan, s.departureKind = p.m.departures.plans, len(p.kinds)
		p.kinds = append(p.kinds, departureKind{step: s, mayLeave: p.m.stepMayDepart(s)})
	}
	return s.departureKind
}

// described returns what is alike for all runs of the step with that number.
func (p *departurePlan) described(kind int) *departureKind {
	k := &p.kinds[kind]
	if !k.described {
		m, s := p.m, k.step
		k.described, k.expected, k.need, k.startMS = true, m.expectStep(s).Given(s.shown), s.spec.Reserved(), m.expectedStartMS(s)
		k.slackMS = s.occurrence.deadlineMS - s.restMS - m.nowMS
		k.usefulMS = k.slackMS + (usefulLatenessFactor-1)*s.occurrence.objectiveMS()
	}
	return k
}

func (p *departurePlan) append(r *run, d departure.Run) {
	d.Key = departure.Key(len(p.runs))
	p.runs = append(p.runs, d)
	p.of = append(p.of, r)
	p.need = p.need.Add(d.Need)
}

// dropClaims drops the claims of tasks that have started elsewhere or do not start any more.
func (m *Machine) dropClaims() {
	m.departures.claims = slices.DeleteFunc(m.departures.claims, func(c departureClaim) bool {
		return m.nowMS >= c.untilMS || c.task.phase == taskDone || c.task.startedRun != c.number || c.task.step.job.state.Terminal()
	})
}

// addClaims adds the tasks that have left and not started elsewhere.
func (p *departurePlan) addClaims() {
	for _, c := range p.m.departures.claims {
		kind := p.kind(c.task.step)
		p.append(nil, departure.Run{Kind: kind, Need: p.described(kind).need, Stopped: true})
	}
}

// claimsToHold returns the claims of tasks that do not wait yet, in the order of their steps. Steps that wait reserve room themselves.
func (m *Machine) claimsToHold() []*departureClaim {
	m.dropClaims()
	var list []*departureClaim
	for i := range m.departures.claims {
		c := &m.departures.claims[i]
		c.held = false
		if c.task.phase != taskWaiting {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(a, b *departureClaim) int { return compareSteps(a.task.step, b.task.step) })
	return list
}

// holdClaims holds the room of the claims that come before the step against the rest of the pass, and returns the other claims.
func (m *Machine) holdClaims(claims []*departureClaim, s *step) []*departureClaim {
	for len(claims) > 0 && compareSteps(claims[0].task.step, s) < 0 {
		c := claims[0]
		claims = claims[1:]
		if need := c.task.step.spec.Reserved(); m.usable(c.worker) && need.Fits(m.freeFor(nil, c.worker)) {
			c.worker.heldInPass = c.worker.heldInPass.Add(need)
			c.held = true
			m.passOf(c.task.step).stale = true
		}
	}
	return claims
}

// describe returns what is expected of the run, on a worker or in a gang of that speed.
func (p *departurePlan) describe(kind int, r *run, leftMS int64, speed float64) departure.Run {
	m, k := p.m, p.described(kind)
	left := m.remaining(r, &k.expected, speed)
	restMS, wholeMS := int64(float64(left.meanMS)*speed), int64(float64(left.elapsedMS+left.meanMS)*speed)
	// What a checkpointable run has done is saved when it is stopped, and lost with its worker unless it has reported a checkpoint.
	againMS, lostMS := wholeMS, wholeMS
	checkpointable := k.step.spec.Checkpointable
	if checkpointable {
		againMS = restMS
		if r.task.checkpoint != "" {
			lostMS = restMS
		}
	}
	return departure.Run{Kind: kind, LeftMS: leftMS, ElapsedMS: left.elapsedMS, RemainingMS: left.meanMS, P90MS: left.p90MS,
		RestartMS: m.cfg.StopMS/2 + k.startMS + againMS, LossMS: max(0, leftMS) + lossDetectionMS + k.startMS + lostMS,
		Checkpoint: checkpointable, Need: k.need, SlackMS: k.slackMS, UsefulMS: k.usefulMS}
}

// expectedStartMS returns how long a task of the step is expected to take to start where there is room.
func (m *Machine) expectedStartMS(s *step) int64 {
	q := s.job.queue
	if q.Approval == nil {
		return startTransitMS
	}
	sendMS, _ := m.approvers.NextSendMS(m.nowMS)
	return startTransitMS + max(0, sendMS-m.nowMS) + int64(m.statsOf(q).stepMS)
}

// findRoom adds the workers that may get new work, with the room that they have. If that may not be enough, it counts what becomes free within
// the shortest notice, too, on as many workers as needed, unless other steps of the service wait for it.
func (p *departurePlan) findRoom() {
	m := p.m
	claimed := make(map[*worker]domain.Resources)
	for _, c := range m.departures.claims {
		if c.held {
			claimed[c.worker] = claimed[c.worker].Add(c.task.step.spec.Reserved())
		}
	}
	free, none := domain.Resources{}, domain.Resources{}
	for _, w := range m.sortedWorkers {
		if m.usable(w) {
			// The holds are those of the last pass, and there are none without waiting steps.
			room := w.free()
			if len(m.ready) > 0 {
				room = m.freeFor(nil, w).Add(claimed[w])
			}
			p.workers, p.rooms = append(p.workers, w), append(p.rooms, room)
			free = free.Add(room.Max(none))
		}
	}
	// Half of the room may be in pieces that are too small, or on workers that are not approved.
	if p.need.Scale(2).Fits(free) {
		return
	}
	awaited := p.awaitedServices()
	withinMS := int64(maxRoomWaitMS)
	for i := range p.runs {
		if !p.runs[i].Stopped {
			withinMS = min(withinMS, max(0, p.runs[i].LeftMS))
		}
	}
	from := &m.departures.searchFrom
	for range min(len(p.workers), maxSearchedWorkers) {
		i := *from % len(p.workers)
		*from = i + 1
		w := p.workers[i]
		if awaited[w.service] {
			continue
		}
		before := p.rooms[i].Max(none)
		for _, r := range w.runs {
			if m.endsWithin(r, withinMS) {
				p.rooms[i] = p.rooms[i].Add(r.reserved).Min(w.capacity)
			}
		}
		free = free.Add(p.rooms[i].Max(none)).Sub(before)
		if p.need.Scale(2).Fits(free) {
			return
		}
	}
}

// awaitedServices returns the services in which tasks wait that come before one that might leave, other than those that have left.
func (p *departurePlan) awaitedServices() map[string]bool {
	last := make(map[string]*step)
	for i := range p.kinds {
		s := p.kinds[i].step
		if !p.kinds[i].described {
			continue
		}
		if l := last[s.job.queue.Service]; l == nil || compareSteps(s, l) > 0 {
			last[s.job.queue.Service] = s
		}
	}
	left := make(map[*step]int)
	for _, c := range p.m.departures.claims {
		if c.task.phase == taskWaiting {
			left[c.task.step]++
		}
	}
	awaited := make(map[string]bool)
	for _, s := range p.m.ready {
		service := s.job.queue.Service
		if l := last[service]; l != nil && !awaited[service] && s.waiting > left[s] && compareSteps(s, l) <= 0 {
			awaited[service] = true
		}
	}
	return awaited
}

// fits reports whether one more task of the step may be placed on the worker, beside those planned there. Of the workers about which the approval
// service has not decided, as many count as it is expected to approve.
func (p *departurePlan) fits(kind, at, planned int) bool {
	m, s, w := p.m, p.kinds[kind].step, p.workers[at]
	q := s.job.queue
	if w.service != q.Service || m.unfitReason(s, w, domain.Resources{}, domain.Resources{}) != notExcluded {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.tasksPerWorker[w.id]+planned >= s.spec.MaxPerWorker {
		return false
	}
	if q.Approval == nil || s.verdict(w) == verdictApproved {
		return true
	}
	return s.expectedApproved(w.slot, m.statsOf(q).rate)
}

// expectedApproved reports whether the worker in that slot counts as approved for the step, which is the case for a share of the slots.
func (s *step) expectedApproved(slot int, rate float64) bool {
	return float64(mixSlot(s.hashSeed(), slot)) < rate*math.MaxUint32
}

// stop stops the run with that number, or its gang, early. place is the worker whose room a single run takes up, places has those of members of gangs.
func (p *departurePlan) stop(i int, place *worker, places map[*run]*worker) {
	m, r, planned := p.m, p.of[i], &p.runs[i]
	if r.phase == runStopping {
		return
	}
	s := r.task.step
	members := []*run{r}
	d := &m.departures
	switch {
	case s.spec.Gang:
		members = s.allRuns()
		d.gang += int64(len(members))
	case planned.Checkpoint:
		d.checkpoint++
	default:
		d.restart++
	}
	reason := stopMaintenance
	if r.worker.draining {
		reason = stopDraining
	}
	savedMS := planned.SavedMS()
	d.savedMS += savedMS * int64(len(members))
	detail := departureDetail(planned, savedMS)
	for _, member := range members {
		if !planned.Checkpoint {
			d.discarded += planned.ElapsedMS * member.reserved.CPUMilli
		}
		w := place
		if s.spec.Gang {
			w = places[member]
		}
		m.moveRun(member, w, "run_moved_early", detail, reason)
	}
}

// moveRun stops a run, so that its task starts on the worker, which keeps room for it, or again where it is if that is nil. The task starts once the
// run is confirmed to have ended.
func (m *Machine) moveRun(r *run, to *worker, kind, detail, reason string) {
	r.task.departed = true
	if to != nil {
		untilMS := m.nowMS + m.cfg.StopMS + departureClaimMS
		m.departures.claims = append(m.departures.claims, departureClaim{task: r.task, number: r.number, untilMS: untilMS, worker: to})
	}
	m.out.recordRun(kind, r, detail)
	m.stopRun(r, reason)
}

// departureDetail describes why a run leaves. A plan describes up to 1,000, for which fmt takes 0.5 ms.
func departureDetail(r *departure.Run, savedMS int64) string {
	text := make([]byte, 0, 112)
	number := func(before string, n int64) { text = strconv.AppendInt(append(text, before...), n, 10) }
	number("worker ends in ", r.LeftMS)
	number(" ms; ", r.ElapsedMS)
	number(" ms done, ", r.RemainingMS)
	text = strconv.AppendFloat(append(text, " ms left, probability "...), r.Chance(), 'f', 2, 64)
	number("; ", savedMS)
	return string(append(text, " ms saved"...))
}

// checkpointDue reports whether a run that can go on from a checkpoint has to be stopped now if it would not end before its worker does, in
// that time. With early departure, it goes on to work until the last moment unless there is room elsewhere, or it has left early before.
func (m *Machine) checkpointDue(r *run, leftMS int64) bool {
	return !m.cfg.Features.EarlyDeparture || r.task.departed || leftMS <= m.cfg.StopMS+checkpointMarginMS
}
