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

// snapshot is the durable state. Its lists are sorted, so equal states have equal encodings.
type snapshot struct {
	Version  uint8            `cbor:"1,keyasint"`
	Seq      uint64           `cbor:"2,keyasint"`
	Jobs     []durableJob     `cbor:"3,keyasint"`
	Attempts []durableAttempt `cbor:"4,keyasint"`
	Classes  []durableClass   `cbor:"5,keyasint"`
	Health   []workerHealth   `cbor:"6,keyasint"`
	Restarts bucket           `cbor:"7,keyasint"`
}

// snapshotDecoder takes lists longer than the library's default of 131,072, so
// that no setting makes a snapshot that cannot be read back.
var snapshotDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Snapshot returns the durable state, which includes every record that Ready
// handed out. It fails while records wait for Ready. The caller stores it
// under the group of the last batch, after that group is durable.
func (m *Machine) Snapshot() ([]byte, error) {
	if len(m.records) > 0 {
		return nil, fmt.Errorf("%d records were not handed out; call Ready before Snapshot", len(m.records))
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

// Restore replaces the durable state of an empty machine. Records of later groups are applied after it.
func (m *Machine) Restore(data []byte) error {
	if m.started || m.seq != 0 {
		return fmt.Errorf("a snapshot is restored into an empty machine only")
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
			return fmt.Errorf("snapshot has attempt %s of the unknown job %s", d.ID, d.Job)
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
