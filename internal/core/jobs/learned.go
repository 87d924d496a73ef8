package jobs

import (
	"errors"
	"fmt"

	"auburnpier/internal/core/runtimes"
)

// Sections of the learned state, each with the bytes that it may take. A section of another name is ignored.
const (
	runtimesSection         = "runtimes"
	maxRuntimesSectionBytes = 44 << 10
	interferenceSection     = "interference"
)

// Learned is a copy of what the machine has learned from earlier work.
type Learned struct {
	runtimes *runtimes.Snapshot
	// interference is encoded already, which takes less time than a copy of the model would.
	interference []byte
}

// LearnsAnything reports whether a part of the scheduler learns from earlier work.
func (m *Machine) LearnsAnything() bool {
	return m.cfg.Features.LearnedDurations || m.cfg.Features.WorkerSpeeds || m.cfg.Features.SeparateInterference
}

// LearnedChanges returns a number that grows with what is learned.
func (m *Machine) LearnedChanges() int64 {
	if m.separation == nil {
		return m.learned.Changes()
	}
	return m.learned.Changes() + m.separation.observations
}

// Learned returns what has been learned. It may be encoded while the machine goes on.
func (m *Machine) Learned() (Learned, error) {
	interference, err := m.EncodeInterference()
	return Learned{m.learned.Snapshot(), interference}, err
}

// Encode returns the sections of what was learned.
func (l Learned) Encode() (map[string][]byte, error) {
	value, err := l.runtimes.Encode(maxRuntimesSectionBytes)
	if err != nil {
		return nil, err
	}
	sections := map[string][]byte{runtimesSection: value}
	if l.interference != nil {
		sections[interferenceSection] = l.interference
	}
	return sections, nil
}

// RestoreLearned replaces what was learned by the sections of a former owner. A section that cannot be read does not keep the others from use. It is
// called before the first RecoverJob.
func (m *Machine) RestoreLearned(sections map[string][]byte) error {
	var interference error
	if value, ok := sections[interferenceSection]; ok {
		interference = m.RestoreInterference(value)
	}
	return errors.Join(m.restoreRuntimes(sections), interference)
}

func (m *Machine) restoreRuntimes(sections map[string][]byte) error {
	value, ok := sections[runtimesSection]
	if !ok {
		return fmt.Errorf("section %q is missing", runtimesSection)
	}
	model, err := runtimes.Decode(value, m.nowMS)
	if err != nil {
		return err
	}
	m.learned = model
	m.updateSpeeds()
	return nil
}

// LearnedStats describes what has been learned.
func (m *Machine) LearnedStats() runtimes.Stats { return m.learned.Stats() }
