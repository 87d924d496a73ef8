package vmlisthttp

import (
	"context"
	"sync"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Interval is the time between two polls. A leaving server must get no new
// work 5 s after it was listed as leaving; two polls may fail within that.
const Interval = time.Second

// Poller keeps the last list of a port.VMList and hands each new one on.
type Poller struct {
	list    port.VMList
	clock   port.Clock
	deliver func([]domain.VM)

	mu   sync.Mutex
	vms  []domain.VM
	at   time.Time // when the poll of the last list began
	last error
}

// NewPoller returns a poller that passes each list to deliver.
func NewPoller(list port.VMList, clock port.Clock, deliver func([]domain.VM)) *Poller {
	return &Poller{list: list, clock: clock, deliver: deliver}
}

// Run polls every Interval until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		_ = p.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll reads the list once. After a failure the last list stays in use.
func (p *Poller) Poll(ctx context.Context) error {
	began := p.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, Interval)
	defer cancel()
	vms, err := p.list.List(ctx)
	p.mu.Lock()
	p.last = err
	if err == nil {
		p.vms = vms
		p.at = began
	}
	p.mu.Unlock()
	if err == nil {
		p.deliver(vms)
	}
	return err
}

// Last returns the last list, when its poll began, and the error of the latest
// poll. The list is nil before the first success.
func (p *Poller) Last() ([]domain.VM, time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms, p.at, p.last
}
