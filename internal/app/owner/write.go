package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// entriesPerTxn leaves room for the two conditions and the sequence.
const entriesPerTxn = port.MaxTxnEntries - 3

// A transaction takes any batch.
const _ = uint(entriesPerTxn - jobs.MinBatchEntries)

// lane is one chain of transactions. A chain's next transaction waits for the
// outcome of the one before; several chains keep writes under way while a slow
// store answers. Writes of one job are never under way in two chains.
type lane struct {
	key      string
	revision int64
	number   int64
	busy     bool
}

// write starts the next write where there is something to store.
func (c *Cell) write(now int64) {
	c.releaseEnds()
	if c.writing == 0 && !c.storeRefuses {
		c.storeHeardMS = now
	}
	if now-c.storeHeardMS > storeDown.Milliseconds() {
		c.withdrawWaiting()
	}
	for c.writeDue(now) {
		l := c.idleLane()
		if l == nil {
			return
		}
		batch, err := c.machine.TakeBatch(entriesPerTxn)
		if err != nil {
			c.log.Error("state cannot be encoded", zap.Error(err))
			c.end("state cannot be encoded")
			return
		}
		if batch.Empty() {
			return
		}
		l.busy = true
		c.writing++
		c.lastWrite = now
		go c.guarded("write", func() { c.storeBatch(l, batch) })
	}
}

// writeDue reports whether the next write should begin. A full one gains
// nothing by waiting; where the store is slow, a backlog then goes out in
// several chains at once instead of one transaction after the other.
func (c *Cell) writeDue(now int64) bool {
	n := c.machine.Entries(entriesPerTxn)
	interval := writeInterval
	if c.writing > 0 {
		interval = laneInterval
	}
	return n >= entriesPerTxn || n > 0 && now-c.lastWrite >= interval.Milliseconds()
}

func (c *Cell) idleLane() *lane {
	for _, l := range c.lanes {
		if !l.busy {
			return l
		}
	}
	return nil
}

// releaseEnds acknowledges the ends whose effects are stored.
func (c *Cell) releaseEnds() {
	for id, n := range c.processed {
		if n > c.acked[id] {
			c.acked[id] = max(c.acked[id], min(n, c.machine.Acknowledgeable(id)))
		}
		if seen, ok := c.endSeenMS[id]; ok && c.acked[id] >= n {
			c.metrics.Timer("task.end_acknowledged").Update(time.Duration(steady.NowMS()-seen) * time.Millisecond)
			delete(c.endSeenMS, id)
		}
	}
}

// storeBatch writes a batch and tells the loop.
func (c *Cell) storeBatch(l *lane, batch *jobs.Batch) {
	puts, deletes, err := entriesOf(batch)
	if err != nil {
		c.log.Error("state cannot be encoded", zap.Error(err))
		c.end("state cannot be encoded")
		return
	}
	err = c.commit(l, puts, deletes)
	if err != nil && !errors.Is(err, errWithoutEffect) {
		c.end(err.Error())
		return
	}
	c.post(func() {
		l.busy = false
		c.writing--
		if c.storeRefuses = err != nil; c.storeRefuses {
			c.machine.NotStored(batch)
			c.withdrawWaiting()
			return
		}
		c.storeHeardMS = steady.NowMS()
		c.stored(batch)
	})
}

// errWithoutEffect tells that no try of a transaction had an effect.
var errWithoutEffect = errors.New("the transaction had no effect")

func entriesOf(b *jobs.Batch) ([]port.Put, []string, error) {
	var puts []port.Put
	var deletes []string
	if b.Members != nil {
		value, err := cbor.Marshal(b.Members)
		if err != nil {
			return nil, nil, err
		}
		puts = append(puts, port.Put{Key: membersKey, Value: value})
	}
	for _, j := range b.Jobs {
		// The specification goes first: progress without it cannot be recovered.
		if j.Job != nil {
			puts = append(puts, port.Put{Key: jobKey(j.ID), Value: j.Job})
		}
		puts = append(puts, port.Put{Key: StateKey(j.ID), Value: j.State})
		if j.Ended && j.Job == nil {
			// The state alone is asked for from now on, and a successor lists less.
			deletes = append(deletes, jobKey(j.ID))
		}
	}
	for _, id := range b.Forgotten {
		deletes = append(deletes, jobKey(id), StateKey(id))
	}
	return puts, deletes, nil
}

// commit writes one transaction of the reign. It repeats until the outcome is
// known, and fails once another instance has claimed the cell. Where the store
// refuses every try, it returns errWithoutEffect, so that callers can be told
// that their jobs have not run.
func (c *Cell) commit(l *lane, puts []port.Put, deletes []string) error {
	r := c.reign
	l.number++
	mine := sequence{Epoch: r.epoch, Number: l.number, Token: r.token}
	value, err := cbor.Marshal(mine)
	if err != nil {
		return err
	}
	txn := port.Txn{
		If:      []port.Condition{{Key: ownerKey, Revision: r.ownerRevision}, {Key: l.key, Revision: l.revision}},
		Puts:    append([]port.Put{{Key: l.key, Value: value}}, puts...),
		Deletes: deletes,
	}
	first, refused := time.Now(), true
	for c.ctx.Err() == nil {
		begun := time.Now()
		revision, err := c.commitOnce(txn)
		c.metrics.Timer("store.commit").UpdateSince(begun)
		if err == nil {
			l.revision = revision
			return nil
		}
		var conflict *port.TxnConflictError
		if errors.As(err, &conflict) {
			revision, applied := appliedRevision(conflict, l.key, mine)
			if !applied {
				return fmt.Errorf("claim was taken over: %w", err)
			}
			l.revision = revision
			return nil
		}
		c.metrics.Counter("store.commit.repeated").Inc(1)
		c.log.Warn("write repeated", zap.Int64("sequence", mine.Number), zap.Error(err))
		if refused = refused && port.HadNoEffect(err); refused && time.Since(first) >= storeDown {
			return errWithoutEffect
		}
		ctxtime.Sleep(c.ctx, writeRetry)
	}
	return errCellClosed
}

// commitOnce tries a transaction once.
func (c *Cell) commitOnce(txn port.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, writeTime)
	defer cancel()
	return c.store.Commit(ctx, txn)
}

// appliedRevision reports whether the conflicting state is the transaction's own effect.
func appliedRevision(conflict *port.TxnConflictError, key string, mine sequence) (int64, bool) {
	for _, e := range conflict.Current {
		if e.Key != key {
			continue
		}
		var found sequence
		if err := cbor.Unmarshal(e.Value, &found); err != nil {
			return 0, false
		}
		return e.Revision, found == mine
	}
	return 0, false
}

// stored releases what waited for the batch.
func (c *Cell) stored(batch *jobs.Batch) {
	c.machine.Stored(batch)
	for _, j := range batch.Jobs {
		c.answer(j.ID, port.SubmitReply{Accepted: true}, nil)
		if j.Ended {
			for _, reply := range c.cancellers[j.ID] {
				reply(port.CancelReply{Known: true, Done: true}, nil)
			}
			delete(c.cancellers, j.ID)
		}
	}
}

func (c *Cell) answer(id domain.JobID, reply port.SubmitReply, err error) {
	for _, send := range c.submitters[id] {
		send(reply, err)
	}
	delete(c.submitters, id)
}

// withdrawWaiting refuses submissions that no write has taken up.
func (c *Cell) withdrawWaiting() {
	for id := range c.submitters {
		if c.machine.Withdraw(id) {
			c.answer(id, port.SubmitReply{Reason: reasonStore, RetryAfterMS: storeRetryMS}, nil)
		}
	}
}

// storeRetryMS is when a caller may come back after the store did not answer.
const storeRetryMS = 1000

// failWaiters answers everything that waits at the end of the reign.
func (c *Cell) failWaiters() {
	for id := range c.submitters {
		if c.machine.Withdraw(id) {
			c.answer(id, port.SubmitReply{}, &port.NotOwnerError{Instance: c.options.Instance})
			continue
		}
		c.answer(id, port.SubmitReply{Unknown: true}, nil)
	}
	for id, list := range c.cancellers {
		for _, reply := range list {
			reply(port.CancelReply{Known: true}, nil)
		}
		delete(c.cancellers, id)
	}
}

// decodeMembers reads the workers that may have tasks. Earlier versions stored
// their IDs alone.
func decodeMembers(value []byte) ([]jobs.Member, error) {
	var members []jobs.Member
	err := cbor.Unmarshal(value, &members)
	if err == nil {
		return members, nil
	}
	var ids []domain.WorkerID
	if cbor.Unmarshal(value, &ids) != nil {
		return nil, fmt.Errorf("value of %s cannot be read: %w", membersKey, err)
	}
	members = make([]jobs.Member, 0, len(ids))
	for _, id := range ids {
		members = append(members, jobs.Member{ID: id})
	}
	return members, nil
}

// listing is a list of the store that is being read.
type listing struct {
	entries []port.Entry
	err     error
	done    chan struct{}
}

func (l *listing) wait() ([]port.Entry, error) {
	<-l.done
	return l.entries, l.err
}

// listAsync begins to read a list.
func (c *Cell) listAsync(ctx context.Context, prefix string) *listing {
	l := &listing{done: make(chan struct{})}
	go func() {
		defer close(l.done)
		l.entries, _, l.err = c.store.List(ctx, prefix)
	}()
	return l
}

// recoverUntil loads the cell's state, unless ctx or the reign ends before.
func (c *Cell) recoverUntil(ctx context.Context) error {
	own, cancel := context.WithCancel(c.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	return c.recover(own)
}

// recover loads the cell's state. It is used before the loop runs.
func (c *Cell) recover(ctx context.Context) error {
	// Nobody writes these keys now: former owners' transactions fail by their condition.
	specs := c.listAsync(ctx, jobPrefix)
	states, err := c.listAsync(ctx, statePrefix).wait()
	if err != nil {
		return err
	}
	specEntries, err := specs.wait()
	if err != nil {
		return err
	}
	if entry, err := c.store.Get(ctx, membersKey); err == nil {
		members, err := decodeMembers(entry.Value)
		if err != nil {
			return err
		}
		c.machine.SuspectWorkers(members)
		for _, m := range members {
			if m.Address != "" {
				c.lookAt(jobs.WorkerInfo{ID: m.ID, Address: m.Address, Zone: m.Zone})
			}
		}
	} else if missing := (*port.NotFoundError)(nil); !errors.As(err, &missing) {
		return err
	}
	byID := make(map[domain.JobID][]byte, len(specEntries))
	for _, e := range specEntries {
		byID[domain.JobID(e.Key[len(jobPrefix):])] = e.Value
	}
	for _, e := range states {
		id := domain.JobID(e.Key[len(statePrefix):])
		if err := c.machine.Recover(id, byID[id], e.Value); err != nil {
			c.log.Error("stored job cannot be recovered", zap.String("job", string(id)), zap.Error(err))
		}
	}
	if err := c.recoverWaves(ctx); err != nil {
		return err
	}
	c.machine.FinishRecovery()
	c.log.Info("cell recovered", zap.Int64("epoch", c.reign.epoch), zap.Int("jobs", len(states)),
		zap.Int("suspect_workers", c.machine.Suspects()), zap.Int64("took_ms", steady.NowMS()-c.reign.claimedMS))
	return nil
}
