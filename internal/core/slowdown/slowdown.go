// Package slowdown tells which workers have become slow, by the rates of progress of the runs on them. A run that is slow alone tells nothing: 3 of 100
// tasks take 7 times as long. Runs of different steps whose rates have fallen at the same time do, unless other runs on the worker go on as before, or
// the same steps have slowed down elsewhere.
package slowdown

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the evidence. Ratios are natural logarithms.
const (
	// ownVariance is the variance of the ratio of a run's rate to its own earlier one. modelVariance is added to that of an expectation: it covers progress
	// in percent that is not in proportion to time.
	ownVariance, modelVariance = 0.0625, 0.04
	// ownOutliers and modelOutliers are the shares of windows whose ratio tells nothing. Stragglers are 3 of 100 tasks, and run 7 times as long as others.
	ownOutliers, modelOutliers = 0.02, 0.1
	// outlierRange is the range of the ratios of outliers.
	outlierRange = 4.6
	// leastSlowdown and mostSlowdown bound the factors that are looked for.
	leastSlowdown, mostSlowdown = 2.5, 10
	// maxEvidenceMS is the age from which on a window does not count. Reports arrive about once a second.
	maxEvidenceMS = 1600
	// endEvidence is the evidence against a slow worker of a run that has ended in its expected time, for endEvidenceMS.
	endEvidence   = 3
	endEvidenceMS = 500
	// minFallenSteps is the number of steps whose runs have to have fallen.
	minFallenSteps = 2
	// fallenStepEvidence is the mean evidence of a step's runs from which on the step counts as fallen.
	fallenStepEvidence = 1
	// siblingEvidence is added to the evidence of a step that has fallen for each run beyond the first, up to maxSiblingEvidence: with several, the
	// outliers that remain are steps that take longer than expected.
	siblingEvidence, maxSiblingEvidence = 0.75, 1.5
	// priorEvidence is the evidence at which a worker is as likely to be slow as not, minConfidence the confidence from which on it is suspected.
	priorEvidence = 6
	minConfidence = 0.98
	// minCauseWorkers is the number of other workers on which a step has to be slow for it to be the cause, and minCauseShare their share.
	minCauseWorkers = 2
	minCauseShare   = 0.5
	// maxSuspectedShare is the share of a service's workers that may be suspected at a time.
	maxSuspectedShare = 1.0 / 3
	// minNormalRuns is the number of runs at their expected rate that ends a suspicion, maxSilenceMS the time without evidence that does.
	minNormalRuns = 2
	maxSilenceMS  = 8000
	// factorWeight is the weight of the latest windows in the factor of a suspected worker.
	factorWeight = 0.3
	// fixedPoint is the scale of the numbers kept for each run.
	fixedPoint = 1000
)

var (
	ownThreshold, modelThreshold = math.Log(0.5), math.Log(0.4)
	normalThreshold              = math.Log(0.6)
	slowFrom, slowTo             = -math.Log(mostSlowdown), -math.Log(leastSlowdown)
)

// Key numbers a worker, StepKey a step. RunKey tells the runs of one step on a worker apart.
type (
	Key     int32
	StepKey uint32
	RunKey  uint16
)

// Basis is what the rate of a window is compared with.
type Basis uint8

const (
	// OwnRate is what the run has shown before on the same worker.
	OwnRate Basis = iota
	// ExpectedRate is what is expected of the run by other ones.
	ExpectedRate
)

// window is the last window of a run. It takes 16 B.
type window struct {
	step  StepKey
	run   RunKey
	atMS  uint32
	log   int16
	favor int16
}

// fallen reports whether the rate has fallen below the threshold and speaks for a slow worker.
func (o *window) fallen() bool { return o.favor > 0 }

func (o *window) normal() bool {
	return o.favor < -fallenStepEvidence*fixedPoint && float64(o.log) > normalThreshold*fixedPoint
}

func (o *window) fresh(nowMS int64) bool { return uint32(nowMS)-o.atMS <= maxEvidenceMS }

type worker struct {
	windows []window
	// sinceMS is when the worker became suspected, zero if it is not. evidenceMS is when it last had a window of a run that has fallen.
	sinceMS, evidenceMS int64
	factor, confidence  float32
	// dirty is set while windows have come since the last Refresh, endedInTime once a run has ended in its expected time since the suspicion.
	dirty, endedInTime bool
}

// Detector is not safe for concurrent use.
type Detector struct {
	workers   []*worker
	dirty     []Key
	suspected []Key
}

// New returns a detector that knows nothing.
func New() *Detector { return &Detector{} }

func (d *Detector) worker(key Key) *worker {
	for int(key) >= len(d.workers) {
		d.workers = append(d.workers, nil)
	}
	if d.workers[key] == nil {
		d.workers[key] = &worker{}
	}
	return d.workers[key]
}

func (d *Detector) known(key Key) *worker {
	if int(key) >= len(d.workers) {
		return nil
	}
	return d.workers[key]
}

// Observe adds the ratio of the observed to the expected rate of one window of a run, with the variance of its logarithm.
func (d *Detector) Observe(key Key, step StepKey, run RunKey, basis Basis, ratio, variance float64, nowMS int64) {
	w := d.worker(key)
	log := math.Log(max(ratio, 0.01))
	o := window{step: step, run: run, atMS: uint32(nowMS), log: fixed(log), favor: fixed(evidence(basis, log, variance))}
	if i := w.find(step, run); i >= 0 {
		w.windows[i] = o
	} else {
		w.windows = append(w.windows, o)
	}
	if !w.dirty {
		w.dirty = true
		d.dirty = append(d.dirty, key)
	}
}

func fixed(x float64) int16 { return int16(math.Round(max(-30, min(30, x)) * fixedPoint)) }

func (w *worker) find(step StepKey, run RunKey) int {
	return slices.IndexFunc(w.windows, func(o window) bool { return o.step == step && o.run == run })
}

// evidence returns the logarithm of how many times likelier the ratio is on a slow worker. It is bounded by the share of outliers.
func evidence(basis Basis, log, variance float64) float64 {
	outliers, threshold, least := ownOutliers, ownThreshold, ownVariance
	if basis == ExpectedRate {
		outliers, threshold, least = modelOutliers, modelThreshold, modelVariance
	}
	sigma := math.Sqrt(variance + least)
	z := log / sigma
	usual := (1-outliers)*math.Exp(-z*z/2)/(sigma*math.Sqrt(2*math.Pi)) + outliers/outlierRange
	if log > 0 {
		// A run that is faster than expected is as little slow as one that is as fast.
		usual = max(usual, (1-outliers)/(sigma*math.Sqrt(2*math.Pi)))
	}
	slow := (1-outliers)*(below((log-slowFrom)/sigma)-below((log-slowTo)/sigma))/(slowTo-slowFrom) + outliers/outlierRange
	if log < slowFrom {
		slow = max(slow, (1-outliers)/2/(slowTo-slowFrom))
	}
	e := math.Log(slow / usual)
	if log >= threshold {
		return min(e, 0)
	}
	return e
}

// below returns the probability that a normal value is below z.
func below(z float64) float64 { return math.Erfc(-z/math.Sqrt2) / 2 }

// Ended removes a run. inTime is set if the time since its last window, or since its start, was as expected.
func (d *Detector) Ended(key Key, step StepKey, run RunKey, inTime bool, nowMS int64) {
	w := d.worker(key)
	i := w.find(step, run)
	switch {
	case inTime && w.sinceMS > 0:
		w.endedInTime = true
	case inTime:
		o := window{step: step, run: run, atMS: uint32(nowMS - maxEvidenceMS + endEvidenceMS), favor: -fixed(endEvidence)}
		if i < 0 {
			// Without this, the ends of runs that are never observed would add up.
			w.windows = append(slices.DeleteFunc(w.windows, func(o window) bool { return !o.fresh(nowMS) }), o)
		} else {
			w.windows[i] = o
		}
		return
	}
	if i >= 0 {
		w.windows = slices.Delete(w.windows, i, i+1)
	}
}

// Forget drops what is known of a worker, which another incarnation has replaced, or which has left.
func (d *Detector) Forget(key Key) {
	if w := d.known(key); w != nil {
		d.workers[key] = nil
		if w.dirty {
			d.dirty = slices.DeleteFunc(d.dirty, func(k Key) bool { return k == key })
		}
		d.suspected = slices.DeleteFunc(d.suspected, func(k Key) bool { return k == key })
	}
}

// Factor returns how many times slower the worker is, 1 if it is not suspected, and the confidence in that.
func (d *Detector) Factor(key Key) (factor, confidence float64) {
	if w := d.known(key); w != nil && w.sinceMS > 0 {
		return float64(w.factor), float64(w.confidence)
	}
	return 1, 0
}

// Suspected returns the number of suspected workers.
func (d *Detector) Suspected() int { return len(d.suspected) }

// Return is a worker that is no longer suspected. Fast is set if runs have shown that it is fast again.
type Return struct {
	Key  Key
	Fast bool
}

// judgement is what the windows of a worker say together.
type judgement struct {
	key                      Key
	evidence                 float64
	logs                     []float64
	fallenSteps              int
	fallenRuns, normalRuns   int
	confidence               float64
	stepsOfCandidate         []StepKey
	suspectedBefore, clearly bool
}

// judge sums up the evidence of the fresh windows. The runs of a step count as one. Steps for which caused returns true do not count.
func (w *worker) judge(key Key, nowMS int64, caused func(StepKey) bool) judgement {
	j := judgement{key: key}
	for i := range w.windows {
		o := &w.windows[i]
		if !o.fresh(nowMS) || slices.ContainsFunc(w.windows[:i], func(e window) bool { return e.step == o.step && e.fresh(nowMS) }) {
			continue
		}
		if caused != nil && caused(o.step) {
			continue
		}
		sum, logs, runs := 0, 0, 0
		for _, e := range w.windows[i:] {
			if e.step == o.step && e.fresh(nowMS) {
				runs++
				sum += int(e.favor)
				logs += int(e.log)
				j.fallenRuns += count(e.fallen())
				j.normalRuns += count(e.normal())
			}
		}
		mean := float64(sum) / float64(runs) / fixedPoint
		if mean > fallenStepEvidence {
			// Not all of several runs are stragglers.
			mean += min(maxSiblingEvidence, siblingEvidence*float64(runs-1))
			j.fallenSteps++
			j.logs = append(j.logs, float64(logs)/float64(runs)/fixedPoint)
			j.stepsOfCandidate = append(j.stepsOfCandidate, o.step)
		}
		j.evidence += mean
	}
	j.confidence = 1 / (1 + math.Exp(priorEvidence-j.evidence))
	j.clearly = j.fallenSteps >= minFallenSteps && j.confidence >= minConfidence
	return j
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// stepCount is on how many workers a step runs, and on how many it has fallen.
type stepCount struct {
	seen, fallen         int
	seenLast, fallenLast Key
}

// countSteps counts the workers of the steps of the candidates. Those that are suspected do not count: their slowness is explained.
func (d *Detector) countSteps(candidates []judgement, nowMS int64) map[StepKey]*stepCount {
	counts := make(map[StepKey]*stepCount)
	for _, c := range candidates {
		for _, s := range c.stepsOfCandidate {
			counts[s] = &stepCount{seenLast: -1, fallenLast: -1}
		}
	}
	for key, w := range d.workers {
		if w == nil || w.sinceMS > 0 {
			continue
		}
		for i := range w.windows {
			o := &w.windows[i]
			c := counts[o.step]
			if c == nil || !o.fresh(nowMS) {
				continue
			}
			if c.seenLast != Key(key) {
				c.seen++
				c.seenLast = Key(key)
			}
			if o.fallen() && c.fallenLast != Key(key) {
				c.fallen++
				c.fallenLast = Key(key)
			}
		}
	}
	return counts
}

// cause reports whether the step is slow on most of several other workers.
func (c *stepCount) cause() bool {
	return c != nil && c.fallen-1 >= minCauseWorkers && float64(c.fallen-1) >= minCauseShare*float64(c.seen-1)
}

// Refresh decides anew which workers are suspected, and returns those that have become so and those that are no longer. sizeOf names the service of a
// worker and tells how many workers it has.
func (d *Detector) Refresh(nowMS int64, sizeOf func(Key) (service string, workers int)) (suspected []Key, returned []Return) {
	var candidates []judgement
	for _, key := range d.dirty {
		w := d.workers[key]
		w.dirty = false
		w.windows = slices.DeleteFunc(w.windows, func(o window) bool { return !o.fresh(nowMS) })
		if w.sinceMS > 0 {
			// Suspected workers are judged by review.
			continue
		}
		if j := w.judge(key, nowMS, nil); j.clearly {
			candidates = append(candidates, j)
		}
	}
	dirty := d.dirty
	d.dirty = d.dirty[:0]
	if len(candidates) > 0 {
		counts := d.countSteps(candidates, nowMS)
		caused := func(s StepKey) bool { return counts[s].cause() }
		for i, c := range candidates {
			candidates[i] = d.workers[c.key].judge(c.key, nowMS, caused)
		}
		candidates = slices.DeleteFunc(candidates, func(j judgement) bool { return !j.clearly })
	}
	if len(d.suspected) > 0 {
		returned = d.review(dirty, nowMS)
	}
	if len(candidates) == 0 {
		return nil, returned
	}
	for _, key := range d.suspected {
		candidates = append(candidates, judgement{key: key, confidence: float64(d.workers[key].confidence), suspectedBefore: true})
	}
	accepted, cleared := limit(candidates, sizeOf)
	for _, j := range accepted {
		if w := d.workers[j.key]; !j.suspectedBefore {
			*w = worker{windows: w.windows, sinceMS: max(1, nowMS), evidenceMS: nowMS, confidence: float32(j.confidence), factor: float32(j.factor())}
			d.suspected = append(d.suspected, j.key)
			suspected = append(suspected, j.key)
		}
	}
	for _, j := range cleared {
		if j.suspectedBefore {
			d.clear(j.key)
			returned = append(returned, Return{j.key, false})
		}
	}
	slices.Sort(suspected)
	return suspected, returned
}

// factor returns how many times slower the runs of the median step are. A straggler on a slow worker would distort the mean.
func (j *judgement) factor() float64 {
	slices.Sort(j.logs)
	n := len(j.logs)
	return min(mostSlowdown, max(leastSlowdown, math.Exp(-(j.logs[n/2]+j.logs[(n-1)/2])/2)))
}

// review updates the suspected workers, and clears those that have recovered.
func (d *Detector) review(dirty []Key, nowMS int64) (returned []Return) {
	for _, key := range slices.Clone(d.suspected) {
		w := d.workers[key]
		if slices.Contains(dirty, key) {
			j := w.judge(key, nowMS, nil)
			if j.fallenSteps >= minFallenSteps && j.evidence > 0 {
				w.evidenceMS = nowMS
			}
			if j.clearly {
				w.confidence, w.factor = float32(j.confidence), w.factor+factorWeight*(float32(j.factor())-w.factor)
			}
			if j.normalRuns >= minNormalRuns && j.normalRuns > j.fallenRuns {
				w.endedInTime = true
			}
		}
		if w.endedInTime || nowMS-w.evidenceMS >= maxSilenceMS {
			returned = append(returned, Return{key, w.endedInTime})
			d.clear(key)
		}
	}
	return returned
}

func (d *Detector) clear(key Key) {
	w := d.workers[key]
	*w = worker{windows: w.windows[:0], dirty: w.dirty}
	d.suspected = slices.DeleteFunc(d.suspected, func(k Key) bool { return k == key })
}

// limit divides the workers into those that are suspected and, of services with too many, the least certain ones.
func limit(list []judgement, sizeOf func(Key) (string, int)) (accepted, cleared []judgement) {
	slices.SortFunc(list, func(a, b judgement) int {
		return cmp.Or(cmp.Compare(b.confidence, a.confidence), cmp.Compare(count(b.suspectedBefore), count(a.suspectedBefore)), cmp.Compare(a.key, b.key))
	})
	taken := make(map[string]int)
	for _, j := range list {
		service, workers := sizeOf(j.key)
		if float64(taken[service]+1) > maxSuspectedShare*float64(workers) {
			cleared = append(cleared, j)
			continue
		}
		taken[service]++
		accepted = append(accepted, j)
	}
	return accepted, cleared
}
