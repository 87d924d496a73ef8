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

// waitForOwner waits for an owner other than previous. It returns nil when ctx ends or the wait expires.
func (d *Directory) waitForOwner(ctx context.Context, previous port.OwnerService, wait time.Duration) port.OwnerService {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		client, changed := d.Owner()
		if client != nil && client != previous {
			return client
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}
