package daemon

import (
	"sync"
	"time"

	"auburnpier/internal/app/peering"
	"auburnpier/internal/app/requestplane"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
)

// overflowTTL is how long a reported number of free slots is used. Each instance
// receives a report from every other one about once a second.
const overflowTTL = 3 * time.Second

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
