package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/domain"
	"auburnpier/internal/guard"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// reign is the right to act for the cell.
type reign struct {
	epoch int64
	lease int64
	ttl   time.Duration
	// ownerRevision fences transactions; laneRevisions are those of the chains' keys.
	ownerRevision int64
	laneRevisions [waveLane + 1]int64
	token         string
	claimedMS     int64
}

// errNotClaimed tells that another instance holds the claim.
var errNotClaimed = errors.New("another instance owns the cell")

// decodeClaim reads the value of the owner's key.
func decodeClaim(value []byte) (Claim, error) {
	var c Claim
	if err := cbor.Unmarshal(value, &c); err != nil {
		return c, fmt.Errorf("owner's claim cannot be read: %w", err)
	}
	return c, nil
}

// sequenceRead is the answer to a read of the sequence.
type sequenceRead struct {
	entry port.Entry
	err   error
}

// claim takes the cell. Former is the revision of the claim to replace; zero
// means that there must be none.
func (o *Owner) claim(ctx context.Context, former int64) (*reign, error) {
	// The lease runs from the arrival of the call. The sequence is read at the
	// same time, since a slow store makes each call a part of the takeover.
	sentMS := steady.NowMS()
	reads := make(chan sequenceRead, 1)
	go func() {
		entry, err := o.store.Get(ctx, sequenceKey)
		reads <- sequenceRead{entry, err}
	}()
	lease, ttl, err := o.store.GrantLease(ctx, o.options.ClaimTTL)
	if err != nil {
		return nil, err
	}
	r := &reign{lease: lease, ttl: ttl, token: newToken(), epoch: 1}
	read := <-reads
	entry, err := read.entry, read.err
	var missing *port.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return nil, err
	}
	if err == nil {
		var last sequence
		if err := cbor.Unmarshal(entry.Value, &last); err != nil {
			return nil, fmt.Errorf("value of %s cannot be read: %w", sequenceKey, err)
		}
		r.epoch = last.Epoch + 1
	}
	txn, err := o.claimTxn(r, former, entry.Revision)
	if err != nil {
		return nil, err
	}
	revision, err := o.store.Commit(ctx, txn)
	if err != nil {
		revision, err = o.confirmClaim(ctx, r, err)
	}
	if err != nil {
		if endErr := o.store.RevokeLease(ctx, lease); endErr != nil {
			o.log.Info("unused lease not ended, it expires by itself", zap.Error(endErr))
		}
		return nil, err
	}
	r.ownerRevision = revision
	for i := range r.laneRevisions {
		r.laneRevisions[i] = revision
	}
	r.claimedMS = sentMS
	return r, nil
}

// claimOf describes the claim of this instance's reign.
func (o *Owner) claimOf(r *reign) Claim {
	return Claim{Instance: o.options.Instance, Address: o.options.Address, Epoch: r.epoch, Token: r.token, Lease: r.lease}
}

func (o *Owner) claimTxn(r *reign, former, sequenceRevision int64) (port.Txn, error) {
	value, err := cbor.Marshal(o.claimOf(r))
	if err != nil {
		return port.Txn{}, err
	}
	seq, err := cbor.Marshal(sequence{Epoch: r.epoch, Token: r.token})
	if err != nil {
		return port.Txn{}, err
	}
	txn := port.Txn{
		If:   []port.Condition{{Key: ownerKey, Revision: former}, {Key: sequenceKey, Revision: sequenceRevision}},
		Puts: []port.Put{{Key: ownerKey, Value: value, Lease: r.lease}, {Key: sequenceKey, Value: seq}},
	}
	for i := range r.laneRevisions {
		txn.Puts = append(txn.Puts, port.Put{Key: laneKey(i), Value: seq})
	}
	return txn, nil
}

// confirmClaim finds out whether a claim without a clear answer took effect.
func (o *Owner) confirmClaim(ctx context.Context, r *reign, cause error) (int64, error) {
	var conflict *port.TxnConflictError
	if errors.As(cause, &conflict) {
		return 0, errNotClaimed
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
	if c.Token != r.token {
		return 0, errNotClaimed
	}
	return entry.Revision, nil
}

// keep renews the claim until ctx ends. Renewed is called with the steady time
// up to which the claim certainly holds; lost once it has ended. A renewal does
// not wait for the one before, whose answer may be lost.
func (o *Owner) keep(ctx context.Context, r *reign, renewed func(untilMS int64), lost func()) {
	ticker := time.NewTicker(r.ttl / claimRenewals)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		go func() {
			if err := guard.Run(o.log, o.metrics, "claim", func() { o.renew(ctx, r, renewed, lost) }); err != nil {
				lost()
			}
		}()
	}
}

// renew renews the claim once.
func (o *Owner) renew(ctx context.Context, r *reign, renewed func(untilMS int64), lost func()) {
	sentMS := steady.NowMS()
	callCtx, cancel := context.WithTimeout(ctx, r.ttl/2)
	defer cancel()
	err := o.store.RenewLease(callCtx, r.lease)
	var missing *port.NotFoundError
	switch {
	case err == nil:
		renewed(sentMS + r.ttl.Milliseconds())
	case errors.As(err, &missing):
		lost()
	case ctx.Err() == nil:
		o.log.Warn("claim not renewed", zap.Int64("epoch", r.epoch), zap.Error(err))
	}
}

// claimRenewals is how often a claim is renewed in its time to live.
const claimRenewals = 4

// FindClaim returns the present claim with its revision, and the store's revision to follow changes from.
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

// claimChange is what a watch of the claim has seen.
type claimChange int

// Changes of the claim.
const (
	claimKept claimChange = iota
	// claimChanged tells that the claim may be another one.
	claimChanged
	// claimEnded tells that there was no claim at the last change.
	claimEnded
)

// watchClaim waits for a change of the claim.
func watchClaim(ctx context.Context, store port.LeaseStore, after int64, wait time.Duration) (change claimChange, revision int64, err error) {
	got, err := store.Watch(ctx, ownerKey, after, wait)
	if err != nil {
		return claimKept, after, err
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

// Instance names of claims are compared to find a former process of this VM.
func sameVM(c *Claim, instance domain.InstanceID, address string) bool {
	return c.Instance == instance && c.Address == address
}
