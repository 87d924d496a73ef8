package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"auburnpier/internal/domain"
)

const (
	tickEvery     = 100 * time.Millisecond
	delayInRegion = time.Millisecond
	delayBetween  = 20 * time.Millisecond
	// pollAge is the typical age of a confirmation from a long poll.
	pollAge = 2 * time.Second
	// socketBuffer is the number of datagrams buffered for a paused instance.
	socketBuffer = 500
)

// network simulates a datagram network with an explicit clock and seeded randomness.
type network struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Time
	events eventQueue
	order  int
	hosts  []*host

	loss      float64
	duplicate float64
	// jitter is the maximum extra delay; it reorders datagrams.
	jitter time.Duration
	// cut reports whether datagrams between the hosts are dropped.
	cut func(from, to *host) bool
	// storeDown reports whether the host cannot reach the store. Hosts that
	// reach it confirm version 1 all the time.
	storeDown func(h *host) bool
	// alter changes messages in transit to inject a fault.
	alter func(*Message)

	sent        int
	falseDeaths int
	onChange    func(at *host, c Change)
	onTick      func(at *host)
	onSend      func(at *host, d Datagram)
	tweak       func(*Config)
}

type host struct {
	node    *Node
	id      domain.InstanceID
	address string
	region  domain.RegionID
	up      bool
	paused  bool
	// generation distinguishes events of an earlier process from those of this one.
	generation int
	waiting    []event
}

type event struct {
	at         time.Time
	order      int
	to         *host
	generation int
	tick       bool
	from       string
	msg        Message
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var epoch = time.Unix(1_700_000_000, 0)

// newNetwork returns a network of count instances that are spread over the
// regions r0, r1 and so on. The instances are not started.
func newNetwork(t *testing.T, count, regions int, seed uint64) *network {
	w := &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch}
	for i := range count {
		w.hosts = append(w.hosts, &host{
			id:      domain.InstanceID(fmt.Sprintf("i%02d", i)),
			address: fmt.Sprintf("10.0.%d.%d:7000", i%regions, i),
			region:  domain.RegionID(fmt.Sprintf("r%d", i%regions)),
		})
	}
	return w
}

func (w *network) seeds() []string {
	var seeds []string
	for _, h := range w.hosts[:min(3, len(w.hosts))] {
		seeds = append(seeds, h.address)
	}
	return seeds
}

func (w *network) startAll() {
	for _, h := range w.hosts {
		w.start(h)
	}
}

// start starts a new process at the host's address.
func (w *network) start(h *host) {
	h.generation++
	h.up, h.paused, h.waiting = true, false, nil
	record := Record{
		ID:             h.id,
		Incarnation:    uint64(w.now.UnixMilli()),
		Address:        h.address,
		RequestAddress: h.address,
		Location:       domain.Location{Region: h.region, Zone: domain.ZoneID(h.region + "-a")},
	}
	cfg := DefaultConfig(record, w.seeds(), w.rng.Uint64())
	if w.tweak != nil {
		w.tweak(&cfg)
	}
	h.node = New(cfg, w.now)
	w.push(event{at: w.now.Add(time.Duration(w.rng.Int64N(int64(tickEvery)))), to: h, generation: h.generation, tick: true})
}

func (w *network) kill(h *host) { h.up = false }

func (w *network) pause(h *host) { h.paused = true }

func (w *network) resume(h *host) {
	h.paused = false
	for _, e := range h.waiting {
		e.at = w.now
		w.push(e)
	}
	h.waiting = nil
}

func (w *network) push(e event) {
	w.order++
	e.order = w.order
	heap.Push(&w.events, e)
}

// run advances the clock by d and processes the events that are due.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.step(e)
	}
	w.now = end
}

func (w *network) step(e event) {
	h := e.to
	if !h.up || e.generation != 0 && e.generation != h.generation {
		return
	}
	if h.paused {
		if e.tick || len(h.waiting) < socketBuffer {
			h.waiting = append(h.waiting, e)
		}
		return
	}
	if e.tick {
		if w.onTick != nil {
			w.onTick(h)
		} else if w.storeDown == nil || !w.storeDown(h) {
			h.node.StoreConfirmed(1, w.now.Add(-pollAge))
		}
		w.apply(h, h.node.Tick(w.now))
		w.push(event{at: w.now.Add(tickEvery), to: h, generation: h.generation, tick: true})
		return
	}
	msg := e.msg
	w.apply(h, h.node.Receive(w.now, e.from, &msg))
}

func (w *network) apply(h *host, out Output) {
	for _, c := range out.Changes {
		w.recordChange(h, c)
	}
	for _, d := range out.Datagrams {
		w.transmit(h, d)
	}
}

func (w *network) recordChange(h *host, c Change) {
	if c.Kind == ChangeState && c.Member.State == StateDead {
		if target := w.hostOf(c.Member.ID); target != nil && target.up && !target.paused {
			w.falseDeaths++
		}
	}
	if w.onChange != nil {
		w.onChange(h, c)
	}
}

func (w *network) hostOf(id domain.InstanceID) *host {
	for _, h := range w.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (w *network) transmit(from *host, d Datagram) {
	w.sent++
	if w.onSend != nil {
		w.onSend(from, d)
	}
	if w.alter != nil {
		w.alter(&d.Message)
	}
	for _, to := range w.hosts {
		if to.address != d.To || !to.up {
			continue
		}
		copies := 1
		if w.rng.Float64() < w.duplicate {
			copies = 2
		}
		for range copies {
			w.deliver(from, to, d.Message)
		}
		return
	}
}

func (w *network) deliver(from, to *host, msg Message) {
	if w.cut != nil && w.cut(from, to) || w.rng.Float64() < w.loss {
		return
	}
	delay := delayInRegion
	if from.region != to.region {
		delay = delayBetween
	}
	if w.jitter > 0 {
		delay += time.Duration(w.rng.Int64N(int64(w.jitter)))
	}
	w.push(event{at: w.now.Add(delay), to: to, from: from.address, msg: msg})
}

// until runs until the condition holds or the bound is reached. It returns the
// time taken and whether the condition holds.
func (w *network) until(bound time.Duration, holds func() bool) (time.Duration, bool) {
	began := w.now
	for w.now.Sub(began) < bound {
		w.run(50 * time.Millisecond)
		if holds() {
			return w.now.Sub(began), true
		}
	}
	return bound, false
}

// agree reports whether each live instance lists exactly the live ones as alive.
func (w *network) agree() bool { return w.disagreement() == "" }

func (w *network) disagreement() string {
	for _, h := range w.hosts {
		if !h.up || h.paused {
			continue
		}
		for _, other := range w.hosts {
			if other == h {
				continue
			}
			m := h.node.find(other.id)
			if other.up && !other.paused && (m == nil || m.State != StateAlive || m.Incarnation != other.node.self.record.Incarnation) {
				return fmt.Sprintf("%s lists the live %s as %v", h.id, other.id, stateOf(m))
			}
			if !other.up && m != nil && m.live() {
				return fmt.Sprintf("%s lists the dead %s as %v", h.id, other.id, m.State)
			}
		}
	}
	return ""
}

func stateOf(m *member) string {
	if m == nil {
		return "unknown"
	}
	return m.State.String()
}

// allKnow reports whether the condition holds for the member in the list of each
// other live instance.
func (w *network) allKnow(id domain.InstanceID, holds func(*member) bool) bool {
	for _, h := range w.hosts {
		if !h.up || h.paused || h.id == id {
			continue
		}
		if m := h.node.find(id); m == nil || !holds(m) {
			return false
		}
	}
	return true
}
