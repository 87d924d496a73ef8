package sched

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// SnapshotVersion is the version of the snapshot layout that this package writes.
const SnapshotVersion = 1

// snapshot is the encoded form of the durable state. Its lists are sorted, so that equal
// states have equal encodings.
type snapshot struct {
	Version  uint8            `cbor:"1,keyasint"`
	Seq      uint64           `cbor:"2,keyasint"`
	Jobs     []durableJob     `cbor:"3,keyasint"`
	Attempts []durableAttempt `cbor:"4,keyasint"`
	Classes  []durableClass   `cbor:"5,keyasint"`
	Health   []workerHealth   `cbor:"6,keyasint"`
	Restarts bucket           `cbor:"7,keyasint"`
}

// snapshotDecoder accepts lists longer than the library's default limit of 131,072, so
// that no configuration produces a snapshot that cannot be read back.
var snapshotDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Snapshot returns the encoded durable state, including every record that Ready has
// returned. It fails while records wait for Ready. The caller stores it under the
// journal group of the last batch, after that group is durable.
func (m *Machine) Snapshot() ([]byte, error) {
	if len(m.records) > 0 {
		return nil, fmt.Errorf("%d records have not been returned by Ready; call Ready before Snapshot", len(m.records))
	}
	s := snapshot{Version: SnapshotVersion, Seq: m.seq, Restarts: m.restartBucket}
	for _, j := range m.jobs {
		s.Jobs = append(s.Jobs, j.durableJob)
	}
	slices.SortFunc(s.Jobs, func(a, b durableJob) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, a := range m.sortedAttempts() {
		s.Attempts = append(s.Attempts, a.durableAttempt)
	}
	for _, key := range m.classOrder {
		s.Classes = append(s.Classes, m.classes[key].durableClass)
	}
	for _, id := range sortedKeys(m.health) {
		s.Health = append(s.Health, *m.health[id])
	}
	return cbor.Marshal(s)
}

// Restore loads the durable state into an empty machine. Records of later journal groups are
// applied after it.
func (m *Machine) Restore(data []byte) error {
	if m.started || m.seq != 0 {
		return fmt.Errorf("cannot restore a snapshot into a machine that has state")
	}
	var s snapshot
	if err := snapshotDecoder.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if s.Version == 0 || s.Version > SnapshotVersion {
		return fmt.Errorf("snapshot has version %d, this process reads up to %d; upgrade it first",
			s.Version, SnapshotVersion)
	}
	m.seq = s.Seq
	m.restartBucket = s.Restarts
	for _, d := range s.Jobs {
		m.addJob(newJob(d))
	}
	slices.SortStableFunc(m.ended, func(a, b *job) int { return cmp.Compare(a.EndedMS, b.EndedMS) })
	for _, d := range s.Attempts {
		j, ok := m.jobs[d.Job]
		if !ok {
			return fmt.Errorf("snapshot contains attempt %s of unknown job %s", d.ID, d.Job)
		}
		m.addAttempt(j, d)
	}
	for _, d := range s.Classes {
		m.classes[d.Key] = &class{durableClass: d, stale: true}
		m.classOrder = append(m.classOrder, d.Key)
	}
	for _, h := range s.Health {
		m.health[h.Worker] = &h
	}
	return nil
}
