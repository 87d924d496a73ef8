package sched

import (
	"errors"
	"slices"

	"auburnpier/internal/core/placement"
	"auburnpier/internal/domain"
)

// classKey names a job class. Classes of different teams are kept apart, so
// that no team changes the reservations of another.
type classKey struct {
	_    struct{} `cbor:",toarray"`
	Team domain.TeamID
	Name string
}

func (j *job) classKey() classKey {
	return classKey{Team: j.Team, Name: j.Spec.ClassName()}
}

// sample is what one attempt used.
type sample struct {
	_        struct{} `cbor:",toarray"`
	CPUMilli int64
	MemoryMB int64
	// RunMS is set for attempts that succeeded.
	RunMS int64
}

// durableClass holds the last samples of a job class; Next is the oldest one.
type durableClass struct {
	Key     classKey `cbor:"1,keyasint"`
	Samples []sample `cbor:"2,keyasint"`
	Next    int      `cbor:"3,keyasint"`
}

type class struct {
	durableClass
	// peak and runMS are the 95th percentiles, computed when stale.
	stale bool
	peak  domain.Resources
	runMS int64
}

// observe adds the usage of an ended attempt to the estimates of its class.
func (m *Machine) observe(j *job, r *EndedRecord) {
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
	c.Next %= len(c.Samples)
	c.Samples[c.Next] = s
	c.Next++
}

// classFor returns the samples of a class. The class that was added first is dropped at the bound.
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

// refresh computes the percentiles of a class.
func (c *class) refresh(least int) {
	if !c.stale {
		return
	}
	c.stale = false
	c.peak = domain.Resources{
		CPUMilli: percentile95(c.Samples, least, func(s sample) int64 { return s.CPUMilli }),
		MemoryMB: percentile95(c.Samples, least, func(s sample) int64 { return s.MemoryMB }),
	}
	c.runMS = percentile95(c.Samples, least, func(s sample) int64 { return s.RunMS })
}

// percentile95 returns the 95th percentile of the values above zero by nearest
// rank, or zero where there are fewer than least.
func percentile95(samples []sample, least int, value func(sample) int64) int64 {
	values := make([]int64, 0, len(samples))
	for _, s := range samples {
		if v := value(s); v > 0 {
			values = append(values, v)
		}
	}
	if len(values) == 0 || len(values) < least {
		return 0
	}
	slices.Sort(values)
	return values[(95*len(values)+99)/100-1]
}

// reservation returns what one task of the job reserves: the declared size, or
// what its class was seen to use, as far as that fits the workers and the team.
func (m *Machine) reservation(j *job) domain.Resources {
	learned := j.Larger
	if c, ok := m.classes[j.classKey()]; ok {
		c.refresh(m.cfg.EstimateMin)
		learned = learned.Max(c.peak)
	}
	if learned.Fits(j.Spec.Resources) {
		return j.Spec.Resources
	}
	return j.Spec.Resources.Max(learned.Min(m.ceiling(j)))
}

// ceiling bounds learned reservations: a job that was accepted for its declared
// size must not wait for ever because its class used more.
func (m *Machine) ceiling(j *job) domain.Resources {
	limit := m.team(j.Team).limit
	if j.isGang() {
		n := int64(len(j.Tasks))
		limit = domain.Resources{
			CPUMilli: limit.CPUMilli / n, MemoryMB: limit.MemoryMB / n, Accelerators: limit.Accelerators / n,
		}
	}
	if !j.ceiling.IsZero() {
		limit = limit.Min(j.ceiling)
	}
	return limit.Min(m.largest)
}

// lowerCeiling reports whether a size that never fits was a learned one. The
// job then reserves the nearest size that fits, at least the declared one.
func (j *job) lowerCeiling(size domain.Resources, err error) bool {
	var none *placement.NoFitError
	if size == j.Spec.Resources || !errors.As(err, &none) || !none.NeverFits {
		return false
	}
	j.ceiling = j.Spec.Resources
	if j.Spec.Resources.Fits(none.NearestSize) && none.NearestSize != size {
		j.ceiling = none.NearestSize
	}
	return true
}

// expectedRunMS returns the expected run time of a task. Zero means unknown.
func (m *Machine) expectedRunMS(j *job) int64 {
	if j.isService() {
		return 0
	}
	run := j.Spec.RunTimeMS
	if c, ok := m.classes[j.classKey()]; ok {
		c.refresh(m.cfg.EstimateMin)
		run = max(run, c.runMS)
	}
	return run
}

// enlarged is the reservation after a task used that much memory: a quarter more.
func enlarged(memoryMB int64) int64 { return memoryMB + memoryMB/4 + 1 }
