package runtimes

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
)

func sortKeys(keys []WorkerKey) { slices.Sort(keys) }

// Snapshot is a copy of what a model has learned.
type Snapshot struct {
	Queues  []queueRecord  `cbor:"1,keyasint,omitempty"`
	Classes []classRecord  `cbor:"2,keyasint,omitempty"`
	Workers []workerRecord `cbor:"3,keyasint,omitempty"`
}

type queueRecord struct {
	_         struct{} `cbor:",toarray"`
	Queue     domain.QueueID
	Gang      bool
	Estimated bool
	Line      [6]float64
}

type classRecord struct {
	_         struct{} `cbor:",toarray"`
	Queue     domain.QueueID
	Gang      bool
	Estimated bool
	Team      domain.TeamID
	Image     string
	// Line holds the weight, the means and moments, and the two losses.
	Line [7]float32
}

// workerRecord holds the weight in tenths and the logarithm of the speed in thousandths.
type workerRecord struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerKey
	Weight int
	Log    int
}

// Snapshot returns a copy of what the model has learned. Encode sorts it, which takes most of the time.
func (m *Model) Snapshot() *Snapshot {
	r := &Snapshot{Queues: make([]queueRecord, 0, len(m.queues)), Classes: make([]classRecord, 0, len(m.classes)),
		Workers: make([]workerRecord, 0, len(m.workers))}
	for k, q := range m.queues {
		r.Queues = append(r.Queues, queueRecord{Queue: k.queue, Gang: k.gang, Estimated: k.estimated,
			Line: [6]float64{q.weight, q.mx, q.my, q.sxx, q.sxy, q.loss}})
	}
	for k, c := range m.classes {
		r.Classes = append(r.Classes, classRecord{Queue: k.queue, Gang: k.gang, Estimated: k.estimated, Team: k.team, Image: k.image,
			Line: [7]float32{float32(c.weight), float32(c.mx), float32(c.my), float32(c.sxx), float32(c.sxy), float32(c.loss), float32(c.queueLoss)}})
	}
	for k, w := range m.workers {
		r.Workers = append(r.Workers, workerRecord{Worker: k, Weight: int(math.Round(w.weight * 10)), Log: int(math.Round((w.log - m.groups.center) * 1000))})
	}
	return r
}

// Encode returns the snapshot in at most so many bytes. The classes that differ least from their queue are left out if it is too large, then the
// workers of which least is known.
func (r *Snapshot) Encode(maxBytes int) ([]byte, error) {
	slices.SortFunc(r.Queues, func(a, b queueRecord) int { return compareQueues(a.key(), b.key()) })
	slices.SortFunc(r.Classes, func(a, b classRecord) int {
		return cmp.Or(cmp.Compare(b.gain(), a.gain()), compareClasses(a.key(), b.key()))
	})
	slices.SortFunc(r.Workers, func(a, b workerRecord) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Worker, b.Worker))
	})
	for {
		value, err := cbor.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("encode learned durations: %w", err)
		}
		switch {
		case len(value) <= maxBytes:
			return value, nil
		case len(r.Classes) > 0:
			r.Classes = r.Classes[:len(r.Classes)*3/4]
		case len(r.Workers) > 0:
			r.Workers = r.Workers[:len(r.Workers)*3/4]
		case len(r.Queues) > 0:
			r.Queues = r.Queues[:len(r.Queues)*3/4]
		default:
			return nil, fmt.Errorf("learned durations take %d bytes, more than %d", len(value), maxBytes)
		}
	}
}

func (q queueRecord) key() queueKey { return queueKey{q.Queue, q.Gang, q.Estimated} }

func (c classRecord) key() classKey {
	return classKey{queueKey{c.Queue, c.Gang, c.Estimated}, c.Team, c.Image}
}

// gain is by how much the predictions of a class are better than those of its queue.
func (c classRecord) gain() float32 { return c.Line[0] * (c.Line[6] - c.Line[5]) }

// Decode returns the model of a value that Encode has returned.
func Decode(value []byte, nowMS int64) (*Model, error) {
	var r Snapshot
	if err := cbor.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decode learned durations: %w", err)
	}
	if len(r.Queues) > maxQueues || len(r.Classes) > maxClasses || len(r.Workers) > maxWorkers {
		return nil, fmt.Errorf("learned durations of %d queues, %d classes and %d workers are too many", len(r.Queues), len(r.Classes), len(r.Workers))
	}
	m := New()
	for _, q := range r.Queues {
		l := &queueLine{line: line{q.Line[0], q.Line[1], q.Line[2], q.Line[3], q.Line[4]}, loss: q.Line[5], usedMS: nowMS}
		if !l.valid() || !isAmount(l.loss) {
			return nil, fmt.Errorf("learned durations of queue %s are out of range", q.Queue)
		}
		m.queues[q.key()] = l
	}
	for _, c := range r.Classes {
		v := [7]float64{}
		for i, x := range c.Line {
			v[i] = float64(x)
		}
		l := &classLine{line: line{v[0], v[1], v[2], v[3], v[4]}, loss: v[5], queueLoss: v[6], usedMS: nowMS}
		if !l.valid() || !isAmount(l.loss) || !isAmount(l.queueLoss) {
			return nil, fmt.Errorf("learned durations of team %q and image %q are out of range", c.Team, c.Image)
		}
		m.classes[c.key()] = l
	}
	for _, w := range r.Workers {
		weight, log := float64(w.Weight)/10, float64(w.Log)/1000
		if weight < 0 || weight > maxSpeedWeight || clampLogSpeed(log) != log {
			// The mean of all workers may have moved, which takes single ones out of the bounds.
			continue
		}
		m.workers[w.Worker] = &workerSpeed{weight: weight, log: log, usedMS: nowMS}
	}
	return m, nil
}

func (l *line) valid() bool {
	const limit = 100
	return isAmount(l.weight) && l.weight <= maxWeight && math.Abs(l.mx) < limit && math.Abs(l.my) < limit && isAmount(l.sxx) && math.Abs(l.sxy) < limit
}

// isAmount reports whether x is a usable non-negative number.
func isAmount(x float64) bool { return x >= 0 && x < 1000 }
