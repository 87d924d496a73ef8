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

// takeoverReserve is the number of ring slots that only takeover groups may
// use, so that owners which die in a row before their first snapshot cannot
// overwrite a group that no snapshot covers.
const takeoverReserve = 32

// Delays between tries of a write while the store is unavailable.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Log is the owner's end of the journal. Its methods are called by one goroutine.
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

	// deposed is returned by every call after the first deposition.
	deposed *DeposedError
}

// Epoch returns the epoch of this owner.
func (l *Log) Epoch() domain.Epoch { return l.epoch }

// Next returns the number of the next group.
func (l *Log) Next() uint64 { return l.next }

// GroupsSinceSnapshot returns the number of groups that the last snapshot does not include.
func (l *Log) GroupsSinceSnapshot() uint64 { return l.next - 1 - l.manifest.Covered }

// Append makes the records durable as one group and returns its number. It
// keeps trying while the store is unavailable, until ctx ends; the outcome of
// the group is then unknown, and the log must not be used again. It returns a
// *DeposedError where another owner took over.
func (l *Log) Append(ctx context.Context, records []cbor.RawMessage) (uint64, error) {
	if l.deposed != nil {
		return 0, l.deposed
	}
	if l.next-l.manifest.Covered > RingSlots-takeoverReserve {
		return 0, &RingFullError{Partition: l.partition, Number: l.next, Covered: l.manifest.Covered}
	}
	g := Group{Epoch: l.epoch, Number: l.next, ID: l.newID(), Records: records}
	if err := l.put(ctx, &g); err != nil {
		return 0, l.note(err)
	}
	l.next++
	return g.Number, nil
}

// note remembers a deposition.
func (l *Log) note(err error) error {
	errors.As(err, &l.deposed)
	return err
}

// put writes the group into its slot, reading back where the outcome is unknown.
func (l *Log) put(ctx context.Context, g *Group) error {
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
			return l.settle(g, conflict.Current)
		}
		if ctx.Err() != nil {
			return err
		}
		l.metrics.Retried(retryReason(err))
		if !ctxtime.Sleep(ctx, jitter(delay)) {
			return &port.UnavailableError{Op: "retry", Err: ctx.Err()}
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// settle decides a conflict: the slot holds either our own group, whose answer
// was lost, or the group of another owner.
func (l *Log) settle(g *Group, found port.Entry) error {
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
	return metrics.RetryStoreDown
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// ConfirmOwnership reads the slot of the next group. It returns nil where this owner is
// still the last one, a *DeposedError where a successor wrote there, or a
// store error where neither is known.
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
		return l.note(&DeposedError{Partition: l.partition, Epoch: l.epoch, By: g})
	}
	return nil
}
