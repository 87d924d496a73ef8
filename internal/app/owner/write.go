package owner

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// entriesPerTxn leaves room for the two conditions and the sequence.
const entriesPerTxn = port.MaxTxnEntries - 3

// Fails to compile unless a transaction has room for any batch.
const _ = uint(entriesPerTxn - jobs.MinBatchEntries)

// writeChain is a chain of transactions, each of which waits for the outcome of the previous one.
// Several chains keep writes in flight while a slow store answers. Writes of one job are never in
// flight in two chains.
type writeChain struct {
	key      string
	revision int64
	number   int64
	busy     bool
}

// startWrites starts the writes that are due.
func (c *Cell) startWrites(now int64) {
	c.ackStoredEnds()
	if c.writesInFlight == 0 && !c.storeRejecting {
		c.storeRespondedMS = now
	}
	if now-c.storeRespondedMS > storeDownAfter.Milliseconds() {
		c.rejectUnwritten()
	}
	for c.writeDue(now) {
		chain := c.idleChain()
		if chain == nil {
			return
		}
		batch, err := c.machine.TakeBatch(entriesPerTxn)
		if err != nil {
			c.log.Error("failed to encode job state", zap.Error(err))
			c.endTerm("failed to encode job state")
			return
		}
		if batch.Empty() {
			return
		}
		chain.busy = true
		c.writesInFlight++
		c.lastWriteMS = now
		go c.guarded("write", func() { c.storeBatch(chain, batch) })
	}
}

// writeDue reports whether the next write should start. A full one gains nothing by waiting; with a
// slow store, a backlog is then written through several chains at once instead of sequentially.
func (c *Cell) writeDue(now int64) bool {
	n := c.machine.PendingEntries(entriesPerTxn)
	interval := writeInterval
	if c.writesInFlight > 0 {
		interval = partialWriteInterval
	}
	return n >= entriesPerTxn || n > 0 && now-c.lastWriteMS >= interval.Milliseconds()
}

func (c *Cell) idleChain() *writeChain {
	for _, chain := range c.chains {
		if !chain.busy {
			return chain
		}
	}
	return nil
}

// ackStoredEnds acknowledges the run ends whose effects are stored.
func (c *Cell) ackStoredEnds() {
	for id, n := range c.processedEnds {
		if n > c.ackedEnds[id] {
			c.ackedEnds[id] = max(c.ackedEnds[id], min(n, c.machine.AcknowledgeableEnd(id)))
		}
		if seen, ok := c.unackedSinceMS[id]; ok && c.ackedEnds[id] >= n {
			c.metrics.Timer("task.end_acknowledged").Update(time.Duration(c.nowMS()-seen) * time.Millisecond)
			delete(c.unackedSinceMS, id)
		}
	}
}

// storeBatch writes a batch and reports the outcome to the loop.
func (c *Cell) storeBatch(chain *writeChain, batch *jobs.Batch) {
	puts, deletes, err := txnEntries(batch)
	if err != nil {
		c.log.Error("failed to encode job state", zap.Error(err))
		c.endTerm("failed to encode job state")
		return
	}
	err = c.commit(chain, puts, deletes)
	if err != nil && !errors.Is(err, errNoEffect) {
		c.endTerm(err.Error())
		return
	}
	c.post(func() {
		chain.busy = false
		c.writesInFlight--
		if c.storeRejecting = err != nil; c.storeRejecting {
			c.machine.BatchNotStored(batch)
			c.rejectUnwritten()
			return
		}
		c.storeRespondedMS = c.nowMS()
		c.handleStored(batch)
	})
}

// errNoEffect is returned if no attempt of a transaction had an effect.
var errNoEffect = errors.New("the store rejected every attempt of the transaction")

func txnEntries(b *jobs.Batch) ([]port.Put, []string, error) {
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
		// The specification is stored first: progress without it cannot be recovered.
		if j.Job != nil {
			puts = append(puts, port.Put{Key: jobKey(j.ID), Value: j.Job})
		}
		puts = append(puts, port.Put{Key: StateKey(j.ID), Value: j.State})
		if j.Ended && j.Job == nil {
			// From now on only the state is read, and a successor has less to list.
			deletes = append(deletes, jobKey(j.ID))
		}
	}
	for _, id := range b.DeletedJobs {
		deletes = append(deletes, jobKey(id), StateKey(id))
	}
	return puts, deletes, nil
}

// commit writes one transaction of the term. It retries until the outcome is known, and fails once
// another instance has claimed the cell. If the store rejects every attempt, it returns
// errNoEffect, so that callers can be told that their jobs have not run.
func (c *Cell) commit(chain *writeChain, puts []port.Put, deletes []string) error {
	t := c.term
	chain.number++
	own := sequence{Epoch: t.epoch, Number: chain.number, Token: t.token}
	value, err := cbor.Marshal(own)
	if err != nil {
		return err
	}
	txn := port.Txn{
		If:      []port.Condition{{Key: ownerKey, Revision: t.ownerRevision}, {Key: chain.key, Revision: chain.revision}},
		Puts:    append([]port.Put{{Key: chain.key, Value: value}}, puts...),
		Deletes: deletes,
	}
	firstAttempt, allRejected := time.Now(), true
	for c.ctx.Err() == nil {
		start := time.Now()
		revision, err := c.commitOnce(txn)
		c.metrics.Timer("store.commit").UpdateSince(start)
		if err == nil {
			chain.revision = revision
			return nil
		}
		var conflict *port.TxnConflictError
		if errors.As(err, &conflict) {
			revision, applied := appliedRevision(conflict, chain.key, own)
			if !applied {
				return fmt.Errorf("claim was taken over: %w", err)
			}
			chain.revision = revision
			return nil
		}
		c.metrics.Counter("store.commit.repeated").Inc(1)
		c.log.Warn("retrying a store write", zap.Int64("sequence", own.Number), zap.Error(err))
		if allRejected = allRejected && port.HadNoEffect(err); allRejected && time.Since(firstAttempt) >= storeDownAfter {
			return errNoEffect
		}
		ctxtime.Sleep(c.ctx, writeRetryPause)
	}
	return errTermEnded
}

// appliedRevision reports whether the conflicting state was written by the transaction itself.
func appliedRevision(conflict *port.TxnConflictError, key string, own sequence) (int64, bool) {
	for _, e := range conflict.Current {
		if e.Key != key {
			continue
		}
		var found sequence
		if err := cbor.Unmarshal(e.Value, &found); err != nil {
			return 0, false
		}
		return e.Revision, found == own
	}
	return 0, false
}

// handleStored answers the calls that were waiting for the batch.
func (c *Cell) handleStored(batch *jobs.Batch) {
	c.machine.BatchStored(batch)
	for _, j := range batch.Jobs {
		c.replySubmit(j.ID, port.SubmitReply{Accepted: true}, nil)
		if j.Ended {
			c.replyCancel(j.ID, port.CancelReply{Found: true, Done: true})
		}
	}
}

func (c *Cell) replySubmit(id domain.JobID, reply port.SubmitReply, err error) {
	for _, send := range c.pendingSubmits[id] {
		send(reply, err)
	}
	delete(c.pendingSubmits, id)
}

func (c *Cell) replyCancel(id domain.JobID, reply port.CancelReply) {
	for _, send := range c.pendingCancels[id] {
		send(reply, nil)
	}
	delete(c.pendingCancels, id)
}

// rejectUnwritten refuses submissions that are not part of any write yet.
func (c *Cell) rejectUnwritten() {
	for id := range c.pendingSubmits {
		if c.machine.Withdraw(id) {
			c.replySubmit(id, port.SubmitReply{Reason: reasonStoreUnavailable, RetryAfterMS: storeRetryAfterMS}, nil)
			c.replyCancel(id, port.CancelReply{})
		}
	}
}

// storeRetryAfterMS is when callers should retry after the store did not answer.
const storeRetryAfterMS = 1000

// failPending answers all pending calls at the end of the term.
func (c *Cell) failPending() {
	for id := range c.pendingSubmits {
		if c.machine.Withdraw(id) {
			c.replySubmit(id, port.SubmitReply{}, &port.NotOwnerError{Instance: c.options.Instance})
			continue
		}
		c.replySubmit(id, port.SubmitReply{OutcomeUnknown: true}, nil)
	}
	for id := range c.pendingCancels {
		c.replyCancel(id, port.CancelReply{Found: true})
	}
}
