package entry

import (
	"context"
	"sync"
	"time"

	"auburnpier/internal/app/owner"
	"auburnpier/internal/port"
)

// Dialer returns a client of the owner at another instance.
type Dialer interface {
	Owner(address string) port.OwnerService
}

// Directory records the present owner of the cell and the instances that the owner last listed.
// It is safe for concurrent use.
type Directory struct {
	dialer Dialer

	mu        sync.Mutex
	ownership owner.Ownership
	client    port.OwnerService
	// changes counts the changes of the ownership.
	changes int64
	// changed is closed and replaced when the ownership changes.
	changed chan struct{}
	// instances is the owner's latest list of instances, and listVersion the version of that list.
	instances   []port.InstanceInfo
	listVersion int64
}

func (d *Directory) setInstances(r port.AnnounceReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Version != d.listVersion {
		d.instances, d.listVersion = r.Instances, r.Version
	}
}

// version returns the version of the instance list.
func (d *Directory) version() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listVersion
}

// Instances returns the owner's latest list of instances.
func (d *Directory) Instances() []port.InstanceInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instances
}

// NewDirectory returns a directory without an owner.
func NewDirectory(dialer Dialer) *Directory {
	return &Directory{dialer: dialer, changed: make(chan struct{})}
}

// Publish sets the ownership and notifies waiters if it changed.
func (d *Directory) Publish(s owner.Ownership) {
	d.mu.Lock()
	defer d.mu.Unlock()
	same := s.Local == d.ownership.Local && (s.Claim == nil) == (d.ownership.Claim == nil) &&
		(s.Claim == nil || *s.Claim == *d.ownership.Claim)
	if same {
		return
	}
	d.ownership = s
	d.changes++
	switch {
	case s.Local != nil:
		d.client = s.Local
	case s.Claim != nil:
		d.client = d.dialer.Owner(s.Claim.Address)
	default:
		d.client = nil
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Ownership returns who owns the cell, as far as this instance knows.
func (d *Directory) Ownership() owner.Ownership {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownership
}

// Owner returns a client of the present owner, or nil if none is known, and a channel that is
// closed at the next change.
func (d *Directory) Owner() (port.OwnerService, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.client, d.changed
}

// pauseGrace is how late a timer fires at most unless the process was paused.
const pauseGrace = 20 * time.Millisecond

// ownerTerm is one term of an owner, as far as this instance knows.
type ownerTerm struct {
	port.OwnerService
	// number increases with each change of the ownership.
	number  int64
	address string
	epoch   int64
}

// term returns the present term, or nil if no owner is known, and a channel that is closed at the
// next change.
func (d *Directory) term() (*ownerTerm, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.client == nil {
		return nil, d.changed
	}
	t := &ownerTerm{OwnerService: d.client, number: d.changes}
	if d.ownership.Claim != nil {
		t.address, t.epoch = d.ownership.Claim.Address, d.ownership.Claim.Epoch
	}
	return t, d.changed
}

// waitForOwner waits for an owner whose term is later than the given one, or for any owner if that is
// nil. It returns nil when ctx ends or the wait expires.
func (d *Directory) waitForOwner(ctx context.Context, after *ownerTerm, wait time.Duration) *ownerTerm {
	deadline := time.Now().Add(wait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		t, changed := d.term()
		if t != nil && (after == nil || t.number > after.number) {
			return t
		}
		if expired || ctx.Err() != nil {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			// After a pause of the process the next owner may be about to be published.
			if expired = time.Since(deadline) < pauseGrace; !expired {
				deadline = time.Now()
				timer.Reset(pauseGrace / 2)
			}
		case <-ctx.Done():
		}
	}
}

// whileOwner returns a context that ends when a later term begins.
func (d *Directory) whileOwner(ctx context.Context, t *ownerTerm) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			current, changed := d.term()
			if current != nil && current.number > t.number {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}
