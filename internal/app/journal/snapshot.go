package journal

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/port"
)

// WriteSnapshot stores state as the snapshot that covers all groups up to the number covered. The
// previous snapshot stays current until the manifest is written.
func (l *Log) WriteSnapshot(ctx context.Context, covered uint64, state []byte) error {
	if l.deposed != nil {
		return l.deposed
	}
	m := manifest{
		Epoch:      l.epoch,
		Generation: l.manifest.Generation + 1,
		Covered:    covered,
		Chunks:     max(1, (len(state)+MaxChunkBytes-1)/MaxChunkBytes),
		Length:     len(state),
		Checksum:   checksum(state),
	}
	for i := range m.Chunks {
		chunk := state[i*MaxChunkBytes : min((i+1)*MaxChunkBytes, len(state))]
		if err := l.writeChunk(ctx, chunkKey(l.partition, m.Generation, i), chunk); err != nil {
			return err
		}
	}
	return l.recordDeposition(l.writeManifest(ctx, m))
}

// writeChunk writes a chunk under the keys that the current snapshot does not use. A former owner may
// still write to the same keys, so on a conflict writeChunk reads the revision and writes again: only
// the manifest is fenced by the epoch.
func (l *Log) writeChunk(ctx context.Context, key string, chunk []byte) error {
	for {
		revision, err := l.store.CompareAndSwap(ctx, key, l.chunkRevisions[key], chunk)
		if err == nil {
			l.chunkRevisions[key] = revision
			return nil
		}
		if !needsReadBack(err) {
			return err
		}
		current, err := l.store.Get(ctx, key)
		var notFound *port.NotFoundError
		switch {
		case errors.As(err, &notFound):
			l.chunkRevisions[key] = 0
		case err != nil:
			return err
		default:
			l.chunkRevisions[key] = current.Revision
		}
	}
}

func (l *Log) writeManifest(ctx context.Context, m manifest) error {
	value, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	key := manifestKey(l.partition)
	for {
		revision, err := l.store.CompareAndSwap(ctx, key, l.manifestRevision, value)
		if err == nil {
			l.manifest = m
			l.manifestRevision = revision
			return nil
		}
		if !needsReadBack(err) {
			return err
		}
		current, err := l.store.Get(ctx, key)
		if err != nil {
			return err
		}
		var found manifest
		if err := cbor.Unmarshal(current.Value, &found); err != nil {
			return &CorruptError{Partition: l.partition, Detail: "manifest: " + err.Error()}
		}
		switch {
		case found == m:
			l.manifest = m
			l.manifestRevision = current.Revision
			return nil
		case found.Epoch > l.epoch:
			return &DeposedError{Partition: l.partition, Epoch: l.epoch, By: Group{Epoch: found.Epoch}}
		default:
			l.manifestRevision = current.Revision
		}
	}
}
