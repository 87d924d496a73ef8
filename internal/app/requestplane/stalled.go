package requestplane

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"auburnpier/internal/core/route"
	"auburnpier/internal/domain"
)

// streamStallAfter is the time without a byte from the caller after which a streamed request gives up its slot, if
// another request waits for it.
const streamStallAfter = 3 * time.Second

// streams holds the streamed requests that are being sent to servers.
type streams struct {
	mu   sync.Mutex
	open map[*streamedBody]*stream
}

// stream is a streamed request and the server that it is sent to.
type stream struct {
	w   http.ResponseWriter
	use slotUse
}

// slotUse is a slot of a server that a team uses.
type slotUse struct {
	team   domain.TeamID
	server *route.Server
}

func (s *streams) add(b *streamedBody, sent *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*streamedBody]*stream)
	}
	s.open[b] = sent
}

func (s *streams) remove(b *streamedBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, b)
}

// interruptStalled interrupts the streamed request whose caller has been silent longest, if another request
// could use its slot. Those that were interrupted before and still hold theirs count against the waiting ones.
func (p *Plane) interruptStalled(now time.Time) {
	waiting := p.disp.waiting()
	if waiting == 0 {
		return
	}
	p.streams.mu.Lock()
	defer p.streams.mu.Unlock()
	var oldest *streamedBody
	latest := now.Add(-streamStallAfter).UnixNano()
	leaving := 0
	wanted := make(map[slotUse]bool)
	for b, sent := range p.streams.open {
		if b.stalled.Load() {
			leaving++
			continue
		}
		if !b.waiting.Load() || b.progress.Load() > latest || oldest != nil && b.progress.Load() >= oldest.progress.Load() {
			continue
		}
		use, known := wanted[sent.use]
		if !known {
			use = p.disp.isWanted(sent.use)
			wanted[sent.use] = use
		}
		if use {
			oldest = b
		}
	}
	if oldest == nil || leaving >= waiting {
		return
	}
	oldest.stalled.Store(true)
	oldest.interrupted.Store(true)
	p.stalled.Inc(1)
	_ = http.NewResponseController(p.streams.open[oldest].w).SetReadDeadline(expiredDeadline)
}

// waiting returns the number of requests that wait for a slot.
func (d *dispatcher) waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fair.Len()
}

// isWanted reports whether a waiting request could use the slot.
func (d *dispatcher) isWanted(s slotUse) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fair.Next(func(it *route.Item) bool {
		return slices.Contains(s.server.Info.Queues, it.Queue) && (it.Team == s.team || d.belowTeamLimit(it))
	}) != nil
}
