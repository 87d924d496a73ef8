package vmlisthttp

import (
	"context"
	"sync"
	"time"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// PollInterval is the time between two polls. A backend server must get no new work 5 s after the list
// shows it as leaving; this interval allows for two failed polls in that time.
const PollInterval = time.Second

// Poller polls a port.VMList, keeps the last list that it read, and passes on each new one.
type Poller struct {
	list    port.VMList
	clock   port.Clock
	deliver func([]domain.VM)

	mu       sync.Mutex
	vms      []domain.VM
	polledAt time.Time // start of the poll that read vms
	lastErr  error
}

// NewPoller returns a Poller that passes each list to deliver.
func NewPoller(list port.VMList, clock port.Clock, deliver func([]domain.VM)) *Poller {
	return &Poller{list: list, clock: clock, deliver: deliver}
}

// Run polls every PollInterval until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ctxtime.Repeat(ctx, PollInterval, func() { _ = p.Poll(ctx) })
}

// Poll reads the list once. If that fails, the Poller keeps the last list.
func (p *Poller) Poll(ctx context.Context) error {
	start := p.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, PollInterval)
	defer cancel()
	vms, err := p.list.List(ctx)
	p.mu.Lock()
	p.lastErr = err
	if err == nil {
		p.vms = vms
		p.polledAt = start
	}
	p.mu.Unlock()
	if err == nil {
		p.deliver(vms)
	}
	return err
}

// Last returns the last list that was read, the start time of the poll that read it, and the error of
// the latest poll. The list is nil until a poll has succeeded.
func (p *Poller) Last() ([]domain.VM, time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms, p.polledAt, p.lastErr
}
