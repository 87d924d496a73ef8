// Package runtimes learns how long tasks take and how fast workers are. Callers' estimates are rough: the best expectation of the logarithm of
// a task's duration is a weighted mean of its estimate and of what the tasks of its queue take, with a weight that a regression finds.
package runtimes

import (
	"cmp"
	"math"

	"auburnpier/internal/domain"
)

// Parameters of the learned durations. Times are natural logarithms of milliseconds.
const (
	// defaultTaskMS is the duration of a task without an estimate while none has been observed.
	defaultTaskMS = 1000
	// maxWeight bounds the weight of earlier runs, in steps, and so how long a change of the mix takes to be learned.
	maxWeight = 80
	// minWeight is the weight from which on the runs of a queue count. priorWeight is the weight of the assumption that estimates are
	// right, or that a class does not differ from its queue.
	minWeight   = 3
	priorWeight = 4
	// priorSpread is the variance of the logarithm of estimates that goes with priorWeight, priorVariance that of their errors.
	priorSpread   = 0.5
	priorVariance = 0.5
	// maxError bounds the logarithmic error that a single run counts with.
	maxError = 3
	// minClassWeight is the weight from which on a team or image may have an expectation of its own, and ownLossShare the share of the
	// queue's squared error below which its own one has to be. The same runs are compared, so chance hardly reaches it.
	minClassWeight = 8
	ownLossShare   = 0.85
	// Bounds of the number of queues, and of teams and images in them. The ones without runs for longest are forgotten.
	maxQueues  = 128
	maxClasses = 1536
	// p90Deviations is the number of standard deviations of the 90th percentile of a normal distribution.
	p90Deviations = 1.2816
	// withinVariance is the variance of the logarithm of the durations of the tasks of one step: 0.27 to 0.31 squared for two customers.
	withinVariance = 0.085
)

// Class names tasks that are expected to take about as long. A gang takes as long as its slowest member, so gangs are apart.
type Class struct {
	Queue domain.QueueID
	Team  domain.TeamID
	Image string
	Gang  bool
}

// Expectation is what a task is expected to take on a worker of mean speed.
type Expectation struct {
	// MedianMS is the typical duration, which orders work, and MeanMS the expected one, which sums up.
	MedianMS, MeanMS, P90MS int64
	// Confidence is zero while the caller's estimate is all that is known, and one if the runs of the class outweigh it by far.
	Confidence float64
	// mu and variance are of the logarithm of the duration.
	mu, variance float64
}

func expectation(mu, variance, confidence float64) Expectation {
	return Expectation{MedianMS: toMS(mu), MeanMS: toMS(mu + variance/2), P90MS: toMS(mu + p90Deviations*math.Sqrt(variance)),
		Confidence: confidence, mu: mu, variance: variance}
}

// Deviation returns the standard deviation of the logarithm of the duration.
func (e Expectation) Deviation() float64 { return math.Sqrt(e.variance) }

func toMS(log float64) int64 { return max(1, int64(math.Round(math.Exp(min(log, logMaxRunTime))))) }

var logMaxRunTime = math.Log(float64(domain.MaxRunTimeMS))

// Run is a run that has succeeded.
type Run struct {
	Class Class
	// EstimateMS is the caller's estimate, or zero.
	EstimateMS int64
	TookMS     int64
	// Speed is that of the worker, for a gang that of the slowest one.
	Speed float64
	// Tasks is the number of tasks of the step. Their durations are alike, so they count as one together.
	Tasks int
}

type queueKey struct {
	queue           domain.QueueID
	gang, estimated bool
}

// classKey names a team or an image of a queue.
type classKey struct {
	queueKey
	team  domain.TeamID
	image string
}

func compareQueues(a, b queueKey) int {
	return cmp.Or(cmp.Compare(a.queue, b.queue), domain.CompareBools(a.gang, b.gang), domain.CompareBools(a.estimated, b.estimated))
}

func compareClasses(a, b classKey) int {
	return cmp.Or(compareQueues(a.queueKey, b.queueKey), cmp.Compare(a.team, b.team), cmp.Compare(a.image, b.image))
}

// line is a regression of y on x with forgetting.
type line struct {
	// weight is of all points, mx and my are their means, sxx and sxy their variance and covariance.
	weight, mx, my, sxx, sxy float64
}

// add adds a point and returns the share of it in the means.
func (l *line) add(x, y, weight float64) float64 {
	l.weight = min(l.weight+weight, maxWeight)
	share := weight / l.weight
	dx, dy := x-l.mx, y-l.my
	l.mx += share * dx
	l.my += share * dy
	l.sxx = (1 - share) * (l.sxx + share*dx*dx)
	l.sxy = (1 - share) * (l.sxy + share*dx*dy)
	return share
}

// at returns y for an x, shrunk towards the line through the mean of x with the prior slope, 0 or 1, and with y = slope * x there.
func (l *line) at(x, slope float64) float64 {
	const ridge = priorWeight * priorSpread
	b := min(1, (l.weight*l.sxy+ridge*slope)/(l.weight*l.sxx+ridge))
	b = max(b, slope-1)
	return (l.weight*l.my+priorWeight*slope*l.mx)/(l.weight+priorWeight) + b*(x-l.mx)
}

// queueLine predicts the durations of a queue from the estimates. loss is the mean squared error of its predictions before each run.
type queueLine struct {
	line
	loss   float64
	usedMS int64
}

func (q *queueLine) variance() float64 {
	return (q.weight*q.loss + priorWeight*priorVariance) / (q.weight + priorWeight)
}

// classLine predicts how far the durations of a team or image are from those of its queue.
type classLine struct {
	line
	// loss is the mean squared error of its predictions, queueLoss that of the queue's for the same runs.
	loss, queueLoss float64
	usedMS          int64
}

func (c *classLine) differs() bool {
	return c != nil && c.weight >= minClassWeight && c.loss < ownLossShare*c.queueLoss
}

// Model learns durations and speeds. It is not safe for concurrent use.
type Model struct {
	queues  map[queueKey]*queueLine
	classes map[classKey]*classLine
	workers map[WorkerKey]*workerSpeed
	groups  groups
	// changes counts what was learned.
	changes int64
	// expectedError and estimateError are the smoothed absolute logarithmic errors of expectations and of estimates.
	expectedError, estimateError float64
	runs                         int64
}

// New returns an empty model.
func New() *Model {
	return &Model{queues: make(map[queueKey]*queueLine), classes: make(map[classKey]*classLine), workers: make(map[WorkerKey]*workerSpeed)}
}

// errorWeight is the weight of the newest run in the smoothed errors.
const errorWeight = 0.01

func keyOf(class Class, estimateMS int64) (queueKey, float64) {
	if estimateMS <= 0 {
		return queueKey{class.Queue, class.Gang, false}, math.Log(defaultTaskMS)
	}
	return queueKey{class.Queue, class.Gang, true}, math.Log(float64(estimateMS))
}

// Record adds a run that has succeeded.
func (m *Model) Record(r Run, nowMS int64) {
	key, x := keyOf(r.Class, r.EstimateMS)
	y := math.Log(float64(max(1, r.TookMS))) + math.Log(max(r.Speed, minSpeed))
	weight := 1 / float64(max(1, r.Tasks))
	m.changes++
	m.noteErrors(y, r)
	q := m.queueLine(key)
	q.usedMS = nowMS
	e := clampError(y - q.at(x, 1))
	for _, k := range classKeys(key, r.Class) {
		c := m.classLine(k)
		c.usedMS = nowMS
		own := e - c.at(x, 0)
		share := c.add(x, e, weight)
		c.loss += share * (own*own - c.loss)
		c.queueLoss += share * (e*e - c.queueLoss)
	}
	share := q.add(x, q.at(x, 1)+e, weight)
	q.loss += share * (e*e - q.loss)
}

func clampError(e float64) float64 { return min(maxError, max(-maxError, e)) }

func (m *Model) noteErrors(y float64, r Run) {
	if r.EstimateMS <= 0 {
		return
	}
	m.runs++
	share := max(errorWeight, 1/float64(m.runs))
	m.expectedError += share * (math.Abs(y-m.Expect(r.Class, r.EstimateMS).mu) - m.expectedError)
	m.estimateError += share * (math.Abs(y-math.Log(float64(r.EstimateMS))) - m.estimateError)
}

func classKeys(key queueKey, class Class) []classKey {
	keys := make([]classKey, 0, 2)
	if class.Team != "" {
		keys = append(keys, classKey{queueKey: key, team: class.Team})
	}
	if class.Image != "" {
		keys = append(keys, classKey{queueKey: key, image: class.Image})
	}
	return keys
}

func (m *Model) queueLine(key queueKey) *queueLine {
	q := m.queues[key]
	if q == nil {
		if len(m.queues) >= maxQueues {
			forgetOldest(m.queues, compareQueues, func(q *queueLine) int64 { return q.usedMS })
		}
		q = &queueLine{}
		m.queues[key] = q
	}
	return q
}

func (m *Model) classLine(key classKey) *classLine {
	c := m.classes[key]
	if c == nil {
		if len(m.classes) >= maxClasses {
			forgetOldest(m.classes, compareClasses, func(c *classLine) int64 { return c.usedMS })
		}
		c = &classLine{}
		m.classes[key] = c
	}
	return c
}

// forgetOldest removes the entry that was used least recently.
func forgetOldest[K comparable, V any](entries map[K]V, compare func(a, b K) int, usedMS func(V) int64) {
	var oldest K
	oldestMS, found := int64(0), false
	for k, v := range entries {
		ms := usedMS(v)
		if !found || ms < oldestMS || ms == oldestMS && compare(k, oldest) < 0 {
			oldest, oldestMS, found = k, ms, true
		}
	}
	delete(entries, oldest)
}

// Expect returns what a task of the class with the estimate, zero if there is none, takes on a worker of mean speed.
func (m *Model) Expect(class Class, estimateMS int64) Expectation {
	key, x := keyOf(class, estimateMS)
	q := m.queues[key]
	if q == nil || q.weight < minWeight {
		if other := m.queues[queueKey{class.Queue, class.Gang, true}]; !key.estimated && other != nil && other.weight >= minWeight {
			// The queue's tasks with an estimate are the best guess for those without.
			q, x = other, other.mx
			return expectation(q.at(x, 1), q.variance()+q.sxx, q.weight/(q.weight+priorWeight))
		}
		e := expectation(x, priorVariance, 0)
		e.MeanMS = e.MedianMS
		return e
	}
	mu, variance := q.at(x, 1), q.variance()
	var best *classLine
	for _, k := range [2]classKey{{key, class.Team, ""}, {key, "", class.Image}} {
		if c := m.classes[k]; c.differs() && (best == nil || c.loss*best.queueLoss < best.loss*c.queueLoss) {
			best = c
		}
	}
	weight := q.weight
	if best != nil {
		mu += best.at(x, 0)
		variance = (best.weight*best.loss + priorWeight*variance) / (best.weight + priorWeight)
		weight = best.weight
	}
	return expectation(mu, variance, weight/(weight+priorWeight))
}

// Shown is what the tasks of a step have shown of their durations on workers of mean speed: by their ends, or by their progress.
type Shown struct {
	// Tasks is their number, SumLog the sum of the logarithms of their durations.
	Tasks, SumLog float64
}

// Add adds a task by its duration on a worker of the speed.
func (s *Shown) Add(tookMS int64, speed float64) {
	s.Tasks++
	s.SumLog += math.Log(float64(max(1, tookMS))) + math.Log(max(speed, minSpeed))
}

// Given returns the expectation of a task of a step of which others have shown their durations.
func (e Expectation) Given(shown Shown) Expectation {
	if shown.Tasks <= 0 {
		return e
	}
	// Without the part that differs from task to task, what remains of the variance is the step's.
	between := max(e.variance-withinVariance, withinVariance)
	weight := between / (between + withinVariance/shown.Tasks)
	mu := e.mu + weight*(shown.SumLog/shown.Tasks-e.mu)
	return expectation(mu, between*(1-weight)+withinVariance, max(e.Confidence, weight))
}

// RemainingMS returns how long a task still takes that has run for so long on a worker of mean speed. The longer it has outlasted the
// expectation, the longer it still takes.
func (e Expectation) RemainingMS(elapsedMS int64) int64 {
	if elapsedMS <= 0 {
		return e.MeanMS
	}
	if elapsedMS > e.P90MS {
		// Durations have a longer tail than the normal distribution of their logarithm: 3 of 100 tasks of a customer take 7 times as long.
		return max(e.remainingMS(e.P90MS), int64(stragglerShare*float64(elapsedMS)))
	}
	return e.remainingMS(elapsedMS)
}

// RemainingP90MS returns the time within which a task ends with a probability of 0.9 that has run for so long on a worker of mean speed.
func (e Expectation) RemainingP90MS(elapsedMS int64) int64 {
	switch {
	case elapsedMS <= 0:
		return e.P90MS
	case elapsedMS > e.P90MS:
		return 2 * e.RemainingMS(elapsedMS)
	}
	sigma := math.Sqrt(max(e.variance, 1e-4))
	z := (math.Log(float64(elapsedMS)) - e.mu) / sigma
	z90 := math.Sqrt2 * math.Erfcinv(2*0.1*tail(z))
	return max(e.remainingMS(elapsedMS), int64(math.Exp(e.mu+sigma*z90))-elapsedMS)
}

// stragglerShare is the share of its time so far that a task still takes that has outlasted nine of ten. A task of 7 times the usual duration
// outlasts the others after 2 to 3 times it.
const stragglerShare = 0.5

// remainingMS returns the same for durations whose logarithm is normal.
func (e Expectation) remainingMS(elapsedMS int64) int64 {
	sigma := math.Sqrt(max(e.variance, 1e-4))
	z := (math.Log(float64(elapsedMS)) - e.mu) / sigma
	return max(1, int64(math.Exp(e.mu+sigma*sigma/2)*tail(z-sigma)/tail(z)-float64(elapsedMS)))
}

// tail returns the probability that a normal value is above z.
func tail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// Stats describes what is known.
type Stats struct {
	// Queues and Classes are the numbers of queues with enough runs, and of teams and images that differ from their queue. Workers is the
	// number of those of known speed.
	Queues, Classes, Workers int
	// ExpectedError and EstimateError are the mean absolute errors of the logarithms of expectations and of callers' estimates.
	ExpectedError, EstimateError float64
}

// Stats returns what is known.
func (m *Model) Stats() Stats {
	s := Stats{ExpectedError: m.expectedError, EstimateError: m.estimateError}
	for _, q := range m.queues {
		if q.weight >= minWeight {
			s.Queues++
		}
	}
	for _, c := range m.classes {
		if c.differs() {
			s.Classes++
		}
	}
	for _, w := range m.workers {
		if w.weight >= knownWeight {
			s.Workers++
		}
	}
	return s
}

// Changes returns a number that grows with what is learned.
func (m *Model) Changes() int64 { return m.changes }
