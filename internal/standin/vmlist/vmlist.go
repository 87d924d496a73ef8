// Package vmlist is an in-memory stand-in of the platform's lagging VM list.
package vmlist

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// List holds the rows. Changes become visible after the lag.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	clock   port.Clock
	rows    map[string]domain.VM
	changes []change
	fail    error
}

type change struct {
	at      time.Time
	id      string
	vm      domain.VM
	removed bool
}

var _ port.VMList = (*List)(nil)

// New returns an empty list whose changes become visible after lag.
func New(clock port.Clock, lag time.Duration) *List {
	return &List{lag: lag, clock: clock, rows: make(map[string]domain.VM)}
}

// Put adds or replaces a row.
func (l *List) Put(vm domain.VM) { l.change(change{id: vm.ID, vm: vm}) }

// Remove drops a row.
func (l *List) Remove(id string) { l.change(change{id: id, removed: true}) }

// SetLeaving marks a row as leaving.
func (l *List) SetLeaving(id string) {
	l.mu.Lock()
	vm, ok := l.latest(id)
	l.mu.Unlock()
	if ok {
		vm.Leaving = true
		l.Put(vm)
	}
}

// Fail makes every List call return err until it is called with nil.
func (l *List) Fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail = err
}

// List implements port.VMList. Rows are in order of ID.
func (l *List) List(context.Context) ([]domain.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail != nil {
		return nil, l.fail
	}
	l.apply(l.clock.Now())
	out := make([]domain.VM, 0, len(l.rows))
	for _, vm := range l.rows {
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b domain.VM) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}

func (l *List) change(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = l.clock.Now().Add(l.lag)
	l.changes = append(l.changes, c)
}

// latest returns the row with all changes applied, visible or not.
func (l *List) latest(id string) (domain.VM, bool) {
	vm, ok := l.rows[id]
	for _, c := range l.changes {
		if c.id == id {
			vm, ok = c.vm, !c.removed
		}
	}
	return vm, ok
}

func (l *List) apply(now time.Time) {
	n := 0
	for _, c := range l.changes {
		if c.at.After(now) {
			break
		}
		n++
		if c.removed {
			delete(l.rows, c.id)
			continue
		}
		l.rows[c.id] = c.vm
	}
	l.changes = l.changes[n:]
}
