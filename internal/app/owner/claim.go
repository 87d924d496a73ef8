package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/guard"
	"auburnpier/internal/port"
)

// term is one tenure as the owner of the cell.
type term struct {
	epoch int64
	lease int64
	ttl   time.Duration
	// ownerRevision fences transactions; chainRevisions are the revisions of the write chains'
	// keys.
	ownerRevision  int64
	chainRevisions [waveChain + 1]int64
	token          string
	claimedMS      int64
}

// errClaimTaken is returned if another instance holds the claim.
var errClaimTaken = errors.New("another instance owns the cell")

// decodeClaim decodes the value of the owner's key.
func decodeClaim(value []byte) (Claim, error) {
	var c Claim
	if err := cbor.Unmarshal(value, &c); err != nil {
		return c, fmt.Errorf("decode the owner's claim: %w", err)
	}
	return c, nil
}

// sequenceResult is the result of reading the sequence key.
type sequenceResult struct {
	entry port.Entry
	err   error
}

// acquireClaim claims the cell. prevRevision is the revision of the claim to replace; zero requires
// that there be none.
func (o *Owner) acquireClaim(ctx context.Context, prevRevision int64) (*term, error) {
	// The lease runs from the moment the store receives the call, so its time is counted from
	// before sending. The sequence is read concurrently, because every call to a slow store adds to
	// the duration of a takeover.
	sentMS := o.nowMS()
	reads := make(chan sequenceResult, 1)
	go func() {
		entry, err := o.store.Get(ctx, sequenceKey)
		reads <- sequenceResult{entry, err}
	}()
	lease, ttl, err := o.store.GrantLease(ctx, o.options.ClaimTTL)
	if err != nil {
		return nil, err
	}
	t := &term{lease: lease, ttl: ttl, token: newToken(), epoch: 1}
	read := <-reads
	entry, err := read.entry, read.err
	var missing *port.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return nil, err
	}
	if err == nil {
		var last sequence
		if err := cbor.Unmarshal(entry.Value, &last); err != nil {
			return nil, fmt.Errorf("decode the value of %s: %w", sequenceKey, err)
		}
		t.epoch = last.Epoch + 1
	}
	txn, err := o.claimTxn(t, prevRevision, entry.Revision)
	if err != nil {
		return nil, err
	}
	revision, err := o.store.Commit(ctx, txn)
	if err != nil {
		revision, err = o.resolveClaim(ctx, t, err)
	}
	if err != nil {
		if endErr := o.store.RevokeLease(ctx, lease); endErr != nil {
			o.log.Info("failed to end an unused lease; it will expire", zap.Error(endErr))
		}
		return nil, err
	}
	t.ownerRevision = revision
	for i := range t.chainRevisions {
		t.chainRevisions[i] = revision
	}
	t.claimedMS = sentMS
	return t, nil
}

// claimOf returns the claim of this instance for the given term.
func (o *Owner) claimOf(t *term) Claim {
	return Claim{Instance: o.options.Instance, Address: o.options.Address, Epoch: t.epoch, Token: t.token, Lease: t.lease}
}

func (o *Owner) claimTxn(t *term, prevRevision, sequenceRevision int64) (port.Txn, error) {
	value, err := cbor.Marshal(o.claimOf(t))
	if err != nil {
		return port.Txn{}, err
	}
	seq, err := cbor.Marshal(sequence{Epoch: t.epoch, Token: t.token})
	if err != nil {
		return port.Txn{}, err
	}
	last, err := cbor.Marshal(sequence{Epoch: t.epoch + maxFenceRaises, Token: t.token})
	if err != nil {
		return port.Txn{}, err
	}
	txn := port.Txn{
		If:   []port.Condition{{Key: ownerKey, Revision: prevRevision}, {Key: sequenceKey, Revision: sequenceRevision}},
		Puts: []port.Put{{Key: ownerKey, Value: value, Lease: t.lease}, {Key: sequenceKey, Value: last}},
	}
	for i := range t.chainRevisions {
		txn.Puts = append(txn.Puts, port.Put{Key: chainKey(i), Value: seq})
	}
	return txn, nil
}

// resolveClaim finds out whether a claim transaction without a definite answer took effect.
func (o *Owner) resolveClaim(ctx context.Context, t *term, cause error) (int64, error) {
	var conflict *port.TxnConflictError
	if errors.As(cause, &conflict) {
		return 0, errClaimTaken
	}
	var unknown *port.OutcomeUnknownError
	if !errors.As(cause, &unknown) {
		return 0, cause
	}
	entry, err := o.store.Get(ctx, ownerKey)
	if err != nil {
		return 0, err
	}
	c, err := decodeClaim(entry.Value)
	if err != nil {
		return 0, err
	}
	if c.Token != t.token {
		return 0, errClaimTaken
	}
	return entry.Revision, nil
}

// renewPeriodically renews the claim at once, because the calls that made it may have taken most of its time to
// live, and then periodically until ctx ends. It calls onRenewed with the steady time until
// which the claim is guaranteed to hold, and onLost once it has ended. A renewal does not wait for
// the previous one, whose answer may be lost.
func (o *Owner) renewPeriodically(ctx context.Context, t *term, onRenewed func(untilMS int64), onLost func()) {
	ctxtime.Repeat(ctx, t.ttl/renewalsPerTTL, func() {
		go func() {
			if err := guard.Run(o.log, o.metrics, "claim", func() { o.renewOnce(ctx, t, onRenewed, onLost) }); err != nil {
				onLost()
			}
		}()
	})
}

// renewOnce sends one renewal.
func (o *Owner) renewOnce(ctx context.Context, t *term, onRenewed func(untilMS int64), onLost func()) {
	sentMS := o.nowMS()
	callCtx, cancel := context.WithTimeout(ctx, t.ttl/2)
	defer cancel()
	err := o.store.RenewLease(callCtx, t.lease)
	var missing *port.NotFoundError
	switch {
	case err == nil:
		onRenewed(sentMS + t.ttl.Milliseconds())
	case errors.As(err, &missing):
		onLost()
	case ctx.Err() == nil:
		o.log.Warn("failed to renew the claim", zap.Int64("epoch", t.epoch), zap.Error(err))
	}
}

// renewalsPerTTL is how often a claim is renewed within its time to live.
const renewalsPerTTL = 4

// FindClaim returns the current claim with its revision, and the store revision to watch from.
func FindClaim(ctx context.Context, store port.LeaseStore) (*Claim, int64, int64, error) {
	entries, revision, err := store.List(ctx, ownerKey)
	if err != nil {
		return nil, 0, 0, err
	}
	for _, e := range entries {
		if e.Key != ownerKey {
			continue
		}
		c, err := decodeClaim(e.Value)
		if err != nil {
			return nil, 0, 0, err
		}
		return &c, e.Revision, revision, nil
	}
	return nil, 0, revision, nil
}

// claimChange is the result of watching the claim.
type claimChange int

// Results of watching the claim.
const (
	claimUnchanged claimChange = iota
	// claimChanged means that another claim may be in place.
	claimChanged
	// claimEnded means that there was no claim as of the last change.
	claimEnded
)

// watchClaim waits for a change of the claim.
func watchClaim(ctx context.Context, store port.LeaseStore, after int64, wait time.Duration) (change claimChange, revision int64, err error) {
	got, err := store.Watch(ctx, ownerKey, after, wait)
	if err != nil {
		return claimUnchanged, after, err
	}
	if got.Gap {
		return claimChanged, after, nil
	}
	for _, e := range got.Events {
		switch {
		case e.Entry.Key != ownerKey:
		case e.Deleted:
			change = claimEnded
		default:
			change = claimChanged
		}
	}
	return change, got.Revision, nil
}

// sameInstance reports whether the claim was made by this instance, possibly by a former process.
func sameInstance(c *Claim, instance domain.InstanceID, address string) bool {
	return c.Instance == instance && c.Address == address
}
