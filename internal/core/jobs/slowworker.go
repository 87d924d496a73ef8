package jobs

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	slowdowns "auburnpier/internal/core/slowdown"
	"auburnpier/internal/domain"
)

// Parameters of the detection of slow workers and of what follows from it.
const (
	// minPaceMS is the least time over which the rate of a run is measured, minPacePercent the progress that has to be expected in that time, since
	// percentages are whole numbers, and maxPaceMS the time after which less is enough.
	// minFastPaceMS is enough for a run that has made minEndPercent of progress meanwhile.
	minPaceMS      = 400
	minFastPaceMS  = 100
	minPacePercent = 3
	maxPaceMS      = 3000
	// minEndPaceMS and minEndPercent are the least time and progress over which the end of a run tells its rate.
	minEndPaceMS  = 200
	minEndPercent = 10
	// minUsualRatio and maxUsualRatio bound the ratio of a window to earlier ones from which on the window tells the usual rate, too.
	minUsualRatio, maxUsualRatio = 0.6, 1.7
	// minInTimeRatio is the ratio to the usual rate from which on a run has ended in its expected time, minExpectedRatio the same for a run that is
	// only expected to have that rate by others.
	minInTimeRatio, minExpectedRatio = 0.6, 0.75
	// maxJump is the ratio to the expected rate above which progress is none of the run.
	maxJump = 10
	// slowRatio is the ratio to the expected rate below which a first window does not tell the usual rate of a run.
	slowRatio = 0.4
	// longSlowMS is the age from which on a run that is slower than expected counts as one that takes longer: a slow worker is noticed before. 3 of 100 tasks
	// take 7 times as long, but they are 17 of 100 that run.
	longSlowMS = 2000
	// unlearnedDeviation is the standard deviation of the logarithm of durations that are known by an estimate only, speedVariance the variance of that
	// of the speeds of workers while speeds are not learned.
	unlearnedDeviation = 1.0
	speedVariance      = 0.1
	// slowRefreshMS is the interval at which suspicions are decided.
	slowRefreshMS = 50
	// avoidedSlowCost keeps work that must not be late off suspected workers unless no other has room, as doubtCost does. deferredSlowCost weighs the
	// logarithm of the factor for other work, up to maxDeferredSlowCost.
	avoidedSlowCost     = doubtCost
	deferredSlowCost    = 2.0
	maxDeferredSlowCost = 4.0
	// probeGain outweighs the other parts of the cost except avoidedSlowCost, and probeIntervalMS is the time between two probes of an idle worker.
	probeGain       = 8.0
	probeIntervalMS = 2000
	// maxSlowMoves bounds the moves for which a plan looks for room, each on all workers. The others are left to the next plan.
	maxSlowMoves = 40
	// avoidedSpeedLevel is below that of any worker.
	avoidedSpeedLevel = -1000
	// usualSlowMS is how long workers are slow as long as none has recovered: 6 to 8 s were seen. slowLengthWeight is the weight of the last one.
	usualSlowMS      = 7000
	slowLengthWeight = 0.2
	// minSlowLeftMS is the least time that a suspected worker is expected to stay slow.
	minSlowLeftMS = 1000
	// maxUnlearnedMS is the time of a suspicion from which on the worker counts as slow for good, and the durations of its runs are learned.
	// slowGapMS is the time between two suspicions below which they count as one unless the worker was fast in between.
	maxUnlearnedMS = 20_000
	slowGapMS      = 30_000
	// shownSlowWorkers bounds the workers that an overview and a preview list.
	shownSlowWorkers = 10
	stopSlow         = "worker is slow"
)

// slowWorkers is the state of the detection of slow workers. It is nil while the feature is off.
type slowWorkers struct {
	detector *slowdowns.Detector
	// bySlot holds the workers by slot that were observed, lastStep the number of the last step that was.
	bySlot      []*worker
	lastStep    slowdowns.StepKey
	refreshedMS int64
	// usualMS is how long workers are slow.
	usualMS                                    float64
	suspicions, recoveries                     int64
	placed, single, checkpoint, gangs, savedMS int64
	// plain is the worker that would be chosen for a task if none was suspected.
	plain       *worker
	plainCost   float64
	choiceMoved bool
}

// suspicion is why a worker counts as slow.
type suspicion struct {
	factor, confidence float64
	sinceMS            int64
}

// pace is the window in which the rate of a run is measured, and its usual rate. It takes 8 B.
type pace struct {
	// clock holds the low bits of the worker's clock when the window began, percent the progress then.
	clock uint32
	// logRate is the logarithm of the usual rate in percent per ms, in thousandths.
	logRate int16
	percent uint8
	// gained is the progress that the usual rate is from, zero if it is not known, plus one for the window.
	gained uint8
}

// paceScale is the scale of pace.logRate.
const paceScale = 1000

func newSlowWorkers(on bool) *slowWorkers {
	if !on {
		return nil
	}
	return &slowWorkers{detector: slowdowns.New(), usualMS: usualSlowMS}
}

// forPreview returns a copy whose counts a preview may change. A preview observes nothing.
func (p *slowWorkers) forPreview() *slowWorkers {
	if p == nil {
		return nil
	}
	c := *p
	return &c
}

// anySuspected reports whether any worker is suspected.
func (p *slowWorkers) anySuspected() bool { return p != nil && p.detector.Suspected() > 0 }

// hasPace reports whether the rate of the step's runs tells of their worker. Members of a gang run as fast as the slowest of them, and best-effort tasks as
// fast as they are throttled.
func (s *StepSpec) hasPace() bool { return !s.Gang && !s.BestEffort && !s.LongRunning }

// observePace takes the rate of a run from the progress in a report.
func (m *Machine) observePace(r *run, row RunReport) {
	if m.slow == nil || !r.task.step.spec.hasPace() {
		return
	}
	t, p := &r.worker.timing, &r.pace
	begin := func() {
		p.clock, p.percent, p.gained = uint32(t.clockMS), uint8(row.Percent), max(1, p.gained)
	}
	switch {
	case t.late || r.phase == runStopping || row.Percent < 0 || row.Percent > 99:
		p.gained = 0
		return
	case p.gained == 0 && !r.adopted && r.task.checkpoint == "":
		// The first window begins with the run.
		p.clock, p.percent, p.gained = uint32(t.clockMS-(m.nowMS-r.confirmedMS)), 0, 1
	case p.gained == 0 || row.Percent < int(p.percent):
		p.gained = 0
		begin()
		return
	}
	tookMS := int64(int32(uint32(t.clockMS) - p.clock))
	if tookMS >= 0 && tookMS < minPaceMS && (tookMS < minFastPaceMS || row.Percent-int(p.percent) < minEndPercent) {
		return
	}
	if tookMS < 0 || tookMS > 2*maxPaceMS {
		begin()
		return
	}
	expected, variance, known := m.expectedRate(r)
	rate := 0.0
	if p.gained > 1 {
		rate = p.usualRate()
	}
	gain := row.Percent - int(p.percent)
	if float64(tookMS)*max(rate, expected) < minPacePercent && tookMS < maxPaceMS && gain < minPacePercent {
		return
	}
	// A gain of zero is one of less than a percent.
	gained := max(float64(gain), 0.5)
	rounding := 1 / (6 * gained * gained)
	observed := gained / float64(tookMS) * m.knownSlowdown(r)
	switch slow := known && observed < slowRatio*expected; {
	case known && observed > maxJump*expected:
		// The task has gone on from a checkpoint that it reports only now.
	case rate > 0 && observed < minUsualRatio*rate:
		m.observeRatio(r, slowdowns.OwnRate, observed/rate, rounding+roundingVariance(int(p.gained)-1))
	case rate > 0 && slow:
		// Either the task takes longer than expected, or the worker was slow already when the rate was first measured.
	case rate > 0:
		m.observeRatio(r, slowdowns.OwnRate, observed/rate, rounding+roundingVariance(int(p.gained)-1))
		if observed < maxUsualRatio*rate && r.worker.slow == nil && gain > 0 {
			p.setUsual((rate+observed)/2, gain)
		}
	case known && !(slow && m.nowMS-r.confirmedMS > longSlowMS):
		m.observeRatio(r, slowdowns.ExpectedRate, observed/expected, rounding+variance)
		fallthrough
	default:
		if (!slow || m.nowMS-r.confirmedMS > longSlowMS) && r.worker.slow == nil && gain > 0 {
			p.setUsual(observed, gain)
		}
	}
	begin()
}

func (p *pace) usualRate() float64 { return math.Exp(float64(p.logRate) / paceScale) }

func (p *pace) setUsual(rate float64, gain int) {
	p.logRate = int16(math.Round(max(-30, math.Log(rate)) * paceScale))
	p.gained = uint8(min(max(int(p.gained), 1+gain), 1+100))
}

// expectedRate returns the rate that is expected of a run by others, in percent per ms, and the variance of its logarithm.
func (m *Machine) expectedRate(r *run) (rate, variance float64, known bool) {
	s, speed := r.task.step, r.worker.speed
	wholeMS := float64(s.estimateMS)
	if wholeMS <= 0 || s.spec.EstimateMS <= 0 && s.expected.Deviation() == 0 {
		return 0, 0, false
	}
	if s.spec.DataRack != "" && s.spec.DataRack != r.worker.rack {
		wholeMS *= max(1, m.cfg.OffRackFactor)
	}
	deviation := cmp.Or(s.expected.Deviation(), unlearnedDeviation)
	variance = deviation * deviation
	if !m.cfg.Features.WorkerSpeeds {
		variance += speedVariance
	}
	return 100 * speed / wholeMS, variance, true
}

// knownSlowdown returns how many times slower the run is expected to be beside its neighbours.
func (m *Machine) knownSlowdown(r *run) float64 {
	row, ok := m.separationOf(r.task.step)
	if !ok {
		return 1
	}
	slowdown := 1.0
	for _, c := range m.separation.imagesOn(r.worker) {
		if int(c.id) < len(row.suffers) && (c.runs > 1 || c.id != m.separation.imageID(r.task.step)) {
			slowdown += row.suffers[c.id]
		}
	}
	return slowdown
}

func (m *Machine) observeRatio(r *run, basis slowdowns.Basis, ratio, variance float64) {
	p, w := m.slow, r.worker
	for w.slot >= len(p.bySlot) {
		p.bySlot = append(p.bySlot, nil)
	}
	p.bySlot[w.slot] = w
	key, index := p.keyOf(r)
	p.detector.Observe(slowdowns.Key(w.slot), key, index, basis, ratio, variance, m.nowMS)
}

func (p *slowWorkers) keyOf(r *run) (slowdowns.StepKey, slowdowns.RunKey) {
	s := r.task.step
	if s.paceKey == 0 {
		p.lastStep++
		s.paceKey = p.lastStep
	}
	return s.paceKey, slowdowns.RunKey(r.task.index)
}

// paceEnds notes the end of a run, which is reported as soon as it happens.
func (m *Machine) paceEnds(r *run, kind EndKind) {
	p, s := m.slow, r.task.step
	if p == nil || !s.spec.hasPace() {
		return
	}
	key, index := p.keyOf(r)
	p.detector.Ended(slowdowns.Key(r.worker.slot), key, index, kind == EndSucceeded && m.endsInTime(r), m.nowMS)
}

// endsInTime reports whether a run that ends has had its expected rate since its last window, or since its start.
func (m *Machine) endsInTime(r *run) bool {
	w, t := r.worker, &r.worker.timing
	if t.late || r.confirmedMS == 0 || r.adopted && r.pace.gained == 0 {
		return false
	}
	gain, tookMS := 100, m.nowMS-r.confirmedMS
	if r.pace.gained > 0 {
		gain, tookMS = 100-int(r.pace.percent), int64(int32(uint32(t.clockMS)-r.pace.clock))
	} else if w.slow != nil && r.confirmedMS < w.slow.sinceMS || r.task.checkpoint != "" {
		return false
	}
	if tookMS < minEndPaceMS || gain < minEndPercent {
		return false
	}
	observed := float64(gain) / float64(tookMS) * m.knownSlowdown(r)
	if r.pace.gained > 1 {
		return observed >= minInTimeRatio*r.pace.usualRate()
	}
	expected, _, known := m.expectedRate(r)
	return known && observed >= minExpectedRatio*expected
}

// forgetSlowness drops what is known of a worker that another incarnation has replaced, or that has left.
func (m *Machine) forgetSlowness(w *worker) {
	p := m.slow
	if p == nil {
		return
	}
	w.slow = nil
	p.detector.Forget(slowdowns.Key(w.slot))
	if w.slot < len(p.bySlot) {
		p.bySlot[w.slot] = nil
	}
}

// updateSlowWorkers decides which workers are suspected of being slow.
func (m *Machine) updateSlowWorkers() {
	p := m.slow
	if p == nil || m.nowMS-p.refreshedMS < slowRefreshMS {
		return
	}
	p.refreshedMS = m.nowMS
	var sizes map[string]int
	suspected, returned := p.detector.Refresh(m.nowMS, func(key slowdowns.Key) (string, int) {
		if sizes == nil {
			sizes = make(map[string]int)
			for _, w := range m.sortedWorkers {
				sizes[w.service]++
			}
		}
		service := p.bySlot[key].service
		return service, sizes[service]
	})
	for _, r := range returned {
		m.clearSuspicion(p.bySlot[r.Key], r.Fast)
	}
	for _, key := range suspected {
		m.suspect(p.bySlot[key])
	}
	if p.detector.Suspected() > 0 {
		for _, w := range m.sortedWorkers {
			if w.slow != nil {
				w.slow.factor, w.slow.confidence = p.detector.Factor(slowdowns.Key(w.slot))
			}
		}
	}
}

func (m *Machine) suspect(w *worker) {
	p := m.slow
	factor, confidence := p.detector.Factor(slowdowns.Key(w.slot))
	w.slow = &suspicion{factor: factor, confidence: confidence, sinceMS: m.nowMS}
	if w.slowSinceMS == 0 || m.nowMS-w.slowUntilMS > slowGapMS {
		w.slowSinceMS = m.nowMS
	}
	p.suspicions++
	m.out.recordWorker("worker_slow", w.id, fmt.Sprintf("%.1f times slower, confidence %.3f, %d tasks run", factor, confidence, len(w.runs)))
	if m.slowedOn(w) {
		for _, r := range w.runs {
			r.slowed = true
		}
	}
	m.needsPass = true
}

func (m *Machine) clearSuspicion(w *worker, fast bool) {
	p := m.slow
	lengthMS := m.nowMS - w.slow.sinceMS
	kind := "worker_slow_unproven"
	if fast {
		kind = "worker_fast_again"
		p.usualMS += slowLengthWeight * (float64(lengthMS) - p.usualMS)
		w.slowSinceMS = 0
	}
	m.out.recordWorker(kind, w.id, fmt.Sprintf("suspected of being %.1f times slower for %d ms", w.slow.factor, lengthMS))
	w.slow, w.slowUntilMS = nil, m.nowMS
	p.recoveries++
	m.needsPass = true
}

// slowedOn reports whether durations on the worker tell nothing. One that stays slow is learned as such.
func (m *Machine) slowedOn(w *worker) bool {
	return w.slow != nil && m.nowMS-w.slowSinceMS < maxUnlearnedMS
}

// wasSlowed reports whether the duration of a run, or of its gang, tells nothing because a worker was slow.
func (m *Machine) wasSlowed(r *run) bool {
	s := r.task.step
	if m.slow == nil || r.slowed || !s.spec.Gang {
		return r.slowed
	}
	return slices.ContainsFunc(s.allRuns(), func(other *run) bool { return other.slowed })
}

// avoidsSlow reports whether tasks of the step must not be late, and go to a suspected worker only if no other has room.
func (s *step) avoidsSlow() bool {
	return s.tier == tierUrgent || s.spec.Gang || s.spec.LongRunning || s.lastAttempt
}

// suspicionCost is the part of the placement cost that keeps work off suspected workers.
func (m *Machine) suspicionCost(s *step, w *worker) float64 {
	switch {
	case w.slow == nil:
		return 0
	case s.avoidsSlow() || m.lateOnSlow(s, w):
		return avoidedSlowCost
	case len(w.runs) == 0 && m.nowMS-max(w.lastPlacedMS, w.slow.sinceMS) >= probeIntervalMS:
		// Nothing else shows whether the worker is still slow.
		return -probeGain
	}
	return min(maxDeferredSlowCost, deferredSlowCost*math.Log(w.slow.factor))
}

// lateOnSlow reports whether a task of the step would be in time on another worker, and late on the suspected one.
func (m *Machine) lateOnSlow(s *step, w *worker) bool {
	slackMS := s.occurrence.deadlineMS - s.restMS - m.nowMS
	return s.estimateMS <= slackMS && slowed(s.estimateMS, w.slow.factor, m.slowLeftMS(w)) > slackMS
}

// slowLeftMS returns how long a suspected worker is expected to stay slow.
func (m *Machine) slowLeftMS(w *worker) int64 {
	return max(minSlowLeftMS, int64(m.slow.usualMS)-(m.nowMS-w.slow.sinceMS))
}

// slowed returns how long work of the duration takes on a worker that is slower by the factor for leftMS more.
func slowed(ms int64, factor float64, leftMS int64) int64 {
	if slowMS := int64(float64(ms) * factor); slowMS <= leftMS {
		return slowMS
	}
	return leftMS + ms - int64(float64(leftMS)/factor)
}

func (p *slowWorkers) clearChoice() {
	if p != nil {
		p.plain, p.choiceMoved = nil, false
	}
}

// consider notes a worker of the cost for a task, of which suspicionCost is a part.
func (p *slowWorkers) consider(w *worker, cost, suspicionCost float64) {
	if cost -= suspicionCost; p.plain == nil || cost < p.plainCost {
		p.plain, p.plainCost = w, cost
	}
}

func (p *slowWorkers) noteChoice(chosen *worker) {
	if p != nil {
		p.choiceMoved = p.plain != nil && p.plain != chosen
	}
}

// countChoice counts the last choice, which was carried out.
func (p *slowWorkers) countChoice() {
	if p != nil && p.choiceMoved {
		p.placed++
		p.clearChoice()
	}
}

// slowMove is a run, or a gang, that would be late on a suspected worker and in time elsewhere.
type slowMove struct {
	runs    []*run
	savedMS int64
	detail  string
}

// planSlowMoves stops runs on suspected workers that are expected to end earlier elsewhere by at least what it costs to start them again.
func (m *Machine) planSlowMoves() {
	p := m.slow
	if !p.anySuspected() || m.startsPaused {
		return
	}
	var moves []slowMove
	gangs := make(map[*step]bool)
	for _, w := range m.sortedWorkers {
		if w.slow == nil || !m.reportedLately(w) {
			continue
		}
		for _, r := range w.sortedRuns() {
			s := r.task.step
			if gangs[s] {
				continue
			}
			gangs[s] = s.spec.Gang
			if move, ok := m.slowMoveOf(r); ok {
				moves = append(moves, move)
			}
		}
	}
	if len(moves) == 0 {
		return
	}
	slices.SortStableFunc(moves, func(a, b slowMove) int { return cmp.Compare(b.savedMS, a.savedMS) })
	plan := m.departures.newPlan(m)
	plan.findRoom()
	for _, move := range moves[:min(len(moves), maxSlowMoves)] {
		if places := plan.findPlaces(move); places != nil {
			m.moveRuns(move, places)
		}
	}
	// Moves are rare, so the memory is not kept for the next ones.
	*plan = departurePlan{}
}

// slowMoveOf returns the move of the run, or of its gang, and whether it is worth it.
func (m *Machine) slowMoveOf(r *run) (slowMove, bool) {
	s := r.task.step
	move := slowMove{runs: []*run{r}}
	if !m.stepMayDepart(s) {
		return move, false
	}
	if s.spec.Gang {
		move.runs = s.allRuns()
		if s.waiting > 0 || s.spec.SameRack || len(move.runs) != s.open {
			return move, false
		}
	}
	factor, leftMS, restMS, elapsedMS := 1.0, int64(0), int64(0), int64(0)
	percent := 100
	for _, member := range move.runs {
		if !m.mayDepart(member) || !m.reportedLately(member.worker) {
			return move, false
		}
		percent = min(percent, member.percent)
		elapsedMS = max(elapsedMS, m.nowMS-member.confirmedMS)
		if slow := member.worker.slow; slow != nil {
			factor = max(factor, slow.factor)
			leftMS = max(leftMS, m.slowLeftMS(member.worker))
		}
	}
	rate, _, known := m.expectedRate(r)
	if r.pace.gained > 1 {
		rate, known = r.pace.usualRate(), true
	}
	if !known {
		return move, false
	}
	restMS = int64(float64(100-min(percent, 99)) / rate)
	stayMS := slowed(restMS, factor, leftMS)
	startMS := m.expectedStartMS(s)
	costMS, againMS := startMS, restMS
	if !s.spec.Checkpointable {
		costMS += elapsedMS
		againMS = int64(100 / rate)
	}
	moveMS := m.cfg.StopMS/2 + startMS + againMS
	slackMS := s.occurrence.deadlineMS - s.restMS - m.nowMS
	move.savedMS = stayMS - moveMS
	move.detail = fmt.Sprintf("%.1f times slower for %d ms more; %d ms here, %d ms elsewhere, in time within %d ms", factor, leftMS, stayMS, moveMS, slackMS)
	return move, stayMS > slackMS && moveMS <= slackMS && move.savedMS >= costMS
}

// findPlaces returns the workers on which the runs of the move may start, other than suspected ones, and takes their room. It returns nil if not all have one.
// Members of a gang on workers that are not suspected may start again where they are.
func (p *departurePlan) findPlaces(move slowMove) map[*run]*worker {
	s := move.runs[0].task.step
	kind, need := p.kind(s), s.spec.Reserved()
	rooms := slices.Clone(p.rooms)
	places := make(map[*run]*worker)
	planned := make(map[*worker]int)
	for _, r := range move.runs {
		if r.worker.slow == nil {
			continue
		}
		at := 0
		for at < len(p.workers) && (p.workers[at].slow != nil || !need.Fits(rooms[at]) || !p.fits(kind, at, planned[p.workers[at]])) {
			at++
		}
		if at == len(p.workers) {
			return nil
		}
		rooms[at] = rooms[at].Sub(need)
		planned[p.workers[at]]++
		places[r] = p.workers[at]
	}
	p.rooms = rooms
	return places
}

// moveRuns stops the runs, so that their tasks start elsewhere.
func (m *Machine) moveRuns(move slowMove, places map[*run]*worker) {
	p, s := m.slow, move.runs[0].task.step
	switch {
	case s.spec.Gang:
		p.gangs += int64(len(move.runs))
	case s.spec.Checkpointable:
		p.checkpoint++
	default:
		p.single++
	}
	p.savedMS += move.savedMS * int64(len(move.runs))
	for _, r := range move.runs {
		m.moveRun(r, places[r], "run_moved_slow", move.detail, stopSlow)
	}
}

// SlowWorkersView shows the workers that are suspected of being slow, and what followed from suspicions since the term began.
type SlowWorkersView struct {
	// Suspected is the number of workers that are suspected now. Workers lists some of them, the slowest first.
	Suspected int              `json:"suspected"`
	Workers   []SlowWorkerView `json:"workers,omitempty"`
	// Suspicions and Recoveries count workers that became suspected, and that no longer were.
	Suspicions int64 `json:"suspicions"`
	Recoveries int64 `json:"recoveries"`
	// PlacementsChanged counts single tasks that were placed on other workers.
	PlacementsChanged int64 `json:"placements_changed"`
	// MovedRestart and MovedCheckpoint count single runs that begin again elsewhere or go on from a checkpoint, MovedGang members of gangs. SavedMS is the
	// estimated time by which their tasks end earlier.
	MovedRestart    int64 `json:"moved_restart"`
	MovedCheckpoint int64 `json:"moved_checkpoint"`
	MovedGang       int64 `json:"moved_gang"`
	SavedMS         int64 `json:"saved_ms"`
}

// SlowWorkerView is a worker that is suspected of being slower than before by the factor.
type SlowWorkerView struct {
	Worker     domain.WorkerID `json:"worker"`
	Factor     float64         `json:"factor"`
	Confidence float64         `json:"confidence"`
	SinceMS    int64           `json:"since_ms"`
}

func (m *Machine) slowWorkersView() *SlowWorkersView {
	p := m.slow
	if p == nil {
		return nil
	}
	return &SlowWorkersView{Suspected: p.detector.Suspected(), Workers: m.slowest(func(*worker) bool { return true }), Suspicions: p.suspicions, Recoveries: p.recoveries,
		PlacementsChanged: p.placed, MovedRestart: p.single, MovedCheckpoint: p.checkpoint, MovedGang: p.gangs, SavedMS: p.savedMS}
}

// slowest lists the suspected workers for which include returns true, the slowest first.
func (m *Machine) slowest(include func(*worker) bool) []SlowWorkerView {
	if !m.slow.anySuspected() {
		return nil
	}
	var list []SlowWorkerView
	for _, w := range m.sortedWorkers {
		if w.slow != nil && include(w) {
			list = append(list, SlowWorkerView{w.id, w.slow.factor, w.slow.confidence, m.nowMS - w.slow.sinceMS})
		}
	}
	slices.SortStableFunc(list, func(a, b SlowWorkerView) int { return cmp.Compare(b.Factor, a.Factor) })
	return list[:min(len(list), shownSlowWorkers)]
}
