package journal

import (
	"context"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Recovery is the stored state from which a new owner starts.
type Recovery struct {
	// Snapshot is nil if none was written yet.
	Snapshot []byte
	// Groups are all groups after the snapshot in order. The last one is the new owner's takeover
	// group.
	Groups []Group
	// Previous is the owner of the previous epoch, or empty if there was none.
	Previous domain.InstanceID
}

// Options are the parameters of TakeOver.
type Options struct {
	Store     port.Store
	Partition domain.PartitionID
	Owner     domain.InstanceID
	// NewID returns unique group IDs.
	NewID   func() string
	Metrics *metrics.Registry
}

// TakeOver makes o.Owner the owner of the partition under the next epoch and reads the stored state.
// It returns an error of the store, a *DeposedError if another instance took over at the same time, a
// *RingFullError if no slot is left for the takeover, or a *CorruptError.
func TakeOver(ctx context.Context, o Options) (*Log, Recovery, error) {
	view, err := readView(ctx, o.Store, o.Partition)
	if err != nil {
		return nil, Recovery{}, err
	}
	l := &Log{store: o.Store, partition: o.Partition, newID: o.NewID, metrics: o.Metrics}
	if err := l.writeTakeover(ctx, view, o.Owner); err != nil {
		return nil, Recovery{}, err
	}
	if err := l.fenceManifest(ctx); err != nil {
		return nil, Recovery{}, err
	}
	// The former owner can no longer change the ring or the manifest, so the second read is final.
	view, err = readView(ctx, o.Store, o.Partition)
	if err != nil {
		return nil, Recovery{}, err
	}
	recovery, err := l.loadView(view)
	return l, recovery, err
}

// view is the content of the partition's keys as one pass of reads found it.
type view struct {
	manifest         manifest
	manifestRevision int64
	chunks           map[string]port.Entry
	groups           []Group // sorted by number
	revisions        [RingSlots]int64
}

func readView(ctx context.Context, store port.Store, partition domain.PartitionID) (*view, error) {
	v := &view{chunks: make(map[string]port.Entry)}
	// The ring is read after the snapshot: a snapshot that is written between the two reads covers
	// only groups that are still in the ring or that the older snapshot covers.
	snapshot, _, err := store.List(ctx, snapshotPrefix(partition))
	if err != nil {
		return nil, err
	}
	for _, e := range snapshot {
		if e.Key != manifestKey(partition) {
			v.chunks[e.Key] = e
			continue
		}
		v.manifestRevision = e.Revision
		if err := cbor.Unmarshal(e.Value, &v.manifest); err != nil {
			return nil, &CorruptError{Partition: partition, Detail: "manifest: " + err.Error()}
		}
	}
	ring, _, err := store.List(ctx, ringPrefix(partition))
	if err != nil {
		return nil, err
	}
	for _, e := range ring {
		var g Group
		if err := cbor.Unmarshal(e.Value, &g); err != nil {
			return nil, &CorruptError{Partition: partition, Detail: e.Key + ": " + err.Error()}
		}
		v.revisions[g.Number%RingSlots] = e.Revision
		v.groups = append(v.groups, g)
	}
	sort.Slice(v.groups, func(i, j int) bool { return v.groups[i].Number < v.groups[j].Number })
	return v, nil
}

func (v *view) last() Group {
	if len(v.groups) == 0 {
		return Group{}
	}
	return v.groups[len(v.groups)-1]
}

// writeTakeover writes the takeover group after the last group of the view. If the former owner used
// that number first, writeTakeover tries the next one.
func (l *Log) writeTakeover(ctx context.Context, v *view, owner domain.InstanceID) error {
	last := v.last()
	l.revisions = v.revisions
	for {
		l.epoch = last.Epoch + 1
		l.next = last.Number + 1
		if l.next-v.manifest.Covered > RingSlots {
			return &RingFullError{Partition: l.partition, Number: l.next, Covered: v.manifest.Covered}
		}
		g := Group{Epoch: l.epoch, Number: l.next, ID: l.newID(), Owner: owner}
		err := l.writeGroup(ctx, &g)
		if err == nil {
			return nil
		}
		var deposed *DeposedError
		if !errors.As(err, &deposed) || deposed.By.Takeover() || deposed.By.Number != g.Number {
			return err
		}
		last = deposed.By
	}
}

// fenceManifest writes the epoch of this owner into the manifest, so that a snapshot that the former
// owner is still writing cannot become the current one.
func (l *Log) fenceManifest(ctx context.Context) error {
	key := manifestKey(l.partition)
	for {
		var m manifest
		e, err := l.store.Get(ctx, key)
		var notFound *port.NotFoundError
		switch {
		case errors.As(err, &notFound):
		case err != nil:
			return err
		default:
			if err := cbor.Unmarshal(e.Value, &m); err != nil {
				return &CorruptError{Partition: l.partition, Detail: "manifest: " + err.Error()}
			}
		}
		if m.Epoch == l.epoch {
			return nil
		}
		if m.Epoch > l.epoch {
			return &DeposedError{Partition: l.partition, Epoch: l.epoch, By: Group{Epoch: m.Epoch}}
		}
		m.Epoch = l.epoch
		value, err := cbor.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "encode manifest")
		}
		_, err = l.store.CompareAndSwap(ctx, key, e.Revision, value)
		if err == nil {
			return nil
		}
		if !needsReadBack(err) {
			return err
		}
	}
}

func needsReadBack(err error) bool {
	var conflict *port.ConflictError
	var unknown *port.OutcomeUnknownError
	return errors.As(err, &conflict) || errors.As(err, &unknown)
}

// loadView initializes the log from the view and returns the recovered state. It fails if the view is
// incomplete.
func (l *Log) loadView(v *view) (Recovery, error) {
	last := v.last()
	if last.Epoch != l.epoch {
		return Recovery{}, &DeposedError{Partition: l.partition, Epoch: l.epoch, By: last}
	}
	l.revisions = v.revisions
	l.next = last.Number + 1
	l.manifest = v.manifest
	l.manifestRevision = v.manifestRevision
	l.chunkRevisions = make(map[string]int64)
	for key, e := range v.chunks {
		l.chunkRevisions[key] = e.Revision
	}
	recovery := Recovery{}
	if v.manifest.Chunks > 0 {
		snapshot, err := l.assembleSnapshot(v)
		if err != nil {
			return Recovery{}, err
		}
		recovery.Snapshot = snapshot
	}
	want := v.manifest.Covered + 1
	for _, g := range v.groups {
		if g.Takeover() && g.Epoch < l.epoch {
			recovery.Previous = g.Owner
		}
		if g.Number <= v.manifest.Covered {
			continue
		}
		if g.Number != want {
			return Recovery{}, &CorruptError{Partition: l.partition, Detail: "a group is missing from the ring"}
		}
		recovery.Groups = append(recovery.Groups, g)
		want++
	}
	return recovery, nil
}

func (l *Log) assembleSnapshot(v *view) ([]byte, error) {
	m := v.manifest
	if m.Chunks > maxChunks || m.Length < 0 || m.Length > m.Chunks*MaxChunkBytes {
		return nil, &CorruptError{Partition: l.partition, Detail: "the manifest names an impossible size"}
	}
	state := make([]byte, 0, m.Length)
	for i := range m.Chunks {
		e, ok := v.chunks[chunkKey(l.partition, m.Generation, i)]
		if !ok {
			return nil, &CorruptError{Partition: l.partition, Detail: "a snapshot chunk is missing"}
		}
		state = append(state, e.Value...)
	}
	if len(state) != m.Length || checksum(state) != m.Checksum {
		return nil, &CorruptError{Partition: l.partition, Detail: "the snapshot does not match its checksum"}
	}
	return state, nil
}
