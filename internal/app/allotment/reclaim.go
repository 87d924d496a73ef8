package allotment

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/allot"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

const (
	// reclaimDelay is AuthorityTime plus a margin of 2 s for clock drift and for a process
	// that pauses between checking its authority and using an amount.
	reclaimDelay = AuthorityTime + 2*time.Second
	// retryDelay is the delay between attempts at one step of a reclaim.
	retryDelay = time.Second
)

// Peers gives a Reclaimer access to the other instances of the region. It is
// implemented by the membership.
type Peers interface {
	// Others returns all other registered instances of the region. It must read the
	// registry from the store after the call began; an instance that registers later
	// reads the revocation before it confirms the authority of any holder.
	Others(ctx context.Context) ([]domain.InstanceID, error)
	// ProvenDead reports whether a proof of death of the instance is known.
	ProvenDead(id domain.InstanceID) bool
	// SuppressPingAcks asks the instance to suppress ping acknowledgements to the holder.
	// It returns nil once the instance will no longer acknowledge pings of the holder.
	SuppressPingAcks(ctx context.Context, at domain.InstanceID, holder string) error
}

// PingAckFilter is the set of holders whose pings this instance does not acknowledge.
type PingAckFilter struct {
	ledgers []*Ledger

	mu         sync.Mutex
	suppressed map[string]bool
}

// NewPingAckFilter returns an empty set for an instance with the given ledgers.
func NewPingAckFilter(ledgers ...*Ledger) *PingAckFilter {
	return &PingAckFilter{ledgers: ledgers, suppressed: make(map[string]bool)}
}

// Suppress suppresses acknowledgements to the holder for the lifetime of the process.
func (f *PingAckFilter) Suppress(holder string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suppressed[holder] = true
}

// ConfirmsAuthority reports whether an acknowledgement to the holder may confirm its
// authority. It returns false until this instance has read all documents since its
// start, because it would not know of an earlier revocation.
func (f *PingAckFilter) ConfirmsAuthority(holder string) bool {
	f.mu.Lock()
	suppressed := f.suppressed[holder]
	f.mu.Unlock()
	if suppressed {
		return false
	}
	for _, l := range f.ledgers {
		if !l.confirmsAuthority(holder) {
			return false
		}
	}
	return true
}

func (l *Ledger) confirmsAuthority(holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.doc.Holders[holder]
	return l.loaded && !l.undecodable && ok && !h.Revoked
}

// Reclaimer reclaims the amounts of unreachable holders of the region.
type Reclaimer struct {
	ledgers   []*Ledger
	ackFilter *PingAckFilter
	peers     Peers
	// inFlight is how long work that began under the holder's authority may continue.
	inFlight time.Duration
}

// NewReclaimer returns a reclaimer for the ledgers of the region. Work that began just
// before the authority ended may continue for up to inFlight: a backend server goes on
// processing a request whose instance died, so its slot is given to another holder only
// after that time has also passed.
func NewReclaimer(ackFilter *PingAckFilter, peers Peers, inFlight time.Duration, ledgers ...*Ledger) *Reclaimer {
	return &Reclaimer{ledgers: ledgers, ackFilter: ackFilter, peers: peers, inFlight: inFlight}
}

// Reclaim reclaims what the holder, a process of the instance, holds in each document.
// It retries each step until it succeeds or ctx is done, so it waits while the store is
// down.
func (r *Reclaimer) Reclaim(ctx context.Context, instance domain.InstanceID, holder string) error {
	if err := r.forEachLedger(ctx, func(l *Ledger) error { return l.revoke(ctx, holder) }); err != nil {
		return err
	}
	r.ackFilter.Suppress(holder)
	if err := r.suppressPingAcksInRegion(ctx, instance, holder); err != nil {
		return err
	}
	if !ctxtime.Sleep(ctx, reclaimDelay+r.inFlight) {
		return ctx.Err()
	}
	return r.forEachLedger(ctx, func(l *Ledger) error { return l.reclaim(ctx, holder) })
}

// suppressPingAcksInRegion returns once every other instance of the region suppresses ping
// acknowledgements to the holder or is proven dead. The holder's own instance is not
// asked, because an instance never acknowledges its own pings.
func (r *Reclaimer) suppressPingAcksInRegion(ctx context.Context, instance domain.InstanceID, holder string) error {
	var others []domain.InstanceID
	err := retryUntilDone(ctx, func() (err error) {
		others, err = r.peers.Others(ctx)
		return err
	})
	if err != nil {
		return err
	}
	for _, id := range others {
		err := retryUntilDone(ctx, func() error {
			if id == instance || r.peers.ProvenDead(id) {
				return nil
			}
			return r.peers.SuppressPingAcks(ctx, id, holder)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Reclaimer) forEachLedger(ctx context.Context, step func(*Ledger) error) error {
	for _, l := range r.ledgers {
		if err := retryUntilDone(ctx, func() error { return step(l) }); err != nil {
			return err
		}
	}
	return nil
}

// ErrOtherRegion is returned for a holder of another region. Only instances of its own
// region may reclaim it.
var ErrOtherRegion = errors.New("the holder belongs to another region, whose instances reclaim it")

func retryUntilDone(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil || errors.Is(err, ErrOtherRegion) {
			return err
		}
		if !ctxtime.Sleep(ctx, retryDelay) {
			return errors.CombineErrors(ctx.Err(), err)
		}
	}
}

// revoke marks the holder as revoked in the stored document.
func (l *Ledger) revoke(ctx context.Context, holder string) error {
	return l.updateDocument(ctx, func(d allot.Document) (allot.Document, bool, error) {
		if h, ok := d.Holders[holder]; ok && h.Region != l.region {
			return d, false, ErrOtherRegion
		}
		next, changed := d.Revoke(holder)
		return next, changed, nil
	})
}

// reclaim removes the revoked holder from the stored document.
func (l *Ledger) reclaim(ctx context.Context, holder string) error {
	return l.updateDocument(ctx, func(d allot.Document) (allot.Document, bool, error) {
		next, changed := d.Reclaim(holder)
		return next, changed, nil
	})
}

// TakeOver records the epoch of the partition's new owner. The partition's amounts may
// be used once it has returned nil. uses is what the partition has reserved according to
// its journal.
func (l *Ledger) TakeOver(ctx context.Context, partition domain.PartitionID, epoch domain.Epoch, uses map[domain.TeamID]TaskUse) error {
	name := string(partition)
	err := l.updateDocument(ctx, func(d allot.Document) (allot.Document, bool, error) {
		if d.Holders[name].Epoch == uint64(epoch) { // an earlier attempt whose response was lost
			return d, false, nil
		}
		next, err := d.SetEpoch(name, uint64(epoch))
		return next, err == nil, err
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	lo := &localHolder{holder: name, epoch: uint64(epoch), joined: true, items: make(map[string]*itemState)}
	l.localHolders[name] = lo
	for item := range l.doc.Items {
		u := lo.item(item)
		u.setHeld(l.doc.Held(item, name))
	}
	l.refresh()
	l.mu.Unlock()
	l.Report(partition, 0, uses)
	return nil
}

// Drop stops managing the partition on this instance. The partition keeps its amounts.
func (l *Ledger) Drop(partition domain.PartitionID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.localHolders, string(partition))
}

// Leave returns everything that this instance holds on a graceful shutdown. It must be
// called after the last use, and retries until it succeeds or ctx is done.
func (l *Ledger) Leave(ctx context.Context) error {
	l.mu.Lock()
	lo := l.instance()
	if lo == nil {
		l.mu.Unlock()
		return nil
	}
	delete(l.localHolders, lo.base)
	holder := lo.holder
	l.mu.Unlock()
	return retryUntilDone(ctx, func() error {
		return l.updateDocument(ctx, func(d allot.Document) (allot.Document, bool, error) {
			next, changed := d.Leave(holder)
			return next, changed, nil
		})
	})
}

// updateDocument makes one attempt to read the document, apply a change and write the
// result. It writes nothing if the change is already in the document. The caller may
// retry after any error except one from apply.
func (l *Ledger) updateDocument(ctx context.Context, apply func(allot.Document) (allot.Document, bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if err := l.fetch(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	expected := l.revision
	next, changed, err := apply(l.doc)
	l.mu.Unlock()
	if err != nil || !changed {
		return err
	}
	value, err := allot.Encode(next)
	if err != nil {
		return err
	}
	err = l.swap(ctx, next, value, expected)
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		return errors.Wrap(err, "another instance wrote the allotments first, try again")
	}
	return err
}
