package journal

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// takeoverReserve is the number of ring slots that only takeover groups may use. Without it, several
// owners that fail in succession before their first snapshot would run out of slots, because a group
// that no snapshot covers must not be overwritten.
const takeoverReserve = 32

// Delays between attempts of a write while the store is unavailable.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Log is the owner's handle of the journal. It is not safe for concurrent use.
type Log struct {
	store     port.Store
	partition domain.PartitionID
	newID     func() string
	metrics   *metrics.Registry

	epoch     domain.Epoch
	next      uint64
	revisions [RingSlots]int64

	manifest         manifest
	manifestRevision int64
	chunkRevisions   map[string]int64

	// deposed is set once another owner is found, and returned by every call from then on.
	deposed *DeposedError
}

func (l *Log) Epoch() domain.Epoch { return l.epoch }

// Next returns the number of the next group.
func (l *Log) Next() uint64 { return l.next }

// GroupsSinceSnapshot returns the number of groups that the last snapshot does not include.
func (l *Log) GroupsSinceSnapshot() uint64 { return l.next - 1 - l.manifest.Covered }

// Append makes the records durable as one group and returns its number. While the store is
// unavailable it retries until ctx ends; the outcome of the write is then unknown, and the log must
// not be used again. Append returns a *DeposedError if another owner took over.
func (l *Log) Append(ctx context.Context, records []cbor.RawMessage) (uint64, error) {
	if l.deposed != nil {
		return 0, l.deposed
	}
	if l.next-l.manifest.Covered > RingSlots-takeoverReserve {
		return 0, &RingFullError{Partition: l.partition, Number: l.next, Covered: l.manifest.Covered}
	}
	g := Group{Epoch: l.epoch, Number: l.next, ID: l.newID(), Records: records}
	if err := l.writeGroup(ctx, &g); err != nil {
		return 0, l.recordDeposition(err)
	}
	l.next++
	return g.Number, nil
}

// recordDeposition stores a *DeposedError for later calls and returns err.
func (l *Log) recordDeposition(err error) error {
	errors.As(err, &l.deposed)
	return err
}

// writeGroup writes the group into its slot. It retries until the outcome is known or ctx ends.
func (l *Log) writeGroup(ctx context.Context, g *Group) error {
	value, err := cbor.Marshal(g)
	if err != nil {
		return errors.Wrap(err, "encode journal group")
	}
	slot := g.Number % RingSlots
	key := slotKey(l.partition, slot)
	delay := minRetryDelay
	for {
		revision, err := l.store.CompareAndSwap(ctx, key, l.revisions[slot], value)
		if err == nil {
			l.revisions[slot] = revision
			return nil
		}
		var conflict *port.ConflictError
		if errors.As(err, &conflict) {
			return l.resolveConflict(g, conflict.Current)
		}
		if ctx.Err() != nil {
			return err
		}
		l.metrics.CountRetry(retryReason(err))
		if !ctxtime.Sleep(ctx, jitter(delay)) {
			return &port.UnavailableError{Op: "retry", Err: ctx.Err()}
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// resolveConflict resolves a conflict: the slot holds either our own group, written by an attempt
// whose response was lost, or the group of another owner.
func (l *Log) resolveConflict(g *Group, found port.Entry) error {
	var other Group
	if err := cbor.Unmarshal(found.Value, &other); err != nil {
		return &CorruptError{Partition: l.partition, Detail: found.Key + ": " + err.Error()}
	}
	if other.ID == g.ID {
		l.revisions[g.Number%RingSlots] = found.Revision
		return nil
	}
	return &DeposedError{Partition: l.partition, Epoch: l.epoch, By: other}
}

func retryReason(err error) metrics.RetryReason {
	var unknown *port.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return metrics.RetryStoreUnknown
	}
	return metrics.RetryStoreUnavailable
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// ConfirmOwnership reads the slot of the next group. It returns nil if this owner is still the latest
// one, a *DeposedError if a successor wrote to the slot, and an error of the store if it cannot tell.
func (l *Log) ConfirmOwnership(ctx context.Context) error {
	if l.deposed != nil {
		return l.deposed
	}
	e, err := l.store.Get(ctx, slotKey(l.partition, l.next%RingSlots))
	var notFound *port.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var g Group
	if err := cbor.Unmarshal(e.Value, &g); err != nil {
		return &CorruptError{Partition: l.partition, Detail: e.Key + ": " + err.Error()}
	}
	if g.Number >= l.next {
		return l.recordDeposition(&DeposedError{Partition: l.partition, Epoch: l.epoch, By: g})
	}
	return nil
}
