package jobs

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	neighbours "auburnpier/internal/core/interference"
)

// Parameters of the separation of tasks that slow each other down.
const (
	// minWindowMS is the least time over which the speed of a run is measured, minEndWindowMS the same for whole runs, minWindowPercent the progress that
	// makes rounding to whole percents small, and maxWindowMS the time after which less counts too. Half the first would double the cost.
	minWindowMS      = 800
	minEndWindowMS   = 300
	minWindowPercent = 5
	maxWindowMS      = 5000
	// cpuWindowMS is the least time between two readings of a run's CPU use that count.
	cpuWindowMS = 1000
	// maxObservedReportAgeMS is the age of a report from which on it is not observed: what has happened on the worker since is not known.
	maxObservedReportAgeMS = 1000
	// cpuShortShare is the share of the CPU that a task asked for below which it gets clearly less, cpuOverShare that above which a neighbour gets
	// more. cpuVariance is the variance of the log of the first: CPU use is read at one moment.
	cpuShortShare = 0.8
	cpuOverShare  = 1.05
	cpuVariance   = 0.1
	// separationConfidence is the confidence from which on a pair counts in placement. Some hundred pairs are judged all the time, and one that is
	// wrongly known only costs a worse fit.
	separationConfidence = 0.99
	// separationCost weighs a slowdown in the placement cost: one of 1.5 outweighs the fit, which packs tasks on full workers.
	separationCost = 4.0
	// maxSeparationCost keeps the cost below brokenHoldCost and doubtCost, so that gangs keep their holds and doubted workers get no more work.
	maxSeparationCost = 4.0
	// separationRefreshMS is the interval at which the known pairs are read from the model.
	separationRefreshMS = 500
	// maxImageIDs bounds the images that have a number. They are numbered again when it is reached.
	maxImageIDs = 1024
	// maxPresences is the number of runs that a worker keeps for windows that began before they ended.
	maxPresences = 64
	// shownPairs bounds the pairs that an overview lists.
	shownPairs = 10
)

// separation is the state of keeping tasks apart that slow each other down. It is nil while the feature is off.
type separation struct {
	model *neighbours.Model
	// ids numbers the images that have run, images lists them. generation counts how often they were numbered.
	ids        map[neighbours.Image]uint16
	images     []neighbours.Image
	generation int
	// known lists the pairs that count in placement. suffers and disturbs hold, for the image of a task to place and each image present, how much
	// longer the task and the present one take, as a fraction.
	known             []neighbours.Pair
	suffers, disturbs map[uint16][]float64
	refreshedMS       int64
	// observations counts what the model was given.
	observations int64
	// choice is the last choice of workers, and changed and savedMS sum up those that were carried out.
	choice  separationChoice
	changed int64
	savedMS int64
	// gangMayStart is set while a gang is planned that starts if it has a plan.
	gangMayStart bool
	scratch      []neighbours.Share
	// preview is set for the copy that a preview uses. Its workers are copies, their neighbourhoods and the steps of their runs are not.
	preview bool
}

// separationChoice tells how many tasks are placed on other workers than without the cost of neighbours, and how much time that is expected to save.
type separationChoice struct {
	changed, savedMS int64
}

// presence is the time of one run on a worker. run is nil and endMS set once it has ended, so that ended jobs are not kept.
type presence struct {
	run            *run
	image          neighbours.Image
	startMS, endMS int64
	// share and usesMore hold effectiveShare and usesMoreCPU of a run that has ended.
	share    float64
	usesMore bool
}

// effectiveShare is the fraction of its full speed to which a run is throttled.
func (r *run) effectiveShare() float64 {
	if r.task.step.spec.BestEffort && r.throttle >= 0 {
		return float64(r.throttle) / fullSpeed
	}
	return 1
}

// usesMoreCPU reports whether a run uses more CPU than its task asked for.
func (r *run) usesMoreCPU() bool {
	return !r.hasLatencyTarget() && float64(r.measure) > cpuOverShare*float64(r.task.step.spec.Need.CPUMilli)
}

// imageCount is the number of runs of an image on a worker.
type imageCount struct {
	id   uint16
	runs int
}

// neighbourhood is what is known of the runs on one worker.
type neighbourhood struct {
	presences  []presence
	images     []imageCount
	generation int
	// speed is of the progress of runs, cpuSpeed of their CPU use.
	speed, cpuSpeed neighbours.Worker
}

// reportTiming is of the report that is handled, or of the last one.
type reportTiming struct {
	// late is set while a late report is handled. clockMS is the worker's clock in the present report, and gapMS the time between the former one
	// and the request of this one, in which an end may have happened unnoticed.
	late           bool
	clockMS, gapMS int64
	receivedMS     int64
}

// speedWindow is the window in which the speed of a run is measured. Times of the worker's clock are exact however long a report was under way.
type speedWindow struct {
	percent       int
	clockMS, atMS int64
	// observed is set once an earlier window of the run was observed.
	observed bool
	// means are of these.
	means neighbours.Baseline
}

// stepSpeeds holds the means that the windows of a step are compared with: of progress, of whole runs and of CPU use.
type stepSpeeds struct {
	progress, whole, cpu neighbours.Baseline
}

func newSeparation(on bool) *separation {
	if !on {
		return nil
	}
	return &separation{model: neighbours.New(), ids: make(map[neighbours.Image]uint16), generation: 1}
}

// forPreview returns a copy that a preview may change. The model and the known pairs are shared, since it only reads them.
func (p *separation) forPreview() *separation {
	if p == nil {
		return nil
	}
	c := *p
	c.ids, c.images, c.scratch, c.gangMayStart, c.preview = maps.Clone(p.ids), slices.Clone(p.images), nil, false, true
	return &c
}

func (s *step) imageOf() neighbours.Image {
	if s.image == "" {
		s.image = neighbours.ImageOf(s.spec.Image, string(s.job.queue.Name))
	}
	return s.image
}

// imageID returns the number of the step's image.
func (p *separation) imageID(s *step) uint16 {
	if s.imageGeneration != p.generation {
		s.imageID, s.imageGeneration = p.numberOf(s.imageOf()), p.generation
	}
	return s.imageID
}

// numberOf returns the number of the image. Images beyond maxImageIDs share one until they are numbered again.
func (p *separation) numberOf(image neighbours.Image) uint16 {
	id, ok := p.ids[image]
	if !ok {
		if len(p.images) >= maxImageIDs {
			return maxImageIDs
		}
		id = uint16(len(p.images))
		p.ids[image] = id
		p.images = append(p.images, image)
	}
	return id
}

func (w *worker) neighbourhoodOf() *neighbourhood {
	if w.neighbourhood == nil {
		w.neighbourhood = &neighbourhood{}
	}
	return w.neighbourhood
}

// imagesOn returns the images of the runs on the worker.
func (p *separation) imagesOn(w *worker) []imageCount {
	n := w.neighbourhood
	if n == nil {
		return nil
	}
	if n.generation != p.generation {
		if p.preview {
			copied := *n
			copied.images = nil
			n, w.neighbourhood = &copied, &copied
		}
		n.generation = p.generation
		n.images = n.images[:0]
		for i := range n.presences {
			if n.presences[i].run != nil {
				n.count(p.numberOf(n.presences[i].image), 1)
			}
		}
	}
	return n.images
}

func (n *neighbourhood) count(id uint16, runs int) {
	i := slices.IndexFunc(n.images, func(c imageCount) bool { return c.id == id })
	if i < 0 {
		i = len(n.images)
		n.images = append(n.images, imageCount{id: id})
	}
	if n.images[i].runs += runs; n.images[i].runs <= 0 {
		n.images = slices.Delete(n.images, i, i+1)
	}
}

// runArrives notes that a run was placed on its worker.
func (m *Machine) runArrives(r *run) {
	p := m.separation
	if p == nil {
		return
	}
	n := r.worker.neighbourhoodOf()
	p.imagesOn(r.worker)
	if len(n.presences) >= maxPresences/2 {
		n.dropEnded(m.nowMS)
	}
	n.presences = append(n.presences, presence{run: r, image: r.task.step.imageOf(), startMS: m.nowMS})
	n.count(p.imageID(r.task.step), 1)
}

// dropEnded removes the runs that have ended before any open window began, and the earliest ones beyond maxPresences.
func (n *neighbourhood) dropEnded(nowMS int64) {
	spare := len(n.presences) - maxPresences
	n.presences = slices.DeleteFunc(n.presences, func(p presence) bool {
		if p.run != nil || nowMS-p.endMS < 2*maxWindowMS && spare <= 0 {
			return false
		}
		spare--
		return true
	})
}

// runDeparts notes that a run has left its worker.
func (m *Machine) runDeparts(r *run) {
	p := m.separation
	if p == nil || r.worker.neighbourhood == nil {
		return
	}
	n := r.worker.neighbourhood
	p.imagesOn(r.worker)
	for i := range n.presences {
		if n.presences[i].run == r {
			n.presences[i] = presence{image: n.presences[i].image, startMS: n.presences[i].startMS, endMS: m.nowMS,
				share: r.effectiveShare(), usesMore: r.usesMoreCPU()}
			n.count(p.imageID(r.task.step), -1)
			break
		}
	}
	if len(r.worker.runs) == 0 {
		// No window is open that began before now.
		n.presences = nil
	}
	if r.task.step.open == 0 {
		r.task.step.speeds = nil
	}
}

// beginReport notes what the observations of a report need to know of it.
func (m *Machine) beginReport(w *worker, r *WorkerReport) {
	if m.separation == nil && m.slow == nil {
		return
	}
	n := &w.timing
	n.late = m.nowMS-r.ReceivedMS > maxObservedReportAgeMS
	n.clockMS = r.ClockMS
	n.gapMS = max(0, r.SentMS-n.receivedMS)
	n.receivedMS = r.ReceivedMS
}

// observable reports whether the progress of the step's tasks tells their speed. Tasks without an image need not behave alike: on deployments that name
// none, pairs of queues were taken for known that the mix of their tasks had brought about. Members of a gang run as fast as the slowest of them, and best-effort
// tasks as fast as they are throttled.
func (s *StepSpec) observable() bool {
	return s.Image != "" && !s.Gang && !s.BestEffort && !s.LongRunning
}

// observeProgress takes the speed of a run from the progress in a report.
func (m *Machine) observeProgress(r *run, row RunReport) {
	if m.separation == nil || r.task.step.spec.Image == "" || r.task.step.spec.Gang || r.task.step.spec.BestEffort || r.hasLatencyTarget() {
		return
	}
	r.worker.neighbourhoodOf()
	n := &r.worker.timing
	if n.late || r.phase == runStopping {
		r.window = nil
		return
	}
	if r.window == nil {
		r.window = &speedWindow{percent: row.Percent, clockMS: n.clockMS, atMS: m.nowMS}
		return
	}
	win := r.window
	tookMS := n.clockMS - win.clockMS
	if tookMS >= 0 && tookMS < minWindowMS {
		return
	}
	if tookMS < 0 || tookMS > 2*maxWindowMS || row.Percent < win.percent || row.Percent > 100 || row.Percent < 0 {
		// The clock has fallen back, or runs that have come and gone since may be forgotten, or the task has resumed from a checkpoint.
		*win = speedWindow{percent: row.Percent, clockMS: n.clockMS, atMS: m.nowMS}
		return
	}
	gained := row.Percent - win.percent
	progress := r.task.step.spec.observable() && gained > 0 && row.Percent < 100
	leastCPUMS := int64(cpuWindowMS)
	if r.task.step.spec.observable() {
		// It may yet show progress.
		leastCPUMS = maxWindowMS
	}
	switch {
	case progress && (gained >= minWindowPercent || tookMS >= maxWindowMS):
		phase := 1 + (row.Percent+win.percent)/2*neighbours.Phases/100
		m.observe(r, &r.task.step.speedsOf().progress, phase, float64(gained)/float64(tookMS), roundingVariance(gained))
	case !progress && tookMS >= leastCPUMS && m.observeCPU(r):
	case tookMS < maxWindowMS:
		return
	}
	win.percent, win.clockMS, win.atMS = row.Percent, n.clockMS, m.nowMS
}

// roundingVariance is the variance of the log of a gain in percent, both ends of which were rounded to whole percents.
func roundingVariance(gained int) float64 { return 1 / (6 * float64(gained) * float64(gained)) }

// observeEnd takes the speed of a run that was not observed before from its success, which is reported as soon as it happens. Short tasks have no other
// observation. Percentages that do not grow evenly make the rest of a run differ from its earlier windows, so the rest alone is not observed.
func (m *Machine) observeEnd(r *run) {
	if m.separation == nil || !r.task.step.spec.observable() || r.confirmedMS == 0 || r.task.checkpoint != "" || r.window != nil && r.window.observed {
		return
	}
	r.worker.neighbourhoodOf()
	n := &r.worker.timing
	tookMS := m.nowMS - r.confirmedMS
	if n.late || tookMS < minEndWindowMS || tookMS > 2*maxWindowMS || n.gapMS >= tookMS {
		return
	}
	r.window = nil
	gap := float64(n.gapMS) / float64(tookMS)
	m.observe(r, &r.task.step.speedsOf().whole, 0, 100/float64(tookMS), gap*gap/12)
}

// observe passes the speed of a run since its window began to the model, with the means of the same kind of windows of its step.
func (m *Machine) observe(r *run, means *neighbours.Baseline, phase int, percentPerMS, variance float64) {
	s := r.task.step
	logSpeed := math.Log(percentPerMS)
	if s.spec.DataRack != "" && s.spec.DataRack != r.worker.rack {
		logSpeed += math.Log(max(1, m.cfg.OffRackFactor))
	}
	shares := m.sharesBeside(r, false)
	m.separation.observations++
	m.separation.model.Observe(neighbours.Observation{Victim: s.imageOf(), LogSpeed: logSpeed, Variance: variance, Run: r.earlierWindows(),
		Slot: r.worker.slot, Phase: phase, Neighbours: shares}, means, &r.worker.neighbourhood.speed, m.nowMS)
}

// observeCPU takes the CPU use of a run whose progress is not known for its speed, beside neighbours that use more than they asked for. It returns
// false if there is none, or no reading.
func (m *Machine) observeCPU(r *run) bool {
	s := r.task.step
	if r.measure <= 0 || s.spec.Need.CPUMilli <= 0 {
		return false
	}
	share := float64(r.measure) / float64(s.spec.Need.CPUMilli)
	if share >= cpuShortShare {
		// It gets what it needs.
		share = 1
	}
	shares := m.sharesBeside(r, true)
	m.separation.observations++
	m.separation.model.Observe(neighbours.Observation{Victim: s.imageOf(), LogSpeed: math.Log(share), Variance: cpuVariance, Run: r.earlierWindows(),
		Slot: r.worker.slot, Neighbours: shares}, &s.speedsOf().cpu, &r.worker.neighbourhood.cpuSpeed, m.nowMS)
	return true
}

func (s *step) speedsOf() *stepSpeeds {
	if s.speeds == nil {
		s.speeds = &stepSpeeds{}
	}
	return s.speeds
}

// earlierWindows returns the means of the earlier windows of a run that has a window.
func (r *run) earlierWindows() *neighbours.Baseline {
	if r.window == nil {
		return nil
	}
	r.window.observed = true
	return &r.window.means
}

// sharesBeside returns the share of the run's window in which each image was beside it. With usesMore only neighbours count that use
// more CPU than they asked for.
func (m *Machine) sharesBeside(r *run, usesMore bool) []neighbours.Share {
	fromMS := r.confirmedMS
	if r.window != nil {
		fromMS = r.window.atMS
	}
	length := float64(max(1, m.nowMS-fromMS))
	list := m.separation.scratch[:0]
	for i := range r.worker.neighbourhood.presences {
		p := &r.worker.neighbourhood.presences[i]
		endMS, share, more := p.endMS, p.share, p.usesMore
		if p.run != nil {
			endMS, share, more = m.nowMS, p.run.effectiveShare(), p.run.usesMoreCPU()
		}
		overlap := endMS - max(p.startMS, fromMS)
		if p.run == r || overlap <= 0 || usesMore && !more {
			continue
		}
		share *= float64(overlap) / length
		k := slices.IndexFunc(list, func(s neighbours.Share) bool { return s.Image == p.image })
		if k < 0 {
			k = len(list)
			list = append(list, neighbours.Share{Image: p.image})
		}
		list[k].Share = min(1, list[k].Share+share)
	}
	m.separation.scratch = list
	return list
}

// refreshSeparation reads the pairs that count in placement.
func (m *Machine) refreshSeparation() {
	p := m.separation
	if p == nil || p.refreshedMS > 0 && m.nowMS-p.refreshedMS < separationRefreshMS {
		return
	}
	p.refreshedMS = m.nowMS
	known := p.model.Known(separationConfidence, m.nowMS)
	m.recordPairs("interference_known", known, p.known)
	m.recordPairs("interference_forgotten", p.known, known)
	p.know(known)
}

// recordPairs logs the pairs that the other list lacks.
func (m *Machine) recordPairs(kind string, pairs, others []neighbours.Pair) {
	for _, pair := range pairs {
		if !slices.ContainsFunc(others, func(o neighbours.Pair) bool { return o.Victim == pair.Victim && o.Neighbour == pair.Neighbour }) {
			m.out.recordWorker(kind, "", fmt.Sprintf("%s runs %.2f times slower beside %s, confidence %.3f", pair.Victim, pair.Slowdown, pair.Neighbour, pair.Confidence))
		}
	}
}

// know sets the pairs that count in placement.
func (p *separation) know(known []neighbours.Pair) {
	p.known = known
	if len(p.images) >= maxImageIDs {
		p.generation++
		p.images = p.images[:0]
		clear(p.ids)
	}
	for _, pair := range known {
		p.numberOf(pair.Victim)
		p.numberOf(pair.Neighbour)
	}
	p.suffers, p.disturbs = make(map[uint16][]float64), make(map[uint16][]float64)
	set := func(table map[uint16][]float64, of, beside uint16, value float64) {
		if table[of] == nil {
			table[of] = make([]float64, len(p.images))
		}
		table[of][beside] = value
	}
	for _, pair := range known {
		victim, neighbour := p.numberOf(pair.Victim), p.numberOf(pair.Neighbour)
		if max(victim, neighbour) < maxImageIDs {
			set(p.suffers, victim, neighbour, pair.Slowdown-1)
			set(p.disturbs, neighbour, victim, pair.Slowdown-1)
		}
	}
}

// separationRow is what a step's tasks cost beside each image.
type separationRow struct {
	suffers, disturbs []float64
}

// separationOf returns what the step's tasks cost beside each image, and false if nothing is known. Urgent steps and those of the first priority
// count only what they suffer themselves.
func (m *Machine) separationOf(s *step) (separationRow, bool) {
	p := m.separation
	if p == nil || len(p.known) == 0 || s.spec.LongRunning && s.spec.LatencyTargetMS > 0 {
		return separationRow{}, false
	}
	id := p.imageID(s)
	row := separationRow{suffers: p.suffers[id]}
	if s.tier != tierUrgent && s.job.queue.Priority > 0 {
		row.disturbs = p.disturbs[id]
	}
	return row, row.suffers != nil || row.disturbs != nil
}

// cost returns the part of the placement cost that keeps tasks apart. It is never so high that a worker is ruled out.
func (row *separationRow) cost(p *separation, w *worker) float64 {
	sum := 0.0
	for _, c := range p.imagesOn(w) {
		if int(c.id) < len(row.suffers) {
			sum += row.suffers[c.id]
		}
		if int(c.id) < len(row.disturbs) {
			sum += row.disturbs[c.id] * float64(c.runs)
		}
	}
	return min(maxSeparationCost, separationCost*sum)
}

// lossMS estimates the time that a task of the step loses beside the runs on the worker, and they beside it. It counts no loss that they have
// without it, and only the time that both are expected to run.
func (m *Machine) lossMS(s *step, row *separationRow, w *worker) int64 {
	expectedMS := m.expectedMS(s)
	own, sum := m.separation.imageID(s), int64(0)
	longestMS := make(map[uint16]int64)
	present := false
	for _, r := range w.runs {
		id := m.separation.imageID(r.task.step)
		present = present || id == own
		longestMS[id] = max(longestMS[id], m.remainingMS(r))
	}
	for id, ms := range longestMS {
		sum += lostMS(row.suffers, id, min(expectedMS, ms))
	}
	for _, r := range w.runs {
		if !present {
			sum += lostMS(row.disturbs, m.separation.imageID(r.task.step), min(expectedMS, m.remainingMS(r)))
		}
	}
	return sum
}

// lostMS returns how much of the time is lost to the slowdown of the image in the row.
func lostMS(row []float64, id uint16, ms int64) int64 {
	if int(id) >= len(row) {
		return 0
	}
	return int64(float64(ms) * row[id] / (1 + row[id]))
}

// noteChoice notes that a task is placed on a worker in place of another one because of neighbours.
func (m *Machine) noteChoice(s *step, row *separationRow, plain, chosen *worker) {
	if plain == chosen || m.separation.preview {
		return
	}
	m.separation.choice.changed++
	m.separation.choice.savedMS += m.lossMS(s, row, plain) - m.lossMS(s, row, chosen)
}

func (m *Machine) clearChoice() {
	if m.separation != nil {
		m.separation.choice = separationChoice{}
	}
	m.slow.clearChoice()
}

// countChoice counts the last choice, which was carried out.
func (m *Machine) countChoice() {
	if p := m.separation; p != nil {
		p.changed += p.choice.changed
		p.savedMS += p.choice.savedMS
		p.choice = separationChoice{}
	}
	m.slow.countChoice()
}

// addSeparation adds the cost of neighbours to the slots of a gang. While the gang may start, it returns the slots as they were if any cost has changed.
func (m *Machine) addSeparation(s *step, slots []gangSlot) (plain []gangSlot) {
	m.clearChoice()
	row, ok := m.separationOf(s)
	if !ok {
		return nil
	}
	p := m.separation
	for i := range slots {
		c := row.cost(p, slots[i].w)
		if c > 0 && plain == nil && p.gangMayStart {
			plain = slices.Clone(slots)
		}
		slots[i].cost += c
	}
	return plain
}

// mayStartGang sets whether the plans that follow are started, so that their choice of workers is compared with the plain one.
func (m *Machine) mayStartGang(start bool) {
	if m.separation != nil {
		m.separation.gangMayStart = start
	}
}

// noteGangChoice notes which members of a gang are placed on other workers because of neighbours. The slots are in order, the plain ones are not.
func (m *Machine) noteGangChoice(s *step, plain, slots []gangSlot) {
	if plain == nil {
		return
	}
	row, _ := m.separationOf(s)
	sortSlots(plain)
	members := make(map[*worker]int)
	losses := func(ordered []gangSlot, sign int) (sumMS int64) {
		left := s.open
		for _, slot := range ordered {
			n := min(left, slot.count)
			members[slot.w] += sign * n
			sumMS += int64(n) * m.lossMS(s, &row, slot.w)
			if left -= n; left == 0 {
				break
			}
		}
		return sumMS
	}
	savedMS := losses(plain, 1) - losses(slots, -1)
	changed := int64(0)
	for _, n := range members {
		changed += int64(max(0, n))
	}
	if changed > 0 {
		m.separation.choice = separationChoice{changed, savedMS}
	}
}

// InterferenceView shows what is known of tasks that slow each other down.
type InterferenceView struct {
	// Pairs is the number of pairs of images that are observed, Known that of those which count in placement.
	Pairs int `json:"pairs"`
	Known int `json:"known"`
	// PlacementsChanged counts the tasks that were placed on other workers because of that, and SavedMS is the time that they are expected to have saved.
	PlacementsChanged int64 `json:"placements_changed"`
	SavedMS           int64 `json:"saved_ms"`
	// Strongest lists the known pairs of the largest slowdown.
	Strongest []neighbours.Pair `json:"strongest,omitempty"`
}

func (m *Machine) interferenceView() *InterferenceView {
	p := m.separation
	if p == nil {
		return nil
	}
	strongest := slices.Clone(p.known)
	slices.SortStableFunc(strongest, func(a, b neighbours.Pair) int { return cmp.Compare(b.Slowdown, a.Slowdown) })
	return &InterferenceView{Pairs: p.model.Pairs(), Known: len(p.known), PlacementsChanged: p.changed, SavedMS: p.savedMS,
		Strongest: strongest[:min(len(strongest), shownPairs)]}
}

// EncodeInterference returns what is known of interference between tasks, for the next owner. It returns nil if the feature is off.
func (m *Machine) EncodeInterference() ([]byte, error) {
	if m.separation == nil {
		return nil, nil
	}
	return m.separation.model.Encode(m.nowMS, m.unixMS)
}

// RestoreInterference takes over what a former owner knew. Nothing changes if that is not valid.
func (m *Machine) RestoreInterference(data []byte) error {
	if m.separation == nil {
		return nil
	}
	m.separation.refreshedMS = 0
	return m.separation.model.Decode(data, m.nowMS, m.unixMS)
}
