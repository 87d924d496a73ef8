package sched

import (
	"errors"
	"slices"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// classKey identifies a job class. Classes are kept per team, so that no team
// influences the reservations of another.
type classKey struct {
	_    struct{} `cbor:",toarray"`
	Team domain.TeamID
	Name string
}

func (j *job) classKey() classKey {
	return classKey{Team: j.Team, Name: j.Spec.ClassName()}
}

// sample is the usage of one attempt.
type sample struct {
	_        struct{} `cbor:",toarray"`
	CPUMilli int64
	MemoryMB int64
	// RunMS is the run time. It is set only for attempts that succeeded.
	RunMS int64
}

// durableClass holds the last samples of a job class. Oldest is the index of the sample that is
// overwritten next.
type durableClass struct {
	Key     classKey `cbor:"1,keyasint"`
	Samples []sample `cbor:"2,keyasint"`
	Oldest  int      `cbor:"3,keyasint"`
}

type class struct {
	durableClass
	// peak and runMS are the 95th percentiles. They are recomputed if stale is set.
	stale bool
	peak  domain.Resources
	runMS int64
}

// recordUsage adds the usage of an ended attempt to the samples of its class.
func (m *Machine) recordUsage(j *job, r *EndedRecord) {
	if r.Peak.CPUMilli == 0 && r.Peak.MemoryMB == 0 {
		return
	}
	s := sample{CPUMilli: r.Peak.CPUMilli, MemoryMB: r.Peak.MemoryMB}
	if r.Outcome == domain.OutcomeSucceeded {
		s.RunMS = r.RunMS
	}
	c := m.classFor(j.classKey())
	c.stale = true
	if len(c.Samples) < m.cfg.EstimateSamples {
		c.Samples = append(c.Samples, s)
		return
	}
	c.Oldest %= len(c.Samples)
	c.Samples[c.Oldest] = s
	c.Oldest++
}

// classFor returns the entry of a class and adds it if it is missing. At MaxClasses, the class
// that was added first is dropped.
func (m *Machine) classFor(key classKey) *class {
	if c, ok := m.classes[key]; ok {
		return c
	}
	if len(m.classOrder) >= m.cfg.MaxClasses {
		delete(m.classes, m.classOrder[0])
		m.classOrder = m.classOrder[1:]
	}
	c := &class{durableClass: durableClass{Key: key}}
	m.classes[key] = c
	m.classOrder = append(m.classOrder, key)
	return c
}

// refresh recomputes the percentiles of a class if samples were added.
func (c *class) refresh(minSamples int) {
	if !c.stale {
		return
	}
	c.stale = false
	c.peak = domain.Resources{
		CPUMilli: percentile95(c.Samples, minSamples, func(s sample) int64 { return s.CPUMilli }),
		MemoryMB: percentile95(c.Samples, minSamples, func(s sample) int64 { return s.MemoryMB }),
	}
	c.runMS = percentile95(c.Samples, minSamples, func(s sample) int64 { return s.RunMS })
}

// percentile95 returns the 95th percentile of the positive values by nearest rank, or
// zero if there are fewer than minSamples.
func percentile95(samples []sample, minSamples int, value func(sample) int64) int64 {
	values := make([]int64, 0, len(samples))
	for _, s := range samples {
		if v := value(s); v > 0 {
			values = append(values, v)
		}
	}
	if len(values) == 0 || len(values) < minSamples {
		return 0
	}
	slices.Sort(values)
	return values[(95*len(values)+99)/100-1]
}

// reservation returns what one task of the job reserves: the declared size, or the
// measured usage of its class if that is larger, as far as it fits the workers and the
// team's limit.
func (m *Machine) reservation(j *job) domain.Resources {
	learned := j.MinReservation
	if c, ok := m.classes[j.classKey()]; ok {
		c.refresh(m.cfg.MinEstimateSamples)
		learned = learned.Max(c.peak)
	}
	if learned.Fits(j.Spec.Resources) {
		return j.Spec.Resources
	}
	return j.Spec.Resources.Max(learned.Min(m.reservationCeiling(j)))
}

// reservationCeiling bounds learned reservations: a job that was accepted for its
// declared size must not wait forever because its class used more.
func (m *Machine) reservationCeiling(j *job) domain.Resources {
	limit := m.team(j.Team).limit
	if j.isGang() {
		n := int64(len(j.Tasks))
		limit = domain.Resources{
			CPUMilli: limit.CPUMilli / n, MemoryMB: limit.MemoryMB / n, Accelerators: limit.Accelerators / n,
		}
	}
	if !j.learnedCeiling.IsZero() {
		limit = limit.Min(j.learnedCeiling)
	}
	return limit.Min(m.largest)
}

// lowerCeiling reports whether err says that the size fits no empty worker although it was
// learned rather than declared. In that case the job reserves the nearest size that
// fits from now on, at least the declared one.
func (j *job) lowerCeiling(size domain.Resources, err error) bool {
	var none *placement.NoFitError
	if size == j.Spec.Resources || !errors.As(err, &none) || !none.NeverFits {
		return false
	}
	j.learnedCeiling = j.Spec.Resources
	if j.Spec.Resources.Fits(none.NearestSize) && none.NearestSize != size {
		j.learnedCeiling = none.NearestSize
	}
	return true
}

// expectedRunMS returns the expected run time of a task. Zero means that it is unknown.
func (m *Machine) expectedRunMS(j *job) int64 {
	if j.isService() {
		return 0
	}
	run := j.Spec.RunTimeMS
	if c, ok := m.classes[j.classKey()]; ok {
		c.refresh(m.cfg.MinEstimateSamples)
		run = max(run, c.runMS)
	}
	return run
}

// enlargedMemoryMB returns the memory to reserve after a task used memoryMB: a quarter more.
func enlargedMemoryMB(memoryMB int64) int64 { return memoryMB + memoryMB/4 + 1 }
