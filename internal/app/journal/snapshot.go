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
			return l.recordDeposition(err)
		}
	}
	return l.recordDeposition(l.writeManifest(ctx, m))
}

// writeChunk writes a chunk under the keys that the current snapshot does not use. On a conflict
// another owner has written the same key. A later owner has written its epoch into the manifest
// before its first chunk; if there is none, the chunk is written again at the revision found.
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
		// The manifest is read after the revision: a later owner that writes the chunk in between
		// makes the next write fail.
		if _, _, err := l.readManifest(ctx); err != nil {
			return err
		}
	}
}

// readManifest returns the stored manifest and its revision, or a *DeposedError if a later owner has
// written it.
func (l *Log) readManifest(ctx context.Context) (manifest, int64, error) {
	var m manifest
	current, err := l.store.Get(ctx, manifestKey(l.partition))
	if err != nil {
		return m, 0, err
	}
	if err := cbor.Unmarshal(current.Value, &m); err != nil {
		return m, 0, &CorruptError{Partition: l.partition, Detail: "manifest: " + err.Error()}
	}
	if m.Epoch > l.epoch {
		return m, 0, &DeposedError{Partition: l.partition, Epoch: l.epoch, By: Group{Epoch: m.Epoch}}
	}
	return m, current.Revision, nil
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
		found, revision, err := l.readManifest(ctx)
		if err != nil {
			return err
		}
		l.manifestRevision = revision
		if found == m {
			l.manifest = m
			return nil
		}
	}
}
