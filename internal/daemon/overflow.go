package daemon

import (
	"context"
	"sync"
	"time"

	"auburnpier/internal/app/peering"
	"auburnpier/internal/app/requestplane"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
)

// overflowTTL is how long a reported number of free slots is used. Each instance
// receives a report from every other one about once a second.
const overflowTTL = 3 * time.Second

const (
	// notChosenAfter is the time after the beginning of a shutdown from which on other instances no longer
	// forward to this one, whether or not they know of it. A report of free slots that was sent before may have
	// waited for up to a second at a busy instance before its use began.
	notChosenAfter = overflowTTL + time.Second
	// chosenCheckInterval is the interval between the checks of awaitNotChosen.
	chosenCheckInterval = 10 * time.Millisecond
	// forwardingGrace allows for requests that another instance has already assigned to this one but
	// not yet sent when it learns that this one leaves.
	forwardingGrace = 100 * time.Millisecond
)

// awaitNotChosen returns once the other instances forward no requests to this one any more: when they
// know that it leaves, or at the latest after the given time, when reports from before it was leaving
// are too old for them. A request that arrives on a connection while it is closed is lost, and the
// instance that forwarded it cannot tell whether it ran.
func awaitNotChosen(ctx context.Context, most time.Duration, drainingKnown func() bool) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for !drainingKnown() {
		if !ctxtime.Sleep(ctx, chosenCheckInterval) {
			return
		}
	}
	ctxtime.Sleep(ctx, forwardingGrace)
}

// overflow selects instances of the region that have free slots. Slots taken
// since a report are subtracted from the number it gave.
type overflow struct {
	peers *peering.Service
	now   func() time.Time

	mu    sync.Mutex
	taken map[takenKey]takenSlots
}

type takenKey struct {
	instance domain.InstanceID
	queue    domain.QueueID
}

// takenSlots counts the slots taken since one report.
type takenSlots struct {
	reportedAt time.Time
	n          uint32
}

func newOverflow(peers *peering.Service, now func() time.Time) *overflow {
	return &overflow{peers: peers, now: now, taken: make(map[takenKey]takenSlots)}
}

// AcquireSlot implements requestplane.Peers. Other regions are never used, because
// traffic to them is billed by volume.
func (o *overflow) AcquireSlot(queue domain.QueueID) (requestplane.Peer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var best membership.Member
	var bestFree uint32
	for _, m := range o.peers.Region(o.peers.Self().Location.Region) {
		if m.ID == o.peers.Self().ID || m.Draining || o.now().Sub(m.HeardAt) > overflowTTL {
			continue
		}
		if free := o.freeSlots(m, queue); free > bestFree {
			best, bestFree = m, free
		}
	}
	if bestFree == 0 {
		return requestplane.Peer{}, false
	}
	key := takenKey{best.ID, queue}
	taken := o.taken[key]
	if !taken.reportedAt.Equal(best.HeardAt) {
		taken = takenSlots{reportedAt: best.HeardAt}
	}
	taken.n++
	o.taken[key] = taken
	return requestplane.Peer{ID: best.ID, Address: best.RequestAddress}, true
}

// ReturnSlot implements requestplane.Peers. Without it, an instance without slots
// of its own could forward per report only as many requests as the report gives
// free slots, about that many a second.
func (o *overflow) ReturnSlot(queue domain.QueueID, peer domain.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := takenKey{peer, queue}
	if taken := o.taken[key]; taken.n > 0 {
		taken.n--
		o.taken[key] = taken
	}
}

// freeSlots returns the reported number of free slots minus those taken since the report.
func (o *overflow) freeSlots(m membership.Member, queue domain.QueueID) uint32 {
	for _, s := range m.Slots {
		if s.Queue != queue {
			continue
		}
		taken := o.taken[takenKey{m.ID, queue}]
		if !taken.reportedAt.Equal(m.HeardAt) {
			return s.Free
		}
		return s.Free - min(s.Free, taken.n)
	}
	return 0
}
