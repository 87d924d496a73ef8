package interference

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

// Image identifies tasks that are expected to behave alike.
type Image string

// ImageOf returns the image of a step. A step without one counts by its queue.
func ImageOf(image, queue string) Image {
	if image != "" {
		return Image(image)
	}
	return Image("queue:" + queue)
}

// Parameters of the model. Effects are differences of log speeds.
const (
	// halfLifeMS is the half-life of what is known of a pair that is not observed any more. A slowdown of 2 then counts with a confidence of 0.99 for
	// 60 s after the last observation, one of 3 for 150 s. With 60 s these were 12 s and 25 s, and pairs that were kept apart met again and again.
	halfLifeMS = 300_000
	// decayIntervalMS is the resolution of the decay.
	decayIntervalMS = 250
	// priorEffectVariance permits a factor of 1.5 in either direction at one standard deviation.
	priorEffectVariance = 0.16
	// leastEffectVariance keeps the filter responsive: a slowdown of 2 that ends at once is not known any more after some 30 windows beside the
	// neighbour. With it, slowdowns from 1.3 on can be known with a confidence of 0.99.
	leastEffectVariance = 0.005
	// workerPriorWeight is the weight of the assumption that a worker is as fast as the others.
	workerPriorWeight = 1
	// phasePriorWeight is the weight of the assumption that progress grows evenly, maxPhaseWeight bounds that of earlier windows.
	phasePriorWeight = 2
	maxPhaseWeight   = 300
	// initialNoise is the variance of the log speed between tasks of a step while fewer than noiseObservations have shown it. With 0.05, pairs were
	// known wrongly in the first seconds where that of the tasks was larger.
	initialNoise      = 0.15
	minNoise          = 0.01
	maxNoise          = 0.5
	noiseObservations = 10
	maxNoiseWeight    = 500
	// maxDeviation bounds the influence of one observation, in standard deviations: a few tasks of a step take many times as long as the others.
	maxDeviation = 2.5
	// maxBaselineWeight bounds the weight of earlier windows in a mean, so that it follows changes.
	maxBaselineWeight = 40
	// leastFactor is the slowdown that a pair has to exceed in order to matter. Smaller ones cost less than a worse fit.
	leastFactor = 1.1
	// minContrastSum and minWorkers have to be reached before a pair has any confidence: one run, or one worker, may differ for its own reasons. A
	// window beside a neighbour that half of the others had counts a quarter. With a sum of 4, single plays without an effect changed 4 % of the placements.
	minContrastSum = 4
	minWorkers     = 3
	// minShare is the share of a window from which on it counts as an observation of the neighbour on that worker.
	minShare = 0.3
	// minMeanShare is the mean share below which an image that is absent does not count.
	minMeanShare = 0.01
	// minContrast is the difference from the mean share on the worker from which on a window says something about a neighbour.
	minContrast = 0.2
)

// Bounds of the state.
const (
	maxVictims    = 48
	maxNeighbours = 16
	// maxWorkerVictims bounds the victims of which means are held for one worker.
	maxWorkerVictims = 8
	// maxImageBytes bounds the names that are tracked.
	maxImageBytes = 200
	// staleMS is how long a pair or victim has not been observed before it makes room for another one.
	staleMS = 5000
)

// Share is the fraction of a window in which a task of the image was on the worker.
type Share struct {
	Image Image
	Share float64
}

// Baseline holds the means of the observed windows of one step.
type Baseline struct {
	weight   float64
	logSpeed float64
	shares   []Share
}

func (b *Baseline) add(logSpeed float64, neighbours []Share) {
	b.weight = min(b.weight+1, maxBaselineWeight)
	b.logSpeed += (logSpeed - b.logSpeed) / b.weight
	for i := range b.shares {
		b.shares[i].Share -= b.shares[i].Share / b.weight
	}
	for _, n := range neighbours {
		i := slices.IndexFunc(b.shares, func(s Share) bool { return s.Image == n.Image })
		if i < 0 {
			if len(b.shares) >= maxNeighbours {
				continue
			}
			i = len(b.shares)
			b.shares = append(b.shares, Share{Image: n.Image})
		}
		b.shares[i].Share += n.Share / b.weight
	}
}

// mean returns the mean share of the image.
func (b *Baseline) mean(image Image) float64 {
	for _, s := range b.shares {
		if s.Image == image {
			return s.Share
		}
	}
	return 0
}

// Worker holds the speed of a worker and the means of what was observed there of each victim. The zero value knows nothing.
type Worker struct {
	logSpeed float64
	weight   float64
	victims  []workerVictim
}

// workerVictim holds the means of the windows of one victim on a worker.
type workerVictim struct {
	image Image
	// shares are the shares as observed, centred what is left of speed and shares without the means of the steps.
	shares, centred Baseline
	seenMS          int64
}

// victim returns the means of the victim, in place of those that were not used for longest if there is no room.
func (w *Worker) victim(image Image, nowMS int64) *workerVictim {
	oldest := 0
	for i := range w.victims {
		v := &w.victims[i]
		if v.image == image {
			v.seenMS = nowMS
			return v
		}
		if v.seenMS < w.victims[oldest].seenMS {
			oldest = i
		}
	}
	if len(w.victims) < maxWorkerVictims {
		oldest = len(w.victims)
		w.victims = append(w.victims, workerVictim{})
	}
	w.victims[oldest] = workerVictim{image: image, seenMS: nowMS}
	return &w.victims[oldest]
}

func decayFactor(ms int64) float64 { return math.Exp2(-float64(ms) / halfLifeMS) }

// Phases is the number of parts into which the progress of a task is divided.
const Phases = 10

// phase is the mean of the log speeds of a victim in one phase, relative to its steps. Few tasks report progress that grows evenly, and tasks that
// begin together are in the same phase beside the same neighbours.
type phase struct {
	logSpeed, weight float64
}

// Observation is the speed of one run in a window of time.
type Observation struct {
	Victim Image
	// LogSpeed is the logarithm of the speed, in a unit that is the same for all observations of the step.
	LogSpeed float64
	// Variance is that of the measurement.
	Variance float64
	// Run holds the means of the earlier windows of the run, and is updated. It is nil if there is only this one.
	Run *Baseline
	// Slot identifies the worker.
	Slot int
	// Phase is the tenth of the task's progress that the window is in, from 1 to Phases. Zero means the whole run, or that it is not known.
	Phase int
	// Neighbours lists each image once.
	Neighbours []Share
}

// pair is the effect of one neighbour on a victim. Its variance is in the victim's covariance.
type pair struct {
	neighbour Image
	effect    float64
	// contrast is the decayed sum of the squares of what was left of the neighbour's share in each window.
	contrast float64
	// workers and earlierWorkers mark the workers of these, by slot modulo 64, in this half-life and the one before.
	workers, earlierWorkers uint64
	seenMS                  int64
}

type victim struct {
	image Image
	pairs []pair
	// covariance of the effects, symmetric.
	covariance [maxNeighbours][maxNeighbours]float64
	noise      float64
	phases     [Phases + 1]phase
	// noiseWeight is the number of observations in noise.
	noiseWeight float64
	atMS        int64
	maskMS      int64
	seenMS      int64
}

// Model holds the estimates of all pairs. It is not safe for concurrent use.
type Model struct {
	// victims is sorted by image.
	victims []*victim
	// The remaining fields are used within one call. step holds the shares of a window less the means of its step, here less those of the victim on the worker,
	// and both less both. contrast marks the pairs that the window says something about.
	x, px            [maxNeighbours]float64
	contrast         [maxNeighbours]bool
	step, here, both []Share
	run              []Share
}

// New returns a model that knows nothing.
func New() *Model { return &Model{} }

func (m *Model) find(image Image) (int, bool) {
	return slices.BinarySearchFunc(m.victims, image, func(v *victim, i Image) int { return cmp.Compare(v.image, i) })
}

// victim returns the victim of the image, or nil if there is no room for it.
func (m *Model) victim(image Image, nowMS int64) *victim {
	i, ok := m.find(image)
	if ok {
		return m.victims[i]
	}
	if len(image) > maxImageBytes {
		return nil
	}
	if len(m.victims) >= maxVictims {
		least := -1
		for k, v := range m.victims {
			if nowMS-v.seenMS >= staleMS && (least < 0 || v.information(nowMS) < m.victims[least].information(nowMS)) {
				least = k
			}
		}
		if least < 0 {
			return nil
		}
		m.victims = slices.Delete(m.victims, least, least+1)
		i, _ = m.find(image)
	}
	v := &victim{image: image, noise: initialNoise, atMS: nowMS, maskMS: nowMS, seenMS: nowMS}
	m.victims = slices.Insert(m.victims, i, v)
	return v
}

// information is the total reduction of the variances, which a victim that is dropped would lose.
func (v *victim) information(nowMS int64) float64 {
	sum := 0.0
	for i := range v.pairs {
		sum += priorEffectVariance - v.covariance[i][i]
	}
	f := decayFactor(max(0, nowMS-v.atMS))
	return sum * f * f
}

// decay moves effects and covariance towards what holds of unknown pairs.
func (v *victim) decay(nowMS int64) {
	d := nowMS - v.atMS
	if d < decayIntervalMS {
		return
	}
	v.atMS = nowMS
	f := decayFactor(d)
	n := len(v.pairs)
	for i := range n {
		v.pairs[i].effect *= f
		v.pairs[i].contrast *= f
		for k := range n {
			v.covariance[i][k] *= f * f
		}
		v.covariance[i][i] += (1 - f*f) * priorEffectVariance
	}
	for ; nowMS-v.maskMS >= halfLifeMS; v.maskMS += halfLifeMS {
		for i := range v.pairs {
			v.pairs[i].earlierWorkers, v.pairs[i].workers = v.pairs[i].workers, 0
		}
		if nowMS-v.maskMS >= 3*halfLifeMS {
			v.maskMS = nowMS - 2*halfLifeMS
		}
	}
}

// pairIndex returns the index of the pair with the neighbour, or -1 if there is no room for it.
func (v *victim) pairIndex(neighbour Image, nowMS int64) int {
	for i := range v.pairs {
		if v.pairs[i].neighbour == neighbour {
			return i
		}
	}
	if len(neighbour) > maxImageBytes {
		return -1
	}
	i := len(v.pairs)
	if i >= maxNeighbours {
		i = -1
		for k := range v.pairs {
			if nowMS-v.pairs[k].seenMS >= staleMS && (i < 0 || v.covariance[k][k] > v.covariance[i][i]) {
				i = k
			}
		}
		if i < 0 {
			return -1
		}
	} else {
		v.pairs = append(v.pairs, pair{})
	}
	v.pairs[i] = pair{neighbour: neighbour, seenMS: nowMS}
	for k := range v.pairs {
		v.covariance[i][k], v.covariance[k][i] = 0, 0
	}
	v.covariance[i][i] = priorEffectVariance
	return i
}

// Observe updates the model, the baseline of the observed step and what is known of the worker.
func (m *Model) Observe(o Observation, b *Baseline, w *Worker, nowMS int64) {
	speed := o.LogSpeed - w.logSpeed
	v := m.victim(o.Victim, nowMS)
	if v != nil && o.Phase > 0 {
		speed -= v.phases[o.Phase].logSpeed
	}
	if b.weight == 0 {
		b.add(speed, o.Neighbours)
		return
	}
	// What is left of speed and shares without the step is compared with the same on this worker at other times.
	m.centre(&m.step, b, o.Neighbours)
	here := w.victim(o.Victim, nowMS)
	deviation := speed - b.logSpeed
	// The speed of the worker is part of its mean, so that a better estimate of it changes nothing.
	atWorker := deviation + w.logSpeed
	if v != nil {
		v.decay(nowMS)
		if o.Phase > 0 {
			v.phases[o.Phase].add(deviation)
		}
		v.seenMS = nowMS
		for _, s := range o.Neighbours {
			v.note(s, o.Slot, nowMS)
		}
		if here.centred.weight > 0 {
			m.centre(&m.here, &here.shares, o.Neighbours)
			m.centre(&m.both, &here.centred, m.step)
			m.updateBeside(v, o, atWorker-here.centred.logSpeed, 1+1/b.weight+1/here.centred.weight, nowMS)
		}
	}
	here.centred.add(atWorker, m.step)
	here.shares.add(0, o.Neighbours)
	w.weight = min(max(w.weight, workerPriorWeight)+1, maxBaselineWeight)
	w.logSpeed += deviation / w.weight
	b.add(speed, o.Neighbours)
}

// add updates the phase with the deviation of a window from it.
func (p *phase) add(deviation float64) {
	p.weight = min(max(p.weight, phasePriorWeight)+1, maxPhaseWeight)
	p.logSpeed += deviation / p.weight
}

// updateBeside updates the victim with what is left of a window without the means of its step and its worker. Those of its run count the more, the
// more windows they are of, since a run differs from others of its step by about as much as its windows do from each other. The windows of a run
// whose neighbours stay together weigh at most 1.6 times as much as a single one.
func (m *Model) updateBeside(v *victim, o Observation, deviation, noiseFactor float64, nowMS int64) {
	shares := m.both
	if o.Run != nil {
		part := o.Run.weight / (1 + o.Run.weight)
		m.centreBy(&m.run, o.Run, m.both, part)
		shares = m.run
		left := deviation - part*o.Run.logSpeed
		o.Run.add(deviation, m.both)
		deviation = left
	}
	m.update(v, shares, deviation, o.Variance, noiseFactor, nowMS)
}

// centre sets dst to the shares less their means.
func (m *Model) centre(dst *[]Share, mean *Baseline, shares []Share) {
	m.centreBy(dst, mean, shares, 1)
}

// centreBy sets dst to the shares less a part of their means.
func (m *Model) centreBy(dst *[]Share, mean *Baseline, shares []Share, part float64) {
	list := (*dst)[:0]
	for _, s := range shares {
		list = append(list, Share{s.Image, s.Share - part*mean.mean(s.Image)})
	}
	for _, s := range mean.shares {
		if math.Abs(s.Share) >= minMeanShare && !slices.ContainsFunc(shares, func(o Share) bool { return o.Image == s.Image }) {
			list = append(list, Share{s.Image, -part * s.Share})
		}
	}
	*dst = list
}

// note counts a window beside the neighbour.
func (v *victim) note(s Share, slot int, nowMS int64) {
	i := v.pairIndex(s.Image, nowMS)
	if i < 0 {
		return
	}
	p := &v.pairs[i]
	p.seenMS = nowMS
	if s.Share >= minShare {
		p.workers |= 1 << (uint(slot) % 64)
	}
}

// update is one step of a Kalman filter for the victim's effects. Only pairs whose share differs from its mean on
// the worker change: a neighbour that is always on a worker can't be told from the worker's own speed. The uncertainty of the others counts as
// noise.
func (m *Model) update(v *victim, shares []Share, deviation, variance, noiseFactor float64, nowMS int64) {
	clear(m.x[:])
	clear(m.contrast[:])
	for _, s := range shares {
		if i := v.pairIndex(s.Image, nowMS); i >= 0 {
			m.x[i] += s.Share
		}
	}
	for _, s := range m.here {
		if i := v.pairIndex(s.Image, nowMS); i >= 0 && math.Abs(s.Share) >= minContrast {
			m.contrast[i] = true
		}
	}
	known := variance
	n := len(v.pairs)
	for i := range n {
		sum := 0.0
		for k := range n {
			sum += v.covariance[i][k] * m.x[k]
		}
		m.px[i] = sum
		known += sum * m.x[i]
		deviation -= m.x[i] * v.pairs[i].effect
	}
	v.noiseWeight = min(max(v.noiseWeight, noiseObservations)+1, maxNoiseWeight)
	observed := max(0, deviation*deviation-known) / noiseFactor
	v.noise = min(maxNoise, max(minNoise, v.noise+(min(observed, 2*maxNoise)-v.noise)/v.noiseWeight))
	total := known + v.noise*noiseFactor
	limit := maxDeviation * math.Sqrt(total)
	deviation = min(limit, max(-limit, deviation))
	for i := range n {
		if m.contrast[i] {
			v.pairs[i].effect += m.px[i] * deviation / total
			v.pairs[i].contrast += m.x[i] * m.x[i]
		}
		for k := range n {
			if m.contrast[i] || m.contrast[k] {
				v.covariance[i][k] -= m.px[i] * m.px[k] / total
			}
		}
	}
	for i := range n {
		v.covariance[i][i] = max(v.covariance[i][i], leastEffectVariance)
	}
}

// Pair is what is known of an ordered pair of images.
type Pair struct {
	Victim    Image `json:"victim"`
	Neighbour Image `json:"neighbour"`
	// Slowdown is how many times slower the victim runs beside the neighbour.
	Slowdown float64 `json:"slowdown"`
	// Confidence is the probability that the slowdown is above 1.1, by the model.
	Confidence float64 `json:"confidence"`
}

// estimate returns the slowdown and confidence of a pair whose victim was decayed by the factor since.
func (v *victim) estimate(i int, f float64) (slowdown, confidence float64) {
	p := &v.pairs[i]
	effect := -p.effect * f
	slowdown = max(1, math.Exp(effect))
	if p.contrast*f < minContrastSum || bits.OnesCount64(p.workers|p.earlierWorkers) < minWorkers {
		return slowdown, 0
	}
	variance := v.covariance[i][i]*f*f + (1-f*f)*priorEffectVariance
	z := (effect - math.Log(leastFactor)) / math.Sqrt(max(variance, 1e-9))
	return slowdown, 0.5 * math.Erfc(-z/math.Sqrt2)
}

// Slowdown returns how many times slower the victim runs beside the neighbour, and the confidence from 0 to 1 that it is slowed at all.
func (m *Model) Slowdown(victim, neighbour Image, nowMS int64) (factor, confidence float64) {
	k, ok := m.find(victim)
	if !ok {
		return 1, 0
	}
	v := m.victims[k]
	for i := range v.pairs {
		if v.pairs[i].neighbour == neighbour {
			return v.estimate(i, decayFactor(max(0, nowMS-v.atMS)))
		}
	}
	return 1, 0
}

// Known returns the pairs of at least the confidence, by victim and neighbour.
func (m *Model) Known(confidence float64, nowMS int64) []Pair {
	var list []Pair
	for _, v := range m.victims {
		f := decayFactor(max(0, nowMS-v.atMS))
		from := len(list)
		for i := range v.pairs {
			if factor, c := v.estimate(i, f); c >= confidence {
				list = append(list, Pair{v.image, v.pairs[i].neighbour, factor, c})
			}
		}
		slices.SortFunc(list[from:], func(a, b Pair) int { return cmp.Compare(a.Neighbour, b.Neighbour) })
	}
	return list
}

// Pairs returns the number of pairs that have been observed.
func (m *Model) Pairs() int {
	n := 0
	for _, v := range m.victims {
		n += len(v.pairs)
	}
	return n
}
