package taskplane

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/app/journal"
)

// batch is one set of records of the machine, or a snapshot that includes all
// batches before it.
type batch struct {
	number   uint64
	records  []cbor.RawMessage
	snapshot []byte
}

// writer groups batches and makes them durable.
type writer struct {
	p            *Partition
	log          *journal.Log
	pending      []cbor.RawMessage
	pendingBytes int
	last         uint64 // number of the last pending batch
	lastWrite    time.Time
	lastSnapshot time.Time
	asked        bool // a snapshot was asked for
	confirmed    time.Time
}

// runJournal writes groups until the machine's goroutine closes the channel,
// then writes what is left.
func (p *Partition) runJournal(ctx context.Context, log *journal.Log) {
	// Writes outlive ctx by a grace, so that a hand-over loses no record.
	wctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	context.AfterFunc(ctx, func() { time.AfterFunc(drainGrace, cancel) })
	now := p.o.Clock.Now()
	w := &writer{p: p, log: log, lastSnapshot: now, confirmed: now}
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case b, ok := <-p.batches:
			if !ok {
				if err := w.flush(wctx); err != nil {
					w.giveUp(err)
				}
				return
			}
			err = w.handle(wctx, b)
		case <-ticker.C:
			err = w.confirm(wctx)
		}
		if err != nil {
			w.giveUp(err)
			return
		}
	}
}

// confirm checks that this owner was not superseded. An owner that cannot
// confirm this for selfFenceBound gives the partition up, so that a successor
// knows when the last lease renewal can have been sent.
func (w *writer) confirm(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	err := w.log.Confirm(cctx)
	now := w.p.o.Clock.Now()
	var deposed *journal.DeposedError
	switch {
	case err == nil:
		w.confirmed = now
		return nil
	case errors.As(err, &deposed):
		return err
	case now.Sub(w.confirmed) > selfFenceBound:
		return errors.Wrapf(err, "ownership was not confirmed for %s", selfFenceBound)
	default:
		return nil
	}
}

func (w *writer) giveUp(err error) {
	var deposed *journal.DeposedError
	if errors.As(err, &deposed) {
		w.p.log.Warn("partition is owned by another instance now",
			zap.Uint64("epoch", uint64(deposed.By.Epoch)), zap.String("owner", string(deposed.By.Owner)))
	} else {
		w.p.log.Error("journal cannot be written, the partition is given up", zap.Error(err))
	}
	w.p.fail(err)
	// The machine's goroutine may wait for room in the channel.
	for range w.p.batches {
	}
}

// handle adds a batch, takes what else waits, and writes the group when it is due.
func (w *writer) handle(ctx context.Context, b batch) error {
	if err := w.add(ctx, b); err != nil {
		return err
	}
	wait := time.Until(w.lastWrite.Add(groupInterval))
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

func (w *writer) add(ctx context.Context, b batch) error {
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
	w.last = b.number
	return nil
}

// flush writes the pending records and reports their batches durable.
func (w *writer) flush(ctx context.Context) error {
	if err := w.write(ctx); err != nil {
		return err
	}
	if w.last == 0 {
		return nil
	}
	number := w.last
	w.last = 0
	w.p.durableTo.Store(number)
	w.askSnapshot()
	w.p.signal()
	return nil
}

// write makes the pending records durable without reporting their batches: a
// batch that was split over two groups is durable with the second.
func (w *writer) write(ctx context.Context) error {
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

func (w *writer) askSnapshot() {
	old := w.p.o.Clock.Now().Sub(w.lastSnapshot) > maxSnapshotAge
	if w.asked || (w.log.Uncovered() < maxSnapshotGroups && !old) {
		return
	}
	w.asked = true
	w.p.snapshotWanted.Store(true)
}

func (w *writer) snapshot(ctx context.Context, b batch) error {
	if err := w.flush(ctx); err != nil {
		return err
	}
	start := time.Now()
	if err := w.log.WriteSnapshot(ctx, w.log.Next()-1, b.snapshot); err != nil {
		var deposed *journal.DeposedError
		if errors.As(err, &deposed) {
			return err
		}
		w.p.log.Warn("snapshot was not written, it is tried again", zap.Error(err))
		w.asked = false
		return nil
	}
	w.p.o.Metrics.Timer("journal.snapshot").UpdateSince(start)
	w.p.o.Metrics.Counter("journal.snapshot_bytes").Inc(int64(len(b.snapshot)))
	w.lastSnapshot = w.p.o.Clock.Now()
	w.asked = false
	return nil
}
