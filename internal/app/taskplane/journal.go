package taskplane

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/app/journal"
)

// batch is one set of records of the state machine, or a snapshot that includes
// all batches before it.
type batch struct {
	number   uint64
	records  []cbor.RawMessage
	snapshot []byte
}

// journalWriter groups batches and writes them to the journal.
type journalWriter struct {
	p               *Partition
	log             *journal.Log
	pending         []cbor.RawMessage
	pendingBytes    int
	lastBatch       uint64 // number of the last pending batch
	lastWrite       time.Time
	lastSnapshot    time.Time
	snapshotPending bool // a snapshot was requested and is not yet written
	confirmed       time.Time
}

// runJournal writes groups until the state machine's goroutine closes the channel,
// then writes the remaining records.
func (p *Partition) runJournal(ctx context.Context, log *journal.Log) {
	// Writes may continue for drainGrace after ctx ends, so that a hand-over loses no record.
	wctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	context.AfterFunc(ctx, func() { time.AfterFunc(drainGrace, cancel) })
	now := p.o.Clock.Now()
	w := &journalWriter{p: p, log: log, lastSnapshot: now, confirmed: now}
	ticker := time.NewTicker(ownershipCheckInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case b, ok := <-p.batches:
			if !ok {
				if err := w.flush(wctx); err != nil {
					w.failPartition(err)
				}
				return
			}
			err = w.handle(wctx, b)
		case <-ticker.C:
			err = w.confirm(wctx)
		}
		if err != nil {
			w.failPartition(err)
			return
		}
	}
}

// confirm checks that this owner was not superseded. An owner that cannot confirm
// this for selfFenceTimeout stops the partition, which bounds the time at which
// its last lease renewal can have been sent.
func (w *journalWriter) confirm(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	err := w.log.ConfirmOwnership(cctx)
	now := w.p.o.Clock.Now()
	var deposed *journal.DeposedError
	switch {
	case err == nil:
		w.confirmed = now
		return nil
	case errors.As(err, &deposed):
		return err
	case now.Sub(w.confirmed) > selfFenceTimeout:
		return errors.Wrapf(err, "ownership not confirmed for %s", selfFenceTimeout)
	default:
		return nil
	}
}

func (w *journalWriter) failPartition(err error) {
	var deposed *journal.DeposedError
	if errors.As(err, &deposed) {
		w.p.log.Warn("another instance has taken over the partition",
			zap.Uint64("epoch", uint64(deposed.By.Epoch)), zap.String("owner", string(deposed.By.Owner)))
	} else {
		w.p.log.Error("cannot write journal; stopping the partition", zap.Error(err))
	}
	w.p.fail(err)
	// The state machine's goroutine may be blocked on the full channel.
	for range w.p.batches {
	}
}

// handle adds a batch and all further ones that arrive before the next group is
// due, then writes the group.
func (w *journalWriter) handle(ctx context.Context, b batch) error {
	if err := w.add(ctx, b); err != nil {
		return err
	}
	wait := time.Until(w.lastWrite.Add(minGroupInterval))
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	for {
		select {
		case more, ok := <-w.p.batches:
			if !ok {
				return nil
			}
			if err := w.add(ctx, more); err != nil {
				return err
			}
		case <-timer.C:
			return w.flush(ctx)
		}
	}
}

func (w *journalWriter) add(ctx context.Context, b batch) error {
	if b.snapshot != nil {
		return w.snapshot(ctx, b)
	}
	for _, r := range b.records {
		if w.pendingBytes+len(r) > journal.MaxGroupBytes {
			if err := w.write(ctx); err != nil {
				return err
			}
		}
		w.pending = append(w.pending, r)
		w.pendingBytes += len(r)
	}
	w.lastBatch = b.number
	return nil
}

// flush writes the pending records and reports their batches as durable.
func (w *journalWriter) flush(ctx context.Context) error {
	if err := w.write(ctx); err != nil {
		return err
	}
	if w.lastBatch == 0 {
		return nil
	}
	number := w.lastBatch
	w.lastBatch = 0
	w.p.durableTo.Store(number)
	w.requestSnapshotIfDue()
	w.p.signal()
	return nil
}

// write writes the pending records without reporting their batches as durable: a
// batch that is split over two groups is durable only with the second.
func (w *journalWriter) write(ctx context.Context) error {
	if len(w.pending) == 0 {
		return nil
	}
	w.lastWrite = w.p.o.Clock.Now()
	start := time.Now()
	if _, err := w.log.Append(ctx, w.pending); err != nil {
		return err
	}
	w.p.o.Metrics.Timer("journal.append").UpdateSince(start)
	w.p.o.Metrics.Counter("journal.groups").Inc(1)
	w.p.o.Metrics.Counter("journal.bytes").Inc(int64(w.pendingBytes))
	w.confirmed = w.p.o.Clock.Now()
	w.pending = nil
	w.pendingBytes = 0
	return nil
}

func (w *journalWriter) requestSnapshotIfDue() {
	old := w.p.o.Clock.Now().Sub(w.lastSnapshot) > maxSnapshotAge
	if w.snapshotPending || (w.log.GroupsSinceSnapshot() < maxSnapshotGroups && !old) {
		return
	}
	w.snapshotPending = true
	w.p.snapshotRequested.Store(true)
}

func (w *journalWriter) snapshot(ctx context.Context, b batch) error {
	if err := w.flush(ctx); err != nil {
		return err
	}
	start := time.Now()
	if err := w.log.WriteSnapshot(ctx, w.log.Next()-1, b.snapshot); err != nil {
		var deposed *journal.DeposedError
		if errors.As(err, &deposed) {
			return err
		}
		w.p.log.Warn("cannot write snapshot; retrying later", zap.Error(err))
		w.snapshotPending = false
		return nil
	}
	w.p.o.Metrics.Timer("journal.snapshot").UpdateSince(start)
	w.p.o.Metrics.Counter("journal.snapshot_bytes").Inc(int64(len(b.snapshot)))
	w.lastSnapshot = w.p.o.Clock.Now()
	w.snapshotPending = false
	return nil
}
